"""Notices: the few things that need a decision of an operator, one per cause."""

from savoryarch.notices._notices import (
    NoticesState,
    OpenNotice,
    decide_notices,
    list_notices,
)

__all__ = ["NoticesState", "OpenNotice", "decide_notices", "list_notices"]
