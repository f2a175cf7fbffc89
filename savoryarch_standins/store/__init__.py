"""Stand-in for the platform's key-value store.

``call_store`` is its logic on a frozen state, for tests and benchmarks in virtual time;
``python -m savoryarch_standins.store`` serves the same logic over HTTP.
"""

from savoryarch_standins.store._calls import (
    ask_store,
    call_store,
    lapse_leases,
    restore_store,
    watch_reply,
)
from savoryarch_standins.store._state import (
    MAX_VALUE_BYTES,
    Budget,
    Call,
    Called,
    CallLost,
    DeleteKey,
    Entry,
    Reply,
    ReplyLost,
    StoreState,
    StoreSwitches,
    Unavailable,
    ValueTooLarge,
    Waiting,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "Budget",
    "Call",
    "CallLost",
    "Called",
    "DeleteKey",
    "Entry",
    "Reply",
    "ReplyLost",
    "StoreState",
    "StoreSwitches",
    "Unavailable",
    "ValueTooLarge",
    "Waiting",
    "ask_store",
    "call_store",
    "lapse_leases",
    "restore_store",
    "watch_reply",
]
