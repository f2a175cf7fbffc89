"""Steps attempts through the chart ``attempt``: parts, failures, hedges, retries and restarts."""

from collections.abc import Callable

from savoryarch.charts import load_chart
from savoryarch.model import (
    AttemptEnded,
    ConnectionLost,
    Count,
    Draining,
    LeftOutReason,
    LogEvent,
    MalformedReply,
    NotSent,
    Part,
    PartReturned,
    ProbeTarget,
    RefusalReason,
    Shed,
)
from savoryarch.search._context import DecisionContext, emit, put_shard
from savoryarch.search._quarantine import quarantined_for_ms
from savoryarch.search._query_chart import (
    check_completion,
    leave_out,
    leave_out_unserved,
    step_query,
)
from savoryarch.search._replies import cannot_have_run, failure_reason
from savoryarch.search._sending import (
    cancel_attempt,
    choose_attempt_target,
    count_extra,
    overdue_delay_ms,
    pinned_snapshot,
    refund_extra,
    schedule_check,
    send_attempt,
    spend_extra,
    wait_for_capacity,
)
from savoryarch.search._settings import (
    BudgetedRetries,
    FixedDelayHedging,
    FixedRetries,
    NoHedging,
)
from savoryarch.search._snapshots import best_snapshot
from savoryarch.search._state import Attempt, PendingShard, Purpose
from savoryarch.targets import has_serving_target, record_overdue, record_unserved_snapshot
from savoryarch.utils import replace, sorted_items

Action = Callable[[DecisionContext, Attempt], DecisionContext]

# Reasons of extra sub-requests that spend no budget, since nothing of the earlier attempt has run.
_SHED_REASON = "shed"
_DRAINING_REASON = "draining"
_WAITED_REASON = "waited"
_FREE_REASONS = (_SHED_REASON, _DRAINING_REASON, _WAITED_REASON)  # nothing of the attempt has run


def step_attempt(context: DecisionContext, attempt: Attempt, event: str) -> DecisionContext:
    """Apply an event to the chart of an attempt, and perform the actions of the transition."""
    transition = CHART.step(attempt.chart_state, event)
    if (
        attempt.chart_state != transition.next_state
        and transition.next_state not in CHART.final_states
    ):
        attempt = replace(attempt, chart_state=transition.next_state)
        attempts = context.state.attempts.set(attempt.attempt_id, attempt)
        context = replace(context, state=replace(context.state, attempts=attempts))
    for action in transition.actions:
        context = _ACTIONS[action](context, attempt)
    return context


def check_overdue(context: DecisionContext) -> DecisionContext:
    """Step the first attempt of each shard whose check is due, and schedule the next check."""
    context = replace(context, query=replace(context.query, next_check_at_ms=float("inf")))
    next_at_ms = float("inf")
    for service, shard in sorted_items(context.query.pending):
        if not shard.attempt_ids:
            continue
        if shard.next_check_at_ms <= context.now_ms:
            context = step_attempt(context, context.state.attempts[shard.attempt_ids[0]], "overdue")
            shard = context.query.pending[service]
        next_at_ms = min(next_at_ms, shard.next_check_at_ms)
    return schedule_check(context, next_at_ms)


def _record_overdue(context: DecisionContext, attempt: Attempt) -> DecisionContext:
    """Record the overdue attempt for its target, and check again after twice its time so far."""
    waited_ms = context.now_ms - attempt.started_at_ms
    targets = record_overdue(context.targets, attempt.target_id, waited_ms, context.now_ms)
    shard = context.query.pending[attempt.service]
    shard = replace(shard, next_check_at_ms=context.now_ms + max(waited_ms, 1.0))
    return put_shard(replace(context, targets=targets), attempt.service, shard)


def _hedge(context: DecisionContext, attempt: Attempt) -> DecisionContext:
    """Send a hedge to another replica, or check the shard again soon.

    A hedge needs a replica with capacity that no other sub-request or query waits for, and a
    token of the extra-load budget.
    """
    service = attempt.service
    shard = context.query.pending[service]
    hedging = context.state.settings.hedging
    if isinstance(hedging, NoHedging) or not _is_newest_overdue(context, shard):
        return context
    is_busy = service in context.state.waiting or bool(context.state.admission.waiting)
    target_id = (
        None if is_busy else choose_attempt_target(context, service, shard.attempted_target_ids)
    )
    if target_id is None:
        return _schedule_shard_check(context, service, context.state.settings.room_wait_ms)
    charged = context if isinstance(hedging, FixedDelayHedging) else spend_extra(context)
    if charged is None:
        # The check is repeated soon, since new queries refill the budget.
        context = emit(context, Count("budget_spent", "hedge"))
        return _schedule_shard_check(
            context, service, overdue_delay_ms(context, service, attempt.target_id) / 4
        )
    context = count_extra(charged, "hedge")
    return send_attempt(context, service, shard, target_id, Purpose.HEDGE)


def _is_newest_overdue(context: DecisionContext, shard: PendingShard) -> bool:
    """Return whether the attempt of a shard that was sent last is overdue as well."""
    if len(shard.attempt_ids) == 1:
        return True
    if isinstance(context.state.settings.hedging, FixedDelayHedging):
        return False  # The baseline sends one hedge per shard.
    newest = context.state.attempts[shard.attempt_ids[-1]]
    allowed_ms = overdue_delay_ms(context, newest.service, newest.target_id)
    return context.now_ms - newest.started_at_ms >= allowed_ms


def _schedule_shard_check(
    context: DecisionContext, service: str, delay_ms: float
) -> DecisionContext:
    """Schedule a check of a shard after a delay, unless it is due earlier."""
    shard = context.query.pending[service]
    next_check_at_ms = min(shard.next_check_at_ms, context.now_ms + delay_ms)
    context = put_shard(context, service, replace(shard, next_check_at_ms=next_check_at_ms))
    return schedule_check(context, next_check_at_ms)


def _apply_part(context: DecisionContext, attempt: Attempt) -> DecisionContext:
    """Add the part to the answer, and cancel the other attempts of its shard."""
    query = context.query
    ended = context.ended
    if ended is None or not isinstance(ended.reply, PartReturned):
        raise AssertionError("got a completed attempt without its part")
    shard = query.pending[attempt.service]
    part = Part(attempt.service, ended.reply.records)
    query = replace(
        query,
        pending=query.pending.delete(attempt.service),
        parts=query.parts.set(attempt.service, part),
    )
    context = replace(context, query=query)
    for attempt_id in shard.attempt_ids:
        if attempt_id != attempt.attempt_id:
            context = cancel_attempt(context, attempt_id)
    return check_completion(context)


def _count_discarded(context: DecisionContext, attempt: Attempt) -> DecisionContext:
    """Count the reply of a cancelled attempt or of a trial."""
    return emit(context, Count("replies_discarded", attempt.purpose.value))


def _cancel(context: DecisionContext, attempt: Attempt) -> DecisionContext:
    return cancel_attempt(context, attempt.attempt_id)


def _handle_failure(context: DecisionContext, attempt: Attempt) -> DecisionContext:
    """Retry a shard after a failed attempt, or leave it out; another attempt may be in flight."""
    ended = context.ended
    if ended is None:
        raise AssertionError("got a failed attempt without its end")
    reason = failure_reason(ended.reply)
    context = _record_failure(context, attempt, ended, reason)
    shard = context.query.pending[attempt.service]
    if quarantined_for_ms(context) is not None:
        return _refuse_quarantined(context)
    if shard.attempt_ids:
        return _hedge_after_shed(context, attempt, ended)
    answer_at_ms = context.query.deadline_at_ms - context.state.settings.answer_margin_ms
    if reason is LeftOutReason.LATE or context.now_ms >= answer_at_ms:
        return check_completion(leave_out(context, attempt.service, reason))
    match ended.reply:
        case Shed():
            return _resend_unrun(context, attempt.service, shard, _SHED_REASON)
        case Draining() if has_serving_target(
            context.targets, attempt.service, shard.attempted_target_ids, context.query.snapshot
        ):
            return _resend_unrun(context, attempt.service, shard, _DRAINING_REASON)
    return check_completion(_retry(context, attempt.service, shard, reason))


def _hedge_after_shed(
    context: DecisionContext, attempt: Attempt, ended: AttemptEnded
) -> DecisionContext:
    """Send another hedge immediately if a hedge was shed, or soon if no replica has capacity."""
    if attempt.purpose is not Purpose.HEDGE or not isinstance(ended.reply, Shed):
        return context
    shard = context.query.pending[attempt.service]
    return _hedge(context, context.state.attempts[shard.attempt_ids[0]])


def _refuse_quarantined(context: DecisionContext) -> DecisionContext:
    """Refuse a running query that has been quarantined for crashing targets."""
    query = replace(
        context.query,
        refusal=RefusalReason.QUARANTINED,
        retry_after_ms=quarantined_for_ms(context),
    )
    return step_query(replace(context, query=query), "unanswerable")


def _record_failure(
    context: DecisionContext, attempt: Attempt, ended: AttemptEnded, reason: LeftOutReason
) -> DecisionContext:
    """Record a failed attempt in its shard, the query and the targets.

    The token of a hedge or retry is refunded if nothing has run. A target that shed the attempt
    may get the next one, and one whose connection failed is probed.
    """
    shard = context.query.pending[attempt.service]
    remaining = tuple(item for item in shard.attempt_ids if item != attempt.attempt_id)
    attempted = (
        shard.attempted_target_ids - {attempt.target_id}
        if isinstance(ended.reply, Shed)
        else shard.attempted_target_ids
    )
    context = put_shard(
        context,
        attempt.service,
        replace(shard, attempt_ids=remaining, attempted_target_ids=attempted, last_failure=reason),
    )
    if reason is LeftOutReason.SNAPSHOT:
        targets = record_unserved_snapshot(context.targets, attempt.target_id, attempt.snapshot)
        context = replace(context, targets=targets)
    if cannot_have_run(ended.reply):
        query = replace(context.query, may_have_run_count=context.query.may_have_run_count - 1)
        context = replace(context, query=query)
        if attempt.purpose in (Purpose.HEDGE, Purpose.RETRY):
            context = refund_extra(context)
    match ended.reply:
        case Shed():
            return replace(
                context, query=replace(context.query, shed_count=context.query.shed_count + 1)
            )
        case ConnectionLost() | NotSent():
            return emit(context, ProbeTarget(attempt.target_id))
        case MalformedReply(detail=detail):
            fields = (("target", attempt.target_id), ("detail", detail))
            return emit(context, LogEvent("malformed_reply", fields))
        case _:
            return context


def _resend_unrun(
    context: DecisionContext, service: str, shard: PendingShard, reason: str
) -> DecisionContext:
    """Send a shard that a target refused to another replica, or wait until one has capacity.

    This spends no budget, since nothing has run. It cannot repeat without end: a target that shed
    is paused and one that drains gets no more, so that each replica gets the shard once before it
    waits.
    """
    target_id = choose_attempt_target(context, service, shard.attempted_target_ids)
    if target_id is None:
        return wait_for_capacity(context, service, shard)
    return _send_retry(context, service, shard, target_id, reason)


def _retry(
    context: DecisionContext, service: str, shard: PendingShard, reason: LeftOutReason
) -> DecisionContext:
    """Send a retry to another replica, wait for capacity, or leave the shard out.

    If no other replica serves the snapshot, the query may be restarted at another snapshot.
    """
    if not has_serving_target(
        context.targets, service, shard.attempted_target_ids, context.query.snapshot
    ):
        return _restart_query(context, service, reason)
    target_id = choose_attempt_target(context, service, shard.attempted_target_ids)
    charged = _spend_retry(context, shard)
    if charged is None:
        return leave_out(context, service, reason)
    if target_id is None:
        return wait_for_capacity(context, service, shard)
    return _send_retry(charged, service, shard, target_id, reason.value)


def _spend_retry(context: DecisionContext, shard: PendingShard) -> DecisionContext | None:
    """Spend the token of a retry; None if the budget or the number of retries is exhausted."""
    match context.state.settings.retries:
        case FixedRetries(count=count):
            return context if shard.retries < count else None
        case BudgetedRetries(count=count):
            return spend_extra(context) if shard.retries < count else None


def _send_retry(
    context: DecisionContext, service: str, shard: PendingShard, target_id: str, reason: str
) -> DecisionContext:
    """Send a further attempt of a shard, and count it by its reason."""
    context = count_extra(context, reason)
    if reason in _FREE_REASONS:
        return send_attempt(context, service, shard, target_id, Purpose.RESEND)
    shard = replace(shard, retries=shard.retries + 1)
    return send_attempt(context, service, shard, target_id, Purpose.RETRY)


def _restart_query(
    context: DecisionContext, service: str, reason: LeftOutReason
) -> DecisionContext:
    """Restart the query at another snapshot, or leave the shard out.

    A restart is allowed if the shard failed because of the snapshot, if at least as much time is
    left as has passed, and if the budget has a token for each sub-request.
    """
    query = context.query
    elapsed_ms = context.now_ms - query.received_at_ms
    remaining_ms = query.deadline_at_ms - context.now_ms
    may_not_restart = (
        query.restarts >= context.state.settings.max_restarts or remaining_ms < elapsed_ms
    )
    if reason is not LeftOutReason.SNAPSHOT or may_not_restart:
        return leave_out(context, service, reason)
    snapshot = best_snapshot(context.targets, query.search, frozenset({pinned_snapshot(context)}))
    charged = spend_extra(context, len(query.services)) if snapshot is not None else None
    if charged is None:
        return leave_out(context, service, reason)
    context = replace(charged, query=replace(charged.query, snapshot=snapshot))
    return step_query(count_extra(context, "restart"), "restarted")


def send_waiting(context: DecisionContext, service: str) -> DecisionContext | None:
    """Send an attempt of a shard that waits for capacity.

    A resend after a refusal spends no budget, since nothing of the attempt has run. Other retries
    spend a token.

    Parameters
    ----------
    context : DecisionContext
        The decision on the query.
    service : str
        The shard.

    Returns
    -------
    context : DecisionContext or None
        The decision after the attempt was sent, the shard was left out or the query was refused;
        None if the shard has to wait longer.
    """
    shard = context.query.pending[service]
    if quarantined_for_ms(context) is not None:
        return _refuse_quarantined(context)
    if not has_serving_target(
        context.targets, service, shard.attempted_target_ids, context.query.snapshot
    ):
        return check_completion(leave_out_unserved(context, service, shard))
    target_id = choose_attempt_target(context, service, shard.attempted_target_ids)
    if target_id is None:
        return None
    if shard.last_failure is None:
        return send_attempt(context, service, shard, target_id, Purpose.FIRST)
    if shard.last_failure is LeftOutReason.REFUSED:
        return _send_retry(context, service, shard, target_id, _WAITED_REASON)
    charged = _spend_retry(context, shard)
    if charged is None:
        return check_completion(leave_out(context, service, shard.last_failure))
    return _send_retry(charged, service, shard, target_id, shard.last_failure.value)


_ACTIONS: dict[str, Action] = {
    "record_overdue": _record_overdue,
    "hedge": _hedge,
    "apply_part": _apply_part,
    "handle_failure": _handle_failure,
    "cancel": _cancel,
    "count_discarded": _count_discarded,
}

CHART = load_chart("attempt", frozenset(_ACTIONS))
