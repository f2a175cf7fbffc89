"""Steps queries through the chart ``query``: fan-out, coverage, answers and refusals."""

from collections.abc import Callable

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
from savoryarch.search._context import DecisionContext, emit
from savoryarch.search._quarantine import may_run_at
from savoryarch.search._sending import (
    OVERDUE_TIMER,
    cancel_attempt,
    choose_attempt_target,
    count_extra,
    pinned_snapshot,
    send_attempt,
    send_trial,
    spend_extra,
    wait_for_capacity,
)
from savoryarch.search._snapshots import shard_services
from savoryarch.search._state import PendingShard, Purpose
from savoryarch.targets import choose_trial_target, has_serving_target
from savoryarch.utils import Budget, add_tokens, replace, sorted_items

ANSWER_TIMER = "search/due/"
EARLY_ANSWER_TIMER = "search/early/"

_ROUNDING_TOLERANCE = 1e-9  # of the required number of shards, a product of floating-point numbers


def step_query(context: DecisionContext, event: str) -> DecisionContext:
    """Apply an event to the chart of the query, and perform the actions of the transition."""
    transition = CHART.step(context.query.chart_state, event)
    context = replace(context, query=replace(context.query, chart_state=transition.next_state))
    for action in transition.actions:
        context = _ACTIONS[action](context)
    return context


def is_finished(context: DecisionContext) -> bool:
    """Return whether the query is answered or refused, or its caller has disconnected."""
    return context.query.chart_state in CHART.final_states


def check_completion(context: DecisionContext) -> DecisionContext:
    """Answer the query if no shard is pending; refuse it if its coverage can only be too low."""
    query = context.query
    if is_finished(context):
        return context
    if not has_enough_coverage(context, len(query.services) - len(query.left_out)):
        return step_query(context, "unanswerable")
    return context if query.pending else step_query(context, "settled")


def has_enough_coverage(context: DecisionContext, answered: int) -> bool:
    """Return whether a number of answered shards reaches the declared minimum coverage.

    An answer needs at least one shard, even if no minimum is declared.
    """
    query = context.query
    required = query.search.minimum_coverage * len(query.services)
    return answered > 0 and answered >= required - _ROUNDING_TOLERANCE


def abandon_query(context: DecisionContext) -> DecisionContext:
    """End the query without an answer, because its caller has disconnected."""
    return step_query(context, "caller_disconnected")


def answer_when_due(context: DecisionContext) -> DecisionContext:
    """Answer the query shortly before its deadline, or refuse it if its coverage is too low."""
    return step_query(
        context, "due" if has_enough_coverage(context, len(context.query.parts)) else "unanswerable"
    )


def answer_early(context: DecisionContext) -> DecisionContext:
    """Answer a query that prefers latency, if its coverage suffices."""
    return (
        step_query(context, "due")
        if has_enough_coverage(context, len(context.query.parts))
        else context
    )


def end_query(context: DecisionContext) -> DecisionContext:
    """Answer the query with the parts that it has, or refuse it, because the instance exits."""
    query = context.query
    context = replace(context, query=replace(query, refusal=RefusalReason.STOPPING))
    if query.chart_state == CHART.initial:
        return step_query(context, "rejected")
    return answer_when_due(context)


def leave_out(context: DecisionContext, service: str, reason: LeftOutReason) -> DecisionContext:
    """Move a shard from the pending shards to those left out, and count the reason."""
    query = context.query
    query = replace(
        query,
        pending=query.pending.delete(service),
        left_out=query.left_out.set(service, reason),
    )
    return emit(replace(context, query=query), Count("left_out", reason.value))


def leave_out_unserved(
    context: DecisionContext, service: str, shard: PendingShard
) -> DecisionContext:
    """Leave out a shard that no further target can serve.

    The reason is that of its last failure. Without one, it is ``SNAPSHOT`` if a target serves the
    shard at other snapshots only, and ``NO_TARGET`` if no target serves it at all.
    """
    if shard.last_failure is not None:
        return leave_out(context, service, shard.last_failure)
    has_target = has_serving_target(context.targets, service, frozenset(), None)
    return leave_out(
        context, service, LeftOutReason.SNAPSHOT if has_target else LeftOutReason.NO_TARGET
    )


def _fan_out(context: DecisionContext) -> DecisionContext:
    """Send or queue a sub-request for each shard of the snapshot's shard map."""
    query = context.query
    services = shard_services(query.search, pinned_snapshot(context))
    pending = Map((service, PendingShard()) for service in services)
    context = replace(context, query=replace(query, services=services, pending=pending))
    if query.restarts == 0:
        context = _refill_budget(context, len(services))
    context = check_completion(_leave_out_all_unserved(context))
    if is_finished(context):
        return context
    # In declared order, because the order of a map varies by process and a replay must not.
    for service in context.query.services:
        if service in context.query.pending:
            context = _start_shard(context, service)
    return emit(context, *_make_timers(context))


def _leave_out_all_unserved(context: DecisionContext) -> DecisionContext:
    """Leave out the shards that no target serves at the snapshot, before anything is sent."""
    snapshot = pinned_snapshot(context)
    for service in context.query.services:
        service_record = context.targets.services.get(service)
        if service_record is None or snapshot not in service_record.replica_counts:
            context = leave_out_unserved(context, service, PendingShard())
    return context


def _refill_budget(context: DecisionContext, requests: int) -> DecisionContext:
    """Add tokens to the budget of the search, in proportion to a number of first attempts."""
    state, search = context.state, context.query.search
    burst = max(state.settings.extra_load_burst, requests)
    budget = state.budgets.get(search.name, Budget(float(burst)))
    budget = add_tokens(budget, requests, search.extra_load_share, burst)
    return replace(context, state=replace(state, budgets=state.budgets.set(search.name, budget)))


def _start_shard(context: DecisionContext, service: str) -> DecisionContext:
    """Send the first attempt of a shard, with a trial if one is due, or queue the shard."""
    shard = PendingShard()
    target_id = choose_attempt_target(context, service, frozenset())
    if target_id is None:
        return wait_for_capacity(context, service, shard)
    context = send_attempt(context, service, shard, target_id, Purpose.FIRST)
    trial_target_id = choose_trial_target(
        context.targets, service, context.query.snapshot, context.now_ms
    )
    return (
        context if trial_target_id is None else _send_trial_copy(context, service, trial_target_id)
    )


def _send_trial_copy(context: DecisionContext, service: str, target_id: str) -> DecisionContext:
    """Send a copy of a sub-request to a slow target, if the budget allows it.

    The copy only measures the latency of the target. None is sent while queries wait for admission.
    """
    if context.state.admission.waiting or not may_run_at(context, service, target_id):
        return context
    charged = spend_extra(context)
    return send_trial(count_extra(charged, "trial"), service, target_id) if charged else context


def _make_timers(context: DecisionContext) -> tuple[object, ...]:
    """Return the timers of the answer: shortly before the deadline, and earlier if preferred."""
    query, settings = context.query, context.state.settings
    request_id = query.request_id
    answer_at_ms = query.deadline_at_ms - settings.answer_margin_ms
    timers: list[object] = [SetTimer(ANSWER_TIMER + request_id, answer_at_ms)]
    if query.prefers_latency:
        delay_ms = (query.deadline_at_ms - query.received_at_ms) * settings.early_answer_share
        timers.append(SetTimer(EARLY_ANSWER_TIMER + request_id, query.received_at_ms + delay_ms))
    return tuple(timers)


def _cancel_attempts(context: DecisionContext) -> DecisionContext:
    """Cancel the attempts of the pending shards, and clear the timers of the query."""
    for _, shard in sorted_items(context.query.pending):
        for attempt_id in shard.attempt_ids:
            context = cancel_attempt(context, attempt_id)
    return emit(
        context,
        ClearTimer(ANSWER_TIMER + context.query.request_id),
        ClearTimer(EARLY_ANSWER_TIMER + context.query.request_id),
        ClearTimer(OVERDUE_TIMER + context.query.request_id),
    )


def _leave_out_pending(context: DecisionContext) -> DecisionContext:
    """Leave out the pending shards: as late if an attempt is in flight, else as refused."""
    for service, shard in sorted_items(context.query.pending):
        is_waiting = not shard.attempt_ids
        reason = LeftOutReason.REFUSED if is_waiting else LeftOutReason.LATE
        for attempt_id in shard.attempt_ids:
            context = cancel_attempt(context, attempt_id)
        context = leave_out(context, service, reason)
    return context


def _discard_parts(context: DecisionContext) -> DecisionContext:
    """Discard the parts and failures at the previous snapshot, and count the restart."""
    query = context.query
    query = replace(
        query,
        pending=Map(),
        parts=Map(),
        left_out=Map(),
        restarts=query.restarts + 1,
        next_check_at_ms=float("inf"),
    )
    return replace(context, query=query)


def _answer(context: DecisionContext) -> DecisionContext:
    """Answer the query with its parts and its coverage, in the order of the shard map."""
    query = context.query
    left_out = tuple(
        LeftOut(service, query.left_out[service])
        for service in query.services
        if service in query.left_out
    )
    coverage = Coverage(len(query.services), len(query.parts), left_out)
    parts = tuple(query.parts[service] for service in query.services if service in query.parts)
    outcome = SearchAnswered(pinned_snapshot(context), coverage, parts)
    return emit(context, AnswerSearch(query.request_id, outcome))


def _refuse(context: DecisionContext) -> DecisionContext:
    """Refuse the query; the refusal says whether a target may have run any of it."""
    query = context.query
    outcome = Refused(
        reason=query.refusal,
        detail=_refusal_detail(context),
        not_run=query.may_have_run_count == 0,
        retry_after_ms=query.retry_after_ms,
    )
    return emit(
        context, Count("refusals", query.refusal.value), AnswerSearch(query.request_id, outcome)
    )


def _refusal_detail(context: DecisionContext) -> str:
    """Return the detail text of a refusal, as callers get it."""
    query = context.query
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


def _count_disconnected(context: DecisionContext) -> DecisionContext:
    """Count a caller that disconnected before its answer."""
    return emit(context, Count("callers_gone", context.query.search.name))


_ACTIONS: dict[str, Callable[[DecisionContext], DecisionContext]] = {
    "fan_out": _fan_out,
    "refuse": _refuse,
    "count_disconnected": _count_disconnected,
    "cancel_attempts": _cancel_attempts,
    "answer": _answer,
    "leave_out_pending": _leave_out_pending,
    "discard_parts": _discard_parts,
}

CHART = load_chart("query", frozenset(_ACTIONS))
