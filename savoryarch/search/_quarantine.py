"""Keeps queries that crash targets away from them, through `savoryarch.quarantine`."""

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
    """Return for how long the query at hand is quarantined; None if it is not."""
    match check_request(context.state.quarantine, context.query.fingerprint, context.now_ms):
        case Quarantined(remaining_ms=remaining_ms):
            return remaining_ms
        case _:
            return None


def may_run_at(context: DecisionContext, service: str, target_id: str) -> bool:
    """Return whether the query at hand may be sent to a target now."""
    verdict = check_attempt(
        context.state.quarantine, context.query.fingerprint, service, target_id, context.now_ms
    )
    return isinstance(verdict, Allowed)


def is_suspect(state: SearchState, fingerprint: str) -> bool:
    """Return whether attempts of a query may have to run one at a time."""
    return fingerprint in state.quarantine.records


def record_sent(context: DecisionContext, attempt: Attempt) -> QuarantineState:
    """Note that an attempt of the query at hand is in flight."""
    return record_attempt_started(
        context.state.quarantine,
        attempt.attempt_id,
        attempt.service,
        attempt.target_id,
        context.query.fingerprint,
    )
