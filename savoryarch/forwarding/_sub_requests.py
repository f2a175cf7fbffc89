"""Sends, hedges and retries the sub-requests of a request, by the chart ``sub_request``."""

from savoryarch.charts import load_chart
from savoryarch.forwarding._attempt_logs import make_failure_log, make_resend_log, reply_label
from savoryarch.forwarding._budgets import refund_extra, spend_extra
from savoryarch.forwarding._context import (
    CAPACITY_TIMER,
    DecisionContext,
    emit,
    put_sub_request,
    schedule_check,
)
from savoryarch.forwarding._state import NEVER_MS, ForwardAttempt, SubRequest
from savoryarch.model import (
    AttemptEnded,
    CancelAttempt,
    Count,
    Draining,
    Misdirected,
    NotSent,
    ResponseReturned,
    SendAttempt,
    SetTimer,
    Shed,
)
from savoryarch.model.forwarding import ForwardedRoute, ToShards
from savoryarch.quarantine import Quarantined, check_request, record_attempt_started
from savoryarch.targets import choose_target, has_serving_target, record_overdue, start_attempt
from savoryarch.utils import replace

CHART = load_chart(
    "sub_request",
    frozenset(
        {"count_answered", "cancel_others", "retry", "hedge", "wait_for_capacity", "count_left_out"}
    ),
)
CAPACITY_POLL_MS = 5.0  # interval of the checks for capacity while a sub-request waits
FIRST_FAILURE_STATUS = 500  # lowest HTTP status that counts as a failure of the target
# Lowest HTTP status of a reply that is no part of an answer from shards. The answer is a success,
# whereas the only service of a route may answer a client with any status below the failures.
FIRST_STATUS_WITHOUT_PART = 300
MAX_IN_FLIGHT = 2  # maximum number of attempts of one sub-request in flight at a time
ATTEMPTS_PER_TARGET = 2  # attempts of one sub-request per target that its route allows, at most
MIN_LATENCY_SAMPLES = 20  # samples from which the latency histogram determines the time of hedges
MIN_HEDGE_RATIO = 0.1  # share of the latency objective before which hedges are seldom faster


def start_sub_request(context: DecisionContext, sub_request: SubRequest) -> DecisionContext:
    """Send the first attempt of a sub-request, or queue it until a target has capacity."""
    target_id = _choose_target(context, sub_request)
    if target_id is not None:
        return _send(context, sub_request, target_id)
    if _may_be_served(context, sub_request.service, sub_request.excluded):
        return _enqueue(put_sub_request(context, sub_request), sub_request.service)
    return mark_left_out(context, sub_request, "no_target")


def apply_attempt_result(
    context: DecisionContext, ended: AttemptEnded, service: str
) -> DecisionContext:
    """Apply the reply of an attempt that has not been cancelled to its sub-request.

    The reply decides whether the sub-request is answered or fails, whether the target is excluded
    from further attempts, and whether the request may have run.
    """
    reply, target_id = ended.reply, ended.target_id
    sub_request = context.forward.sub_requests[service]
    first_failure_status = _first_failure_status(context.forward.route)
    if not isinstance(reply, ResponseReturned) or reply.status >= first_failure_status:
        context = emit(context, make_failure_log(context, ended, service))
    attempt_ids = tuple(name for name in sub_request.attempt_ids if name != ended.attempt_id)
    sub_request = replace(sub_request, attempt_ids=attempt_ids)
    match reply:
        case ResponseReturned(status=status) if status < first_failure_status:
            return _step(context, replace(sub_request, reply=reply, may_have_run=True), "replied")
        case ResponseReturned(status=status):
            failed = replace(
                sub_request, reply=reply, may_have_run=True, failure=f"status_{status}"
            )
            return _step(context, failed, "failed")
        case NotSent():
            # The target got nothing, so that the attempt counts neither for it nor for the budget.
            sub_request = replace(
                sub_request,
                attempted_target_ids=sub_request.attempted_target_ids - {target_id},
                excluded=sub_request.excluded | {target_id},
                delivered_attempts=sub_request.delivered_attempts - 1,
                failure="not_connected",
            )
            if sub_request.delivered_attempts:
                context = refund_extra(context, service)
            return _step(context, sub_request, "failed")
        case Shed():
            return _step(context, replace(sub_request, failure="shed"), "failed")
        case Draining() | Misdirected():
            excluded = sub_request.excluded | {target_id}
            failed = replace(sub_request, excluded=excluded, failure=reply_label(reply))
            return _step(context, failed, "failed")
        case _:
            excluded = sub_request.excluded | {target_id}
            failed = replace(
                sub_request, excluded=excluded, may_have_run=True, failure=reply_label(reply)
            )
            return _step(context, failed, "failed")


def _first_failure_status(route: ForwardedRoute) -> int:
    """Return the lowest HTTP status with which a target has not answered a sub-request."""
    match route.destination:
        case ToShards():
            return FIRST_STATUS_WITHOUT_PART
        case _:
            return FIRST_FAILURE_STATUS


def check_hedges(context: DecisionContext) -> DecisionContext:
    """Step each sub-request whose hedge is due, and schedule the check for the next one."""
    for service in context.forward.services:
        sub_request = context.forward.sub_requests[service]
        if sub_request.hedge_at_ms <= context.now_ms and sub_request.chart_state == "in_flight":
            context = _step(context, replace(sub_request, hedge_at_ms=NEVER_MS), "overdue")
    due_ms = min(
        (
            sub_request.hedge_at_ms
            for sub_request in context.forward.ordered_sub_requests
            if sub_request.chart_state == "in_flight"
        ),
        default=NEVER_MS,
    )
    return schedule_check(context, due_ms)


def mark_left_out(
    context: DecisionContext, sub_request: SubRequest, failure: str
) -> DecisionContext:
    """End a sub-request unanswered; `failure` is the reason in logs and counters."""
    return _step(context, replace(sub_request, failure=failure), "exhausted")


def cancel_attempts(context: DecisionContext) -> DecisionContext:
    """Cancel all attempts of the request."""
    for sub_request in context.forward.ordered_sub_requests:
        context = _cancel(context, sub_request)
    return context


def send_waiting(context: DecisionContext, service: str) -> DecisionContext:
    """Send a waiting sub-request, or queue it again if no target has capacity."""
    sub_request = context.forward.sub_requests.get(service)
    if sub_request is None or sub_request.chart_state != "waiting":
        return context
    if not sub_request.delivered_attempts:
        return start_sub_request(context, sub_request)
    if not _has_candidates(context, sub_request):
        return mark_left_out(context, sub_request, sub_request.failure)
    return _send_extra(context, sub_request, sub_request.failure) or _enqueue(context, service)


def _step(context: DecisionContext, sub_request: SubRequest, event: str) -> DecisionContext:
    """Apply an event to the sub-request's chart, and perform the actions of the transition."""
    transition = CHART.step(sub_request.chart_state, event)
    sub_request = replace(sub_request, chart_state=transition.next_state)
    context = put_sub_request(context, sub_request)
    for action in transition.actions:
        context = _perform(context, sub_request, action)
    return context


def _perform(context: DecisionContext, sub_request: SubRequest, action: str) -> DecisionContext:
    """Perform one action of the chart."""
    match action:
        case "count_answered":
            return replace(
                context,
                forward=replace(context.forward, answered_count=context.forward.answered_count + 1),
            )
        case "cancel_others":
            return _cancel(context, sub_request)
        case "count_left_out":
            context = emit(context, Count("pieces_left_out", sub_request.failure))
            return replace(
                context,
                forward=replace(context.forward, left_out_count=context.forward.left_out_count + 1),
            )
        case "hedge":
            return _hedge(context, sub_request)
        case "wait_for_capacity":
            return _enqueue(context, sub_request.service)
        case _:
            return _retry(context, sub_request)


def _cancel(context: DecisionContext, sub_request: SubRequest) -> DecisionContext:
    """Cancel the attempts of a sub-request that are in flight."""
    for attempt_id in sub_request.attempt_ids:
        target_id = context.state.attempts[attempt_id].target_id
        context = emit(context, CancelAttempt(attempt_id, target_id))
    return put_sub_request(context, replace(sub_request, attempt_ids=()))


def _hedge(context: DecisionContext, sub_request: SubRequest) -> DecisionContext:
    """Record that the last attempt is overdue, and send another one if that is allowed."""
    attempt = context.state.attempts[sub_request.attempt_ids[-1]]
    waited_ms = context.now_ms - attempt.started_at_ms
    targets = record_overdue(context.targets, attempt.target_id, waited_ms, context.now_ms)
    context = replace(context, targets=targets)
    if not context.forward.route.idempotent or len(sub_request.attempt_ids) >= MAX_IN_FLIGHT:
        return context
    return _send_extra(context, sub_request, "hedge") or context


def _retry(context: DecisionContext, sub_request: SubRequest) -> DecisionContext:
    """Retry a sub-request after a failed attempt, if its route and its budget allow it.

    Otherwise it waits for capacity or for its other attempts, or is left out.
    """
    if context.forward.route.idempotent or not sub_request.may_have_run:
        resent = _send_extra(context, sub_request, sub_request.failure)
        if resent is not None:
            return resent
        if not sub_request.attempt_ids and _has_candidates(context, sub_request):
            return _step(context, sub_request, "postponed")
    if sub_request.attempt_ids:
        return context
    return mark_left_out(context, sub_request, sub_request.failure)


def _send_extra(
    context: DecisionContext, sub_request: SubRequest, reason: str
) -> DecisionContext | None:
    """Send one more attempt of a sub-request; None if that is not allowed or possible now."""
    if context.now_ms >= context.forward.deadline_at_ms or not _has_candidates(
        context, sub_request
    ):
        return None
    target_id = _choose_target(context, sub_request)
    if target_id is None:
        return None
    if sub_request.delivered_attempts:
        charged = spend_extra(context, sub_request.service)
        if charged is None:
            return None
        context = charged
    context = emit(
        context, Count("retries", reason), make_resend_log(context, sub_request, reason, target_id)
    )
    return _send(context, sub_request, target_id)


def _has_candidates(context: DecisionContext, sub_request: SubRequest) -> bool:
    """Return whether some target may get the sub-request, with or without capacity now."""
    forward = context.forward
    if sub_request.delivered_attempts >= ATTEMPTS_PER_TARGET * forward.route.max_attempts:
        return False
    verdict = check_request(context.state.quarantine, forward.fingerprint, context.now_ms)
    if isinstance(verdict, Quarantined):
        return False
    return _may_be_served(context, sub_request.service, _exclusions(context, sub_request))


def _may_be_served(context: DecisionContext, service: str, excluded: frozenset[str]) -> bool:
    """Return whether a target of a service may get a sub-request in time, now or after a pause.

    A target that asked for a pause counts if the pause ends before the latency objective, or before
    the deadline if the objective has passed. Waiting longer would only delay the refusal.
    """
    forward = context.forward
    until_ms = forward.objective_at_ms
    if context.now_ms >= until_ms:
        until_ms = forward.deadline_at_ms
    return has_serving_target(context.targets, service, excluded, None, until_ms)


def drop_unservable(context: DecisionContext, service: str) -> DecisionContext:
    """Leave out a waiting sub-request if no target of its service will serve it in time."""
    sub_request = context.forward.sub_requests.get(service)
    if sub_request is None or sub_request.chart_state != "waiting":
        return context
    if _has_candidates(context, sub_request):
        return context
    return mark_left_out(context, sub_request, sub_request.failure or "no_target")


def _exclusions(context: DecisionContext, sub_request: SubRequest) -> frozenset[str]:
    """Return the targets that the next attempt must not go to.

    A request may reach no more targets per service than its route allows. Once it has reached
    that many, further attempts go only to these, and only where none of its attempts is in flight.
    """
    in_flight = frozenset(
        context.state.attempts[attempt_id].target_id for attempt_id in sub_request.attempt_ids
    )
    excluded = sub_request.excluded | in_flight
    if len(sub_request.attempted_target_ids) < context.forward.route.max_attempts:
        return excluded
    service = context.targets.services.get(sub_request.service)
    return excluded | (
        frozenset(service.target_ids) - sub_request.attempted_target_ids if service else frozenset()
    )


def _choose_target(context: DecisionContext, sub_request: SubRequest) -> str | None:
    """Return a target with capacity, preferably one without an attempt; None if there is none."""
    excluded = _exclusions(context, sub_request)
    if sub_request.attempted_target_ids:
        target_id = _choose_except(
            context, sub_request.service, excluded | sub_request.attempted_target_ids
        )
        if target_id is not None:
            return target_id
    return _choose_except(context, sub_request.service, excluded)


def _choose_except(context: DecisionContext, service: str, excluded: frozenset[str]) -> str | None:
    """Return a target of a service with capacity that is not excluded; None if there is none."""
    return choose_target(
        context.targets, service, exclude=excluded, snapshot=None, now_ms=context.now_ms
    )


def _send(context: DecisionContext, sub_request: SubRequest, target_id: str) -> DecisionContext:
    """Send one attempt of a sub-request to a target, and schedule its hedge."""
    state, forward, now_ms = context.state, context.forward, context.now_ms
    attempt_id = f"forwarding/{state.attempts_sent}"
    hedge_at_ms = now_ms + _hedge_delay_ms(context, sub_request.service)
    attempt = ForwardAttempt(attempt_id, forward.request_id, sub_request.service, target_id, now_ms)
    quarantine = record_attempt_started(
        state.quarantine, attempt_id, sub_request.service, target_id, forward.fingerprint
    )
    state = replace(
        state,
        attempts_sent=state.attempts_sent + 1,
        attempts=state.attempts.set(attempt_id, attempt),
        quarantine=quarantine,
    )
    sub_request = replace(
        sub_request,
        attempt_ids=(*sub_request.attempt_ids, attempt_id),
        attempted_target_ids=sub_request.attempted_target_ids | {target_id},
        delivered_attempts=sub_request.delivered_attempts + 1,
        hedge_at_ms=hedge_at_ms,
    )
    context = replace(
        context, state=state, targets=start_attempt(context.targets, target_id, now_ms)
    )
    context = emit(
        context,
        SendAttempt(
            attempt_id,
            target_id,
            forward.deadline_at_ms,
            forward.event.request,
            repeatable=forward.route.idempotent,
        ),
    )
    return schedule_check(_step(context, sub_request, "sent"), hedge_at_ms)


def _hedge_delay_ms(context: DecisionContext, service: str) -> float:
    """Return the tail latency of a service, bounded by shares of the latency objective."""
    max_ms = context.state.settings.hedge_ratio * context.forward.route.objective_ms
    histogram = context.targets.services[service].latency_histogram
    if histogram.sample_count < MIN_LATENCY_SAMPLES:
        return max_ms
    min_ms = MIN_HEDGE_RATIO * context.forward.route.objective_ms
    return max(min_ms, min(max_ms, histogram.tail_ms))


def _enqueue(context: DecisionContext, service: str) -> DecisionContext:
    """Queue the request until a service has capacity, by priority and then by arrival.

    The first request of a queue sets the timer that checks the service for capacity.
    """
    queue = context.state.waiting.get(service, ())
    request_id = context.forward.request_id
    if request_id in queue:
        return context
    priority = context.forward.route.priority
    position = len(queue)
    while position and _priority_of(context, queue[position - 1]) > priority:
        position -= 1
    waiting = context.state.waiting.set(service, (*queue[:position], request_id, *queue[position:]))
    context = replace(context, state=replace(context.state, waiting=waiting))
    if queue:
        return context
    return emit(context, SetTimer(CAPACITY_TIMER + service, context.now_ms + CAPACITY_POLL_MS))


def _priority_of(context: DecisionContext, request_id: str) -> int:
    forward = context.state.forwards.get(request_id)
    return forward.route.priority if forward else 0
