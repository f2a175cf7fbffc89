"""Reads the ends of attempts for the quarantine."""

from savoryarch.model import (
    AttemptEnded,
    ConnectionLost,
    Decided,
    PartReturned,
    ResponseReturned,
    TargetFailed,
)
from savoryarch.quarantine._decide import note_crash, note_ended
from savoryarch.quarantine._state import QuarantineState


def note_attempt_ended(
    quarantine: QuarantineState, ended: AttemptEnded, now_ms: float
) -> Decided[QuarantineState]:
    """Note the end of an attempt, and blame what was in flight if its target crashed."""
    effects: tuple[object, ...] = ()
    if isinstance(ended.reply, ConnectionLost):
        crashed = note_crash(quarantine, ended.target_id, now_ms)
        quarantine, effects = crashed.state, crashed.effects
    replied = isinstance(ended.reply, PartReturned | ResponseReturned | TargetFailed)
    noted = note_ended(quarantine, ended.attempt_id, ended.target_id, replied=replied)
    return Decided(noted.state, effects + noted.effects)
