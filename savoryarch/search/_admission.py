"""Admits queries through `savoryarch.admission`, and reports to it when they have ended."""

from savoryarch.admission import (
    Admitted,
    Queued,
    Rejected,
    Ticket,
    finish_request,
    request_admission,
    withdraw_ticket,
)
from savoryarch.model import Caller, RefusalReason
from savoryarch.search._context import DecisionContext
from savoryarch.search._query_chart import step_query
from savoryarch.search._snapshots import choose_snapshot
from savoryarch.search._state import Query, SearchState
from savoryarch.utils import replace

ADMISSION_TIMER = "search/admission"

_UNDECLARED_CALLER = Caller("")  # all undeclared callers share the capacity of one
_MEDIAN_STEP_RATIO = 1.05  # Each answer multiplies or divides the estimated median by it.


def admit_query(context: DecisionContext) -> DecisionContext:
    """Request admission for the query: it starts now, waits, or is refused."""
    result = request_admission(context.state.admission, _make_ticket(context), context.now_ms)
    context = replace(context, state=replace(context.state, admission=result.state))
    match result.outcome:
        case Admitted():
            return start_query(context)
        case Queued():
            return context
        case Rejected(reason=reason, retry_after_ms=retry_after_ms):
            return reject_query(context, reason, retry_after_ms)


def start_query(context: DecisionContext) -> DecisionContext:
    """Fix the snapshot of an admitted query and fan it out; refuse it if there is no snapshot."""
    query = context.query
    state, snapshot = choose_snapshot(context.state, context.targets, query.search)
    query = replace(query, snapshot=snapshot, admitted_at_ms=context.now_ms)
    context = replace(context, state=state, query=query)
    if snapshot is None:
        return reject_query(
            context, RefusalReason.NO_SNAPSHOT, context.state.settings.no_snapshot_retry_ms
        )
    return step_query(context, "admitted")


def reject_query(
    context: DecisionContext, reason: RefusalReason, retry_after_ms: float | None = None
) -> DecisionContext:
    """Refuse the query before any of its sub-requests has been sent."""
    query = replace(context.query, refusal=reason, retry_after_ms=retry_after_ms)
    return step_query(replace(context, query=query), "rejected")


def release_admission(state: SearchState, query: Query, now_ms: float) -> SearchState:
    """Release the admission of a query that has ended, and update the median duration.

    Only answered queries update the median and the admission limit. The duration of a query that is
    refused after its admission, or whose caller disconnects, is not the latency of its targets.

    Parameters
    ----------
    state : SearchState
        State before the release.
    query : Query
        The query, in a final state.
    now_ms : float
        Time of its end, on the clock of the process.

    Returns
    -------
    state : SearchState
        State after the release.
    """
    admission = withdraw_ticket(state.admission, query.request_id)
    answered = query.chart_state == "answered"
    admission = finish_request(
        admission, query.request_id, now_ms, sheds=query.shed_count, use_latency=answered
    )
    state = replace(state, admission=admission)
    if not answered:
        return state
    duration_ms = now_ms - query.admitted_at_ms
    median_ms = state.median_duration_ms.get(query.search.name, duration_ms)
    median_ms *= _MEDIAN_STEP_RATIO if duration_ms > median_ms else 1.0 / _MEDIAN_STEP_RATIO
    return replace(
        state, median_duration_ms=state.median_duration_ms.set(query.search.name, median_ms)
    )


def _make_ticket(context: DecisionContext) -> Ticket:
    """Return the ticket of the query, with one sub-request for each shard as its cost.

    Its pool is the group of the services of its shards, so that all searches that use the same
    targets share one limit.
    """
    query, declarations = context.query, context.state.declarations
    search, callers = query.search, declarations.callers
    services = search.shard_maps[-1].services
    first_service = declarations.services.get(services[0]) if services else None
    caller = callers.get(query.request.caller, _UNDECLARED_CALLER)
    margin_ms = context.state.settings.answer_margin_ms
    return Ticket(
        request_id=query.request_id,
        pool=first_service.group if first_service else search.name,
        caller=caller.name,
        search=search.name,
        priority=query.priority,
        deadline_at_ms=query.deadline_at_ms,
        expected_duration_ms=margin_ms + context.state.median_duration_ms.get(search.name, 0.0),
        cost=float(len(services)),
        weight=caller.weight,
    )
