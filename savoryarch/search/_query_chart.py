"""Follows the chart ``query``: fan-out, the answer, and every way to end without one."""

from collections.abc import Callable
from dataclasses import replace

from immutables import Map

from savoryarch.charts import load_chart
from savoryarch.model import (
    AnswerSearch,
    ClearTimer,
    Count,
    Coverage,
    LeftOut,
    LeftOutReason,
    RefusalReason,
    Refused,
    SearchAnswered,
    SetTimer,
)
from savoryarch.search._guard import may_run_at
from savoryarch.search._sending import (
    SLOW_TIMER,
    cancel_attempt,
    choose,
    count_retry,
    pay,
    pinned_snapshot,
    send_attempt,
    send_trial,
    wait_for_room,
)
from savoryarch.search._snapshots import shards_of
from savoryarch.search._state import Purpose, Shard
from savoryarch.search._turn import Turn, emit
from savoryarch.targets import has_serving_target, trial_target
from savoryarch.utils import Budget, add_tokens, sorted_items

DUE_TIMER = "search/due/"
EARLY_TIMER = "search/early/"

_ROUNDING = 1e-9


def step_query(turn: Turn, event: str) -> Turn:
    """Step the query at hand through its chart and carry out the actions."""
    step = CHART.step(turn.query.life, event)
    turn = replace(turn, query=replace(turn.query, life=step.next_state))
    for action in step.actions:
        turn = _ACTIONS[action](turn)
    return turn


def is_finished(turn: Turn) -> bool:
    """Return whether the query at hand has its answer or no caller any more."""
    return turn.query.life in CHART.final_states


def conclude(turn: Turn) -> Turn:
    """End the query if nothing is pending or if its coverage can only be too low."""
    query = turn.query
    if is_finished(turn):
        return turn
    if not is_enough(turn, len(query.services) - len(query.left_out)):
        return step_query(turn, "fell_short")
    return turn if query.pending else step_query(turn, "settled")


def is_enough(turn: Turn, answered: int) -> bool:
    """Return whether so many answered shards reach the declared minimum."""
    query = turn.query
    least = query.search.minimum_coverage * len(query.services)
    return answered > 0 and answered >= least - _ROUNDING


def leave_out(turn: Turn, service: str, reason: LeftOutReason) -> Turn:
    """Give up a pending shard."""
    query = turn.query
    query = replace(
        query,
        pending=query.pending.delete(service),
        left_out=query.left_out.set(service, reason),
    )
    return emit(replace(turn, query=query), Count("left_out", reason.value))


def give_up(turn: Turn, service: str, shard: Shard) -> Turn:
    """Leave out a shard that no target can serve, for the reason that it last failed with."""
    if shard.failure is not None:
        return leave_out(turn, service, shard.failure)
    known = has_serving_target(turn.targets, service, frozenset(), None)
    return leave_out(turn, service, LeftOutReason.SNAPSHOT if known else LeftOutReason.NO_TARGET)


def _fan_out(turn: Turn) -> Turn:
    """Ask every shard of the snapshot's shard map."""
    query = turn.query
    services = shards_of(query.search, pinned_snapshot(turn))
    pending = Map((service, Shard()) for service in services)
    turn = replace(turn, query=replace(query, services=services, pending=pending))
    if query.restarts == 0:
        turn = _earn(turn, len(services))
    turn = conclude(_leave_out_unserved(turn))
    if is_finished(turn):
        return turn
    # In declared order: the order of a mapping differs between processes, and a replay must not.
    for service in turn.query.services:
        if service in turn.query.pending:
            turn = _start_shard(turn, service)
    return emit(turn, *_timers(turn))


def _leave_out_unserved(turn: Turn) -> Turn:
    """Leave out the shards that nothing serves, before anything is sent."""
    snapshot = pinned_snapshot(turn)
    for service in turn.query.services:
        known = turn.targets.services.get(service)
        if known is None or snapshot not in known.served:
            turn = give_up(turn, service, Shard())
    return turn


def _earn(turn: Turn, requests: int) -> Turn:
    state, search = turn.state, turn.query.search
    burst = max(state.settings.extra_load_burst, requests)
    budget = state.budgets.get(search.name, Budget(float(burst)))
    budget = add_tokens(budget, requests, search.extra_load_share, burst)
    return replace(turn, state=replace(state, budgets=state.budgets.set(search.name, budget)))


def _start_shard(turn: Turn, service: str) -> Turn:
    shard = Shard()
    target_id = choose(turn, service, frozenset())
    if target_id is None:
        return wait_for_room(turn, service, shard)
    turn = send_attempt(turn, service, shard, target_id, Purpose.FIRST)
    trial_id = trial_target(turn.targets, service, turn.query.snapshot, turn.now_ms)
    return turn if trial_id is None else _try_again(turn, service, trial_id)


def _try_again(turn: Turn, service: str, target_id: str) -> Turn:
    """Send a copy of a sub-request to a slow target, only to see how long it takes."""
    if turn.state.admission.waiting or not may_run_at(turn, service, target_id):
        return turn
    paid = pay(turn)
    return send_trial(count_retry(paid, "trial"), service, target_id) if paid else turn


def _timers(turn: Turn) -> tuple[object, ...]:
    query, settings = turn.query, turn.state.settings
    request_id = query.request_id
    due_at_ms = query.deadline_at_ms - settings.answer_margin_ms
    timers: list[object] = [SetTimer(DUE_TIMER + request_id, due_at_ms)]
    if query.prefers_latency:
        patience_ms = (query.deadline_at_ms - query.asked_at_ms) * settings.early_answer_share
        timers.append(SetTimer(EARLY_TIMER + request_id, query.asked_at_ms + patience_ms))
    return tuple(timers)


def _cancel_attempts(turn: Turn) -> Turn:
    for _, shard in sorted_items(turn.query.pending):
        for attempt_id in shard.attempt_ids:
            turn = cancel_attempt(turn, attempt_id)
    return emit(
        turn,
        ClearTimer(DUE_TIMER + turn.query.request_id),
        ClearTimer(EARLY_TIMER + turn.query.request_id),
        ClearTimer(SLOW_TIMER + turn.query.request_id),
    )


def _leave_out_pending(turn: Turn) -> Turn:
    """Leave out what is pending when the answer is due."""
    for service, shard in sorted_items(turn.query.pending):
        waits = not shard.attempt_ids
        reason = LeftOutReason.REFUSED if waits else LeftOutReason.LATE
        for attempt_id in shard.attempt_ids:
            turn = cancel_attempt(turn, attempt_id)
        turn = leave_out(turn, service, reason)
    return turn


def _drop_parts(turn: Turn) -> Turn:
    """Forget everything of the old snapshot."""
    query = turn.query
    query = replace(
        query,
        pending=Map(),
        parts=Map(),
        left_out=Map(),
        restarts=query.restarts + 1,
        check_at_ms=float("inf"),
    )
    return replace(turn, query=query)


def _answer(turn: Turn) -> Turn:
    query = turn.query
    left_out = tuple(
        LeftOut(service, query.left_out[service])
        for service in query.services
        if service in query.left_out
    )
    coverage = Coverage(len(query.services), len(query.parts), left_out)
    parts = tuple(query.parts[service] for service in query.services if service in query.parts)
    outcome = SearchAnswered(pinned_snapshot(turn), coverage, parts)
    return emit(turn, AnswerSearch(query.request_id, outcome))


def _refuse(turn: Turn) -> Turn:
    query = turn.query
    outcome = Refused(
        reason=query.refusal,
        detail=_detail(turn),
        not_run=query.may_have_run == 0,
        retry_after_ms=query.retry_after_ms,
    )
    return emit(
        turn, Count("refusals", query.refusal.value), AnswerSearch(query.request_id, outcome)
    )


def _detail(turn: Turn) -> str:
    query = turn.query
    match query.refusal:
        case RefusalReason.COVERAGE_TOO_LOW:
            return (
                f"got {len(query.parts)} of {len(query.services)} shards, "
                f"expected at least {query.search.minimum_coverage:g} of them"
            )
        case RefusalReason.NO_SNAPSHOT:
            return "no shard of the search is known to serve a snapshot"
        case RefusalReason.DEADLINE_TOO_SHORT:
            return "the deadline leaves no time for a reply"
        case RefusalReason.OVERLOADED:
            return "the request could not be started in time"
        case RefusalReason.QUARANTINED:
            return "this query was in flight when several targets crashed"
        case _:
            return query.refusal.value


def _forget(turn: Turn) -> Turn:
    return emit(turn, Count("callers_gone", turn.query.search.name))


_ACTIONS: dict[str, Callable[[Turn], Turn]] = {
    "fan_out": _fan_out,
    "refuse": _refuse,
    "forget": _forget,
    "cancel_attempts": _cancel_attempts,
    "answer": _answer,
    "leave_out_pending": _leave_out_pending,
    "drop_parts": _drop_parts,
}

CHART = load_chart("query", frozenset(_ACTIONS))
