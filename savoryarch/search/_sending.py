"""Sends the attempts of a shard, or queues the shard until a target has capacity."""

from savoryarch.model import (
    CancelAttempt,
    Count,
    PartRequest,
    Priority,
    SendAttempt,
    SetTimer,
    SnapshotId,
)
from savoryarch.search._context import DecisionContext, emit, put_shard
from savoryarch.search._quarantine import may_run_at, record_sent
from savoryarch.search._settings import FixedDelayHedging, NoHedging, QuantileHedging
from savoryarch.search._state import Attempt, PendingShard, Purpose, SearchState
from savoryarch.targets import choose_target, is_slow, start_attempt
from savoryarch.utils import Budget, replace, spend_tokens

CAPACITY_TIMER = "search/room/"
OVERDUE_TIMER = "search/slow/"

_PRIORITY_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}  # lower goes first


def pinned_snapshot(context: DecisionContext) -> SnapshotId:
    """Return the snapshot of a running query."""
    snapshot = context.query.snapshot
    if snapshot is None:
        raise AssertionError("got a running query without a snapshot")
    return snapshot


def choose_attempt_target(
    context: DecisionContext, service: str, exclude: frozenset[str]
) -> str | None:
    """Choose a target for the next attempt of a shard of the query.

    Parameters
    ----------
    context : DecisionContext
        The decision on the query.
    service : str
        The shard.
    exclude : frozenset of str
        Ids of targets that must not be chosen.

    Returns
    -------
    target_id : str or None
        A target with capacity that serves the snapshot of the query; None if there is none, or if
        the quarantine requires the attempt to wait.
    """
    target_id = choose_target(
        context.targets,
        service,
        exclude=exclude,
        snapshot=context.query.snapshot,
        now_ms=context.now_ms,
    )
    if target_id is None or not may_run_at(context, service, target_id):
        return None
    return target_id


def send_attempt(
    context: DecisionContext, service: str, shard: PendingShard, target_id: str, purpose: Purpose
) -> DecisionContext:
    """Send an attempt for a pending shard, and schedule the check whether it is overdue."""
    attempt_id = f"search/{context.state.attempts_sent}"
    next_check_at_ms = context.now_ms + overdue_delay_ms(context, service, target_id)
    if shard.attempt_ids:
        next_check_at_ms = min(next_check_at_ms, shard.next_check_at_ms)
    shard = replace(
        shard,
        attempt_ids=(*shard.attempt_ids, attempt_id),
        attempted_target_ids=shard.attempted_target_ids | {target_id},
        next_check_at_ms=next_check_at_ms,
    )
    context = _send(context, service, target_id, purpose, "in_flight")
    return schedule_check(put_shard(context, service, shard), next_check_at_ms)


def send_trial(context: DecisionContext, service: str, target_id: str) -> DecisionContext:
    """Send a copy of an attempt of which only the latency is used, and the reply is discarded."""
    return _send(context, service, target_id, Purpose.TRIAL, "abandoned")


def _send(
    context: DecisionContext, service: str, target_id: str, purpose: Purpose, chart_state: str
) -> DecisionContext:
    """Send an attempt to a target and record it in the states; `chart_state` is its first state."""
    query, state, now_ms = context.query, context.state, context.now_ms
    snapshot = pinned_snapshot(context)
    attempt_id = f"search/{state.attempts_sent}"
    attempt = Attempt(
        attempt_id=attempt_id,
        request_id=query.request_id,
        service=service,
        target_id=target_id,
        chart_state=chart_state,
        purpose=purpose,
        snapshot=snapshot,
        started_at_ms=now_ms,
    )
    send = SendAttempt(
        attempt_id,
        target_id,
        query.deadline_at_ms - state.settings.answer_margin_ms,
        PartRequest(query.search.name, query.request.query, snapshot),
    )
    state = replace(
        state,
        attempts_sent=state.attempts_sent + 1,
        attempts=state.attempts.set(attempt_id, attempt),
        quarantine=record_sent(context, attempt),
    )
    return replace(
        context,
        state=state,
        targets=start_attempt(context.targets, target_id, now_ms),
        query=replace(query, may_have_run_count=query.may_have_run_count + 1),
        effects=(*context.effects, send),
    )


def schedule_check(context: DecisionContext, at_ms: float) -> DecisionContext:
    """Set the overdue timer of the query to `at_ms`, unless it is due at that time or earlier.

    A timer that is due earlier stays, since each check schedules the next one. No check is needed
    after the deadline of the query.
    """
    query = context.query
    if at_ms >= min(query.next_check_at_ms, query.deadline_at_ms):
        return context
    context = replace(context, query=replace(query, next_check_at_ms=at_ms))
    return emit(context, SetTimer(OVERDUE_TIMER + query.request_id, at_ms))


def overdue_delay_ms(context: DecisionContext, service: str, target_id: str) -> float:
    """Return the time in ms after which an attempt counts as overdue.

    Unless it is fixed or the service has few samples, it is the tail latency of the service. It
    grows up to twice that as the extra-load budget empties, so that the rest of the budget is spent
    on the slowest attempts. For an attempt at a slow target, it is only the median latency.

    Parameters
    ----------
    context : DecisionContext
        The decision on the query.
    service, target_id : str
        The shard, and the target of the attempt.
    """
    hedging = context.state.settings.hedging
    match hedging:
        case FixedDelayHedging(delay_ms=delay_ms):
            return delay_ms
        case NoHedging():
            # Without hedges too, overdue attempts count against their targets.
            hedging = QuantileHedging()
        case QuantileHedging():
            pass
    histogram = context.targets.services[service].latency_histogram
    if histogram.sample_count < hedging.min_samples:
        return hedging.first_delay_ms
    if is_slow(context.targets.usages[target_id]):
        return histogram.median_ms
    return histogram.tail_ms * (2.0 - _budget_level(context))


def _budget_level(context: DecisionContext) -> float:
    """Return 1 while at least half of the budget is left, falling to 0 when it is spent."""
    budget = context.state.budgets.get(context.query.search.name)
    burst = max(context.state.settings.extra_load_burst, 1)
    return min(1.0, 2.0 * budget.tokens / burst) if budget else 1.0


def spend_extra(context: DecisionContext, sub_requests: int = 1) -> DecisionContext | None:
    """Spend tokens for extra sub-requests from the budget of the search; None if it has too few."""
    name = context.query.search.name
    budget = spend_tokens(context.state.budgets.get(name, Budget(0.0)), sub_requests)
    if budget is None:
        return None
    return replace(
        context, state=replace(context.state, budgets=context.state.budgets.set(name, budget))
    )


def refund_extra(context: DecisionContext) -> DecisionContext:
    """Return the token of an extra sub-request of which nothing has run to the budget."""
    name = context.query.search.name
    budget = Budget(context.state.budgets.get(name, Budget(0.0)).tokens + 1.0)
    return replace(
        context, state=replace(context.state, budgets=context.state.budgets.set(name, budget))
    )


def cancel_attempt(context: DecisionContext, attempt_id: str) -> DecisionContext:
    """Cancel an attempt; it uses a slot of its target until it ends."""
    attempt = context.state.attempts[attempt_id]
    attempts = context.state.attempts.set(attempt_id, replace(attempt, chart_state="abandoned"))
    context = replace(context, state=replace(context.state, attempts=attempts))
    return emit(context, CancelAttempt(attempt_id, attempt.target_id))


def wait_for_capacity(
    context: DecisionContext, service: str, shard: PendingShard
) -> DecisionContext:
    """Queue the query until the service has capacity, behind those of the same priority.

    The first query of a queue sets the timer that checks the service for capacity.
    """
    context = put_shard(context, service, shard)
    queue = context.state.waiting.get(service, ())
    request_id = context.query.request_id
    if request_id in queue:
        return context
    position = _queue_position(context, queue)
    waiting = context.state.waiting.set(service, (*queue[:position], request_id, *queue[position:]))
    context = replace(context, state=replace(context.state, waiting=waiting))
    if queue:
        return context
    at_ms = context.now_ms + context.state.settings.room_wait_ms
    return emit(context, SetTimer(CAPACITY_TIMER + service, at_ms))


def _queue_position(context: DecisionContext, queue: tuple[str, ...]) -> int:
    """Return the position of the query in a queue, behind those of the same or a higher class."""
    rank = _PRIORITY_RANKS[context.query.priority]
    position = len(queue)
    while position and _priority_rank(context.state, queue[position - 1]) > rank:
        position -= 1
    return position


def _priority_rank(state: SearchState, request_id: str) -> int:
    """Return the rank of a queued request; one that has ended ranks first and is dropped soon."""
    query = state.queries.get(request_id)
    return _PRIORITY_RANKS[query.priority] if query else 0


def count_extra(context: DecisionContext, reason: str) -> DecisionContext:
    """Count an extra sub-request or restart by its reason."""
    return emit(context, Count("retries", reason))
