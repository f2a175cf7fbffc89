"""Keeps queries that crash targets away from them, through `savoryarch.quarantine`."""

from savoryarch.quarantine import (
    Clear,
    Quarantined,
    QuarantineState,
    judge_attempt,
    judge_request,
    note_started,
)
from savoryarch.search._state import Attempt, SearchState
from savoryarch.search._turn import Turn


def quarantined_for_ms(turn: Turn) -> float | None:
    """Return for how long the query at hand is quarantined; None if it is not."""
    match judge_request(turn.state.quarantine, turn.query.fingerprint, turn.now_ms):
        case Quarantined(left_ms=left_ms):
            return left_ms
        case _:
            return None


def may_run_at(turn: Turn, service: str, target_id: str) -> bool:
    """Return whether the query at hand may be sent to a target now."""
    verdict = judge_attempt(
        turn.state.quarantine, turn.query.fingerprint, service, target_id, turn.now_ms
    )
    return isinstance(verdict, Clear)


def is_suspect(state: SearchState, fingerprint: str) -> bool:
    """Return whether attempts of a query may have to run one at a time."""
    return fingerprint in state.quarantine.records


def note_sent(turn: Turn, attempt: Attempt) -> QuarantineState:
    """Note that an attempt of the query at hand is in flight."""
    return note_started(
        turn.state.quarantine,
        attempt.attempt_id,
        attempt.service,
        attempt.target_id,
        turn.query.fingerprint,
    )
