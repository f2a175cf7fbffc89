"""Shares with peers which targets are slow.

Answers targets that are slow for all instances, while each of many instances asks each target only
now and then: alone, each would have to find out by its own requests, and orders cannot be hedged.
"""

from savoryarch.model import AttemptEnded, Cancelled, ResponseReturned, TimedOut
from savoryarch.targets._messages import TargetSlow
from savoryarch.targets._state import TargetsState
from savoryarch.utils import replace

SLOW_RATIO = 3.0  # of the median; a target that is only busy seldom takes as long
LEAST_SAMPLES = 20  # before the median of a service is trusted


def is_slow_reply(state: TargetsState, ended: AttemptEnded, latency_ms: float) -> bool:
    """Return whether an attempt shows that its target is slow, also by not being waited for.

    Parameters
    ----------
    state : TargetsState
        Before the attempt has been learned from.
    ended : AttemptEnded
        The end of the attempt.
    latency_ms : float
        Time since it began.
    """
    record = state.records.get(ended.target_id)
    if record is None or not isinstance(ended.reply, ResponseReturned | Cancelled | TimedOut):
        return False
    known = state.services[record.target.service].histogram
    if known.samples < LEAST_SAMPLES:
        return False
    return latency_ms > max(SLOW_RATIO * known.median_ms, known.tail_ms)


def hear_slow(state: TargetsState, message: TargetSlow, now_ms: float) -> TargetsState:
    """Doubt the speed of a target as if an attempt of this instance had been overdue."""
    use = state.uses.get(message.target_id)
    if use is None:
        return state
    use = replace(use, overdue=use.overdue + 1, overdue_at_ms=now_ms)
    return replace(state, uses=state.uses.set(message.target_id, use))
