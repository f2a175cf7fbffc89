"""Discovers targets, entry instances and the forwarding table in the platform's store."""

from savoryarch.discovery._decide import decide_discovery, make_discovery_state
from savoryarch.discovery._entries import list_instances
from savoryarch.discovery._messages import StoreRevisionAdvanced
from savoryarch.discovery._settings import DiscoverySettings
from savoryarch.discovery._state import (
    DiscoveryState,
    MalformedEntry,
    StoreEntry,
    StoreEntryCodec,
    UnrelatedEntry,
    make_null_codec,
)

__all__ = [
    "StoreRevisionAdvanced",
    "DiscoverySettings",
    "DiscoveryState",
    "StoreEntry",
    "StoreEntryCodec",
    "MalformedEntry",
    "UnrelatedEntry",
    "decide_discovery",
    "list_instances",
    "make_discovery_state",
    "make_null_codec",
]
