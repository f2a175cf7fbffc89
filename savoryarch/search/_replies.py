"""Classifies the replies of attempts: complete parts, failures, and what may have run."""

from savoryarch.model import (
    AttemptReply,
    DeadlinePassed,
    Draining,
    LeftOutReason,
    MalformedReply,
    NotSent,
    PartReturned,
    Shed,
    SnapshotNotServed,
    TimedOut,
)
from savoryarch.search._state import Attempt


def is_complete_part(attempt: Attempt, reply: AttemptReply) -> bool:
    """Return whether a reply is the complete part of a shard at the requested snapshot."""
    match reply:
        case PartReturned(snapshot=snapshot, complete=True):
            return snapshot == attempt.snapshot
        case _:
            return False


def failure_reason(reply: AttemptReply) -> LeftOutReason:
    """Return the reason to leave a shard out if its last attempt ended with this reply."""
    match reply:
        case PartReturned(complete=False):
            return LeftOutReason.CUT_SHORT
        case PartReturned() | SnapshotNotServed():
            return LeftOutReason.SNAPSHOT
        case Shed() | Draining():
            return LeftOutReason.REFUSED
        case DeadlinePassed() | TimedOut():
            return LeftOutReason.LATE
        case MalformedReply():
            return LeftOutReason.MALFORMED
        case _:
            return LeftOutReason.LOST


def cannot_have_run(reply: AttemptReply) -> bool:
    """Return whether a failed attempt is certain to have run nothing at its target."""
    match reply:
        case SnapshotNotServed() | Shed() | Draining() | NotSent():
            return True
        case DeadlinePassed(not_run=not_run):
            return not_run
        case _:
            return False
