"""Decides how an instance stops: announce, end new work, finish, exit."""

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
