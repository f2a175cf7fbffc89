"""Applies `savoryarch.quarantine` to queries, so that they do not crash further targets."""

from savoryarch.quarantine import (
    Allowed,
    Quarantined,
    QuarantineState,
    check_attempt,
    check_request,
    record_attempt_started,
)
from savoryarch.search._context import DecisionContext
from savoryarch.search._state import Attempt, SearchState


def quarantined_for_ms(context: DecisionContext) -> float | None:
    """Return the remaining time of the quarantine of the query; None if it has none."""
    match check_request(context.state.quarantine, context.query.fingerprint, context.now_ms):
        case Quarantined(remaining_ms=remaining_ms):
            return remaining_ms
        case _:
            return None


def may_run_at(context: DecisionContext, service: str, target_id: str) -> bool:
    """Return whether the query may be sent to a target now; a suspect runs alone on its target."""
    verdict = check_attempt(
        context.state.quarantine, context.query.fingerprint, service, target_id, context.now_ms
    )
    return isinstance(verdict, Allowed)


def is_suspect(state: SearchState, fingerprint: str) -> bool:
    """Return whether a query has been in flight at a crash, so that its attempts may have to wait.

    Parameters
    ----------
    state : SearchState
        State of the searches.
    fingerprint : str
        Fingerprint of the query.
    """
    return fingerprint in state.quarantine.records


def record_sent(context: DecisionContext, attempt: Attempt) -> QuarantineState:
    """Return the quarantine state with an attempt of the query in flight."""
    return record_attempt_started(
        context.state.quarantine,
        attempt.attempt_id,
        attempt.service,
        attempt.target_id,
        context.query.fingerprint,
    )
