"""Applies the results of attempts to the quarantine."""

from savoryarch.model import (
    AttemptEnded,
    ConnectionLost,
    Decided,
    PartReturned,
    ResponseReturned,
    TargetFailed,
)
from savoryarch.quarantine._decide import record_attempt_ended, record_crash
from savoryarch.quarantine._state import QuarantineState


def record_attempt_result(
    quarantine: QuarantineState, ended: AttemptEnded, now_ms: float
) -> Decided[QuarantineState]:
    """Record the result of an attempt; a lost connection counts as a crash of the target."""
    effects: tuple[object, ...] = ()
    if isinstance(ended.reply, ConnectionLost):
        crashed = record_crash(quarantine, ended.target_id, now_ms)
        quarantine, effects = crashed.state, crashed.effects
    replied = isinstance(ended.reply, PartReturned | ResponseReturned | TargetFailed)
    recorded = record_attempt_ended(quarantine, ended.attempt_id, ended.target_id, replied=replied)
    return Decided(recorded.state, effects + recorded.effects)
