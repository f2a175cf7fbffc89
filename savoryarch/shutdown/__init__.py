"""Decides how an instance stops.

It announces that it leaves, refuses new requests once the balancer has noticed, completes the
accepted requests and exits.
"""

from savoryarch.shutdown._decide import (
    ShutdownSettings,
    ShutdownState,
    decide_shutdown,
    drain_time_ms,
    make_shutdown_state,
)

__all__ = [
    "ShutdownSettings",
    "ShutdownState",
    "decide_shutdown",
    "drain_time_ms",
    "make_shutdown_state",
]
