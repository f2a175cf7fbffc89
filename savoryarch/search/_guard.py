"""Keeps queries that crash targets away from them, through `savoryarch.quarantine`."""

from savoryarch.quarantine import (
    Allowed,
    Quarantined,
    QuarantineState,
    check_attempt,
    check_request,
    record_attempt_started,
)
from savoryarch.search._state import Attempt, SearchState
from savoryarch.search._turn import Turn


def quarantined_for_ms(turn: Turn) -> float | None:
    """Return for how long the query at hand is quarantined; None if it is not."""
    match check_request(turn.state.quarantine, turn.query.fingerprint, turn.now_ms):
        case Quarantined(remaining_ms=left_ms):
            return left_ms
        case _:
            return None


def may_run_at(turn: Turn, service: str, target_id: str) -> bool:
    """Return whether the query at hand may be sent to a target now."""
    verdict = check_attempt(
        turn.state.quarantine, turn.query.fingerprint, service, target_id, turn.now_ms
    )
    return isinstance(verdict, Allowed)


def is_suspect(state: SearchState, fingerprint: str) -> bool:
    """Return whether attempts of a query may have to run one at a time."""
    return fingerprint in state.quarantine.records


def note_sent(turn: Turn, attempt: Attempt) -> QuarantineState:
    """Note that an attempt of the query at hand is in flight."""
    return record_attempt_started(
        turn.state.quarantine,
        attempt.attempt_id,
        attempt.service,
        attempt.target_id,
        turn.query.fingerprint,
    )
