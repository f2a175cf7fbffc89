"""Forwards requests: matches them to routes and sends them to one target, or to one per shard."""

from savoryarch.forwarding._decide import decide_forwarding
from savoryarch.forwarding._merge import merge_records
from savoryarch.forwarding._settings import ForwardingSettings
from savoryarch.forwarding._state import (
    ForwardingState,
    make_forwarding_state,
    unfinished_forwards,
)

__all__ = [
    "ForwardingSettings",
    "ForwardingState",
    "decide_forwarding",
    "make_forwarding_state",
    "merge_records",
    "unfinished_forwards",
]
