"""Notices: the few things that need a decision of an operator, one per cause.

A cause that ordinary faults bring about opens a notice only once it has lasted longer than they
do, and every notice closes itself when its cause is gone.
"""

from savoryarch.notices._notices import (
    OBSERVE_TIMER,
    NoticesState,
    OpenNotice,
    decide_notices,
    list_notices,
)
from savoryarch.notices._observe import TierObserved, observe
from savoryarch.notices._settings import NoticesSettings

__all__ = [
    "OBSERVE_TIMER",
    "NoticesSettings",
    "NoticesState",
    "OpenNotice",
    "TierObserved",
    "decide_notices",
    "list_notices",
    "observe",
]
