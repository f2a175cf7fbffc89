"""Notices for operators: conditions that need a decision, one notice for each cause.

A cause that ordinary faults can bring about opens a notice only after it has held for longer than
such faults last. A notice closes when its cause no longer holds.
"""

from savoryarch.notices._notices import (
    OBSERVE_TIMER,
    NoticesState,
    OpenNotice,
    decide_notices,
    list_notices,
)
from savoryarch.notices._observe import TierObserved, observe_tier
from savoryarch.notices._settings import NoticesSettings

__all__ = [
    "OBSERVE_TIMER",
    "NoticesSettings",
    "NoticesState",
    "OpenNotice",
    "TierObserved",
    "decide_notices",
    "list_notices",
    "observe_tier",
]
