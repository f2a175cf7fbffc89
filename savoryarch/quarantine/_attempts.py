"""Reads the ends of attempts for the quarantine."""

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
    """Note the end of an attempt, and blame what was in flight if its target crashed."""
    effects: tuple[object, ...] = ()
    if isinstance(ended.reply, ConnectionLost):
        crashed = record_crash(quarantine, ended.target_id, now_ms)
        quarantine, effects = crashed.state, crashed.effects
    replied = isinstance(ended.reply, PartReturned | ResponseReturned | TargetFailed)
    noted = record_attempt_ended(quarantine, ended.attempt_id, ended.target_id, replied=replied)
    return Decided(noted.state, effects + noted.effects)
