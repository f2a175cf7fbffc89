"""Asks `savoryarch.admission` when a query may start."""

from dataclasses import replace

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
from savoryarch.search._query_chart import step_query
from savoryarch.search._snapshots import choose_snapshot
from savoryarch.search._state import Query, SearchState
from savoryarch.search._turn import Turn

ADMISSION_TIMER = "search/admission"

_OTHER_CALLERS = Caller("")
_FOLLOW = 1.05


def offer_query(turn: Turn) -> Turn:
    """Start the query at hand, queue it, or refuse it."""
    offered = request_admission(turn.state.admission, _make_ticket(turn), turn.now_ms)
    turn = replace(turn, state=replace(turn.state, admission=offered.state))
    match offered.outcome:
        case Admitted():
            return start_query(turn)
        case Queued():
            return turn
        case Rejected(reason=reason, retry_after_ms=retry_after_ms):
            return turn_away(turn, reason, retry_after_ms)


def start_query(turn: Turn) -> Turn:
    """Pin the snapshot of an admitted query and fan it out."""
    query = turn.query
    state, snapshot = choose_snapshot(turn.state, turn.targets, query.search)
    query = replace(query, snapshot=snapshot, admitted_at_ms=turn.now_ms)
    turn = replace(turn, state=state, query=query)
    if snapshot is None:
        return turn_away(turn, RefusalReason.NO_SNAPSHOT, turn.state.settings.no_snapshot_retry_ms)
    return step_query(turn, "admitted")


def turn_away(turn: Turn, reason: RefusalReason, retry_after_ms: float | None = None) -> Turn:
    """Refuse the query at hand before any of it has run."""
    query = replace(turn.query, refusal=reason, retry_after_ms=retry_after_ms)
    return step_query(replace(turn, query=query), "turned_away")


def release(state: SearchState, query: Query, now_ms: float) -> SearchState:
    """Give back the place of a query that has ended, and learn how long it took."""
    admission = withdraw_ticket(state.admission, query.request_id)
    answered = query.life == "answered"
    admission = finish_request(
        admission, query.request_id, now_ms, sheds=query.sheds, use_latency=answered
    )
    state = replace(state, admission=admission)
    if not answered:
        return state
    took_ms = now_ms - query.admitted_at_ms
    usual_ms = state.usual_ms.get(query.search.name, took_ms)
    usual_ms *= _FOLLOW if took_ms > usual_ms else 1.0 / _FOLLOW
    return replace(state, usual_ms=state.usual_ms.set(query.search.name, usual_ms))


def _make_ticket(turn: Turn) -> Ticket:
    query, declarations = turn.query, turn.state.declarations
    search, callers = query.search, declarations.callers
    services = search.shard_maps[-1].services
    first = declarations.services.get(services[0]) if services else None
    caller = callers.get(query.asked.caller, _OTHER_CALLERS)
    margin_ms = turn.state.settings.answer_margin_ms
    return Ticket(
        request_id=query.request_id,
        pool=first.group if first else search.name,
        caller=caller.name,
        search=search.name,
        priority=query.priority,
        deadline_at_ms=query.deadline_at_ms,
        expected_duration_ms=margin_ms + turn.state.usual_ms.get(search.name, 0.0),
        cost=float(len(services)),
        weight=caller.weight,
    )
