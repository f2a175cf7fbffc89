"""Discovery of targets, entry instances and the forwarding table in the platform's store."""

from savoryarch.discovery._decide import decide_discovery, make_discovery_state
from savoryarch.discovery._entries import list_instances
from savoryarch.discovery._messages import StoreMoved
from savoryarch.discovery._settings import DiscoverySettings
from savoryarch.discovery._state import (
    DiscoveryState,
    Entry,
    EntryCodec,
    Malformed,
    Unrelated,
    no_codec,
)

__all__ = [
    "StoreMoved",
    "DiscoverySettings",
    "DiscoveryState",
    "Entry",
    "EntryCodec",
    "Malformed",
    "Unrelated",
    "decide_discovery",
    "list_instances",
    "make_discovery_state",
    "no_codec",
]
