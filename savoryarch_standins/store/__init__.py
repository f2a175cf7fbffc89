"""Stand-in for the platform's key-value store.

`call_store` executes a call on an immutable state, for tests and benchmarks in virtual time.
``python -m savoryarch_standins.store`` serves the same calls over HTTP.
"""

from savoryarch_standins.store._calls import (
    call_store,
    call_store_as_client,
    expire_leases,
    make_watch_reply,
    restore_store,
)
from savoryarch_standins.store._state import (
    MAX_VALUE_BYTES,
    Call,
    CallBudget,
    CallLost,
    CallResult,
    DeleteKey,
    Reply,
    ReplyLost,
    StoredValue,
    StoreState,
    StoreSwitches,
    Unavailable,
    ValueTooLarge,
    WatchPending,
)

__all__ = [
    "MAX_VALUE_BYTES",
    "Call",
    "CallBudget",
    "CallLost",
    "CallResult",
    "DeleteKey",
    "Reply",
    "ReplyLost",
    "StoreState",
    "StoreSwitches",
    "StoredValue",
    "Unavailable",
    "ValueTooLarge",
    "WatchPending",
    "call_store",
    "call_store_as_client",
    "expire_leases",
    "make_watch_reply",
    "restore_store",
]
