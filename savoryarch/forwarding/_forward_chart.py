"""Follows the chart ``forward`` for each request: its start, its end and its answer."""

from xxhash import xxh3_64_intdigest

from savoryarch.charts import load_chart
from savoryarch.forwarding._context import DecisionContext, emit, schedule_check
from savoryarch.forwarding._merge import merge_records
from savoryarch.forwarding._state import NEVER_MS, Forward
from savoryarch.forwarding._sub_requests import (
    FIRST_FAILURE_STATUS,
    cancel_attempts,
    check_hedges,
    start_sub_request,
)
from savoryarch.model import (
    Count,
    LogEvent,
    LogRoutine,
    RecordHistogram,
    RefusalReason,
    Refused,
)
from savoryarch.model.forwarding import (
    AnswerForward,
    ForwardOutcome,
    ShardsAnswered,
    TargetAnswered,
    ToShards,
    Unanswered,
)
from savoryarch.targets import pause_ends_at_ms
from savoryarch.utils import replace

CHART = load_chart(
    "forward",
    frozenset(
        {
            "start_sub_requests",
            "refuse",
            "cancel_attempts",
            "answer",
            "answer_if_enough",
            "fail",
            "cancel_if_idempotent",
        }
    ),
)
# Latest retry, as a share of the time until the deadline; clients wait no longer for a retry.
MAX_RETRY_AFTER_SHARE = 1.0 / 3.0
# Latest retry. By then, most bursts and most losses of an instance are over.
MAX_RETRY_AFTER_MS = 1000.0
MAX_LOGGED_SUB_REQUESTS = 4  # the sub-requests of a search mostly fail for the same reason
MIN_RETRY_AFTER_RATIO = 0.3  # earliest retry, relative to the latest
_SAMPLE_RANGE = 1 << 32


def step_forward(context: DecisionContext, event: str) -> DecisionContext:
    """Apply an event to the request's chart, and perform the actions of the transition."""
    transition = CHART.step(context.forward.chart_state, event)
    context = replace(context, forward=replace(context.forward, chart_state=transition.next_state))
    for action in transition.actions:
        context = _perform(context, action)
    return context


def is_ended(forward: Forward) -> bool:
    """Return whether the request was answered, or its client has disconnected."""
    return forward.chart_state in CHART.final_states


def check_completion(context: DecisionContext) -> DecisionContext:
    """End the request if its sub-requests suffice for an answer or can no longer suffice.

    Before the objective has passed, an answer waits for every sub-request that can still be
    answered. From then on, the required number is enough.
    """
    forward = context.forward
    if is_ended(forward):
        return context
    attainable = len(forward.sub_requests) - forward.left_out_count
    if attainable < forward.required_count:
        return step_forward(context, "became_impossible")
    enough = forward.answered_count >= forward.required_count
    if forward.answered_count == attainable or (enough and forward.chart_state == "overdue"):
        return step_forward(context, "completed")
    return context


def end_request(context: DecisionContext) -> DecisionContext:
    """Answer the request with what there is, as if its objective and its deadline had passed."""
    if context.forward.chart_state == "collecting":
        context = step_forward(context, "objective_passed")
    if is_ended(context.forward):
        return context
    refusable = replace(context.forward, refusal=RefusalReason.STOPPING)
    return step_forward(replace(context, forward=refusable), "deadline_passed")


def handle_check_timer(context: DecisionContext) -> DecisionContext:
    """Handle the expired timer of the request: deadline, objective, admission wait and hedges."""
    context = replace(context, forward=replace(context.forward, next_check_at_ms=NEVER_MS))
    forward = context.forward
    if context.now_ms >= forward.deadline_at_ms:
        return step_forward(context, "deadline_passed")
    if forward.chart_state == "collecting" and context.now_ms >= forward.objective_at_ms:
        context = step_forward(context, "objective_passed")
    if is_ended(context.forward):
        return context
    if _has_waited_too_long(context):
        refused = replace(context.forward, refusal=RefusalReason.OVERLOADED)
        return step_forward(replace(context, forward=refused), "became_impossible")
    return check_completion(_schedule_checks(check_hedges(context)))


def _has_waited_too_long(context: DecisionContext) -> bool:
    """Return whether no sub-request found capacity within the longest wait allowed."""
    forward = context.forward
    return _has_sent_nothing(forward) and context.now_ms >= _max_wait_at_ms(context)


def _has_sent_nothing(forward: Forward) -> bool:
    """Return whether every sub-request still waits for its first attempt."""
    return all(
        sub_request.chart_state == "waiting" and not sub_request.delivered_attempts
        for sub_request in forward.ordered_sub_requests
    )


def _max_wait_at_ms(context: DecisionContext) -> float:
    """Return until when a request without any attempt may wait for capacity."""
    wait_ms = context.state.settings.wait_ratio * context.forward.route.objective_ms
    return context.forward.received_at_ms + wait_ms


def _schedule_checks(context: DecisionContext) -> DecisionContext:
    """Set the timer for the objective, the longest wait or the deadline, whichever is first."""
    forward = context.forward
    if forward.chart_state == "collecting":
        context = schedule_check(context, forward.objective_at_ms)
    if _has_sent_nothing(forward):
        context = schedule_check(context, max(_max_wait_at_ms(context), context.now_ms))
    return schedule_check(context, forward.deadline_at_ms)


def _perform(context: DecisionContext, action: str) -> DecisionContext:
    """Perform one action of the chart."""
    match action:
        case "start_sub_requests":
            for sub_request in context.forward.ordered_sub_requests:
                context = start_sub_request(context, sub_request)
            return _schedule_checks(context)
        case "cancel_attempts":
            return cancel_attempts(context)
        case "answer":
            return _answer(context, _merge_replies(context))
        case "answer_if_enough":
            return check_completion(context)
        case "refuse":
            return _answer(context, make_refusal(context))
        case "fail":
            return _answer(context, _make_failure(context))
        case _:
            # A request that must not run twice is not cancelled: its client may never resend it.
            return cancel_attempts(context) if context.forward.route.idempotent else context


def _answer(context: DecisionContext, outcome: ForwardOutcome) -> DecisionContext:
    """Answer the client, and add the counter, the duration and the log line of the request."""
    forward = context.forward
    name, reason = _classify_outcome(context, outcome)
    took_ms = context.now_ms - forward.received_at_ms
    labels = (("route", forward.route.name), ("outcome", name), ("reason", reason))
    table = context.state.table
    fields = (
        ("request", forward.event.request.client_request_id),
        *labels,
        ("took_ms", f"{took_ms:.0f}"),
        ("time_left_ms", f"{forward.deadline_at_ms - context.now_ms:.0f}"),
        ("pieces", f"{forward.answered_count}/{len(forward.sub_requests)}"),
        ("required", str(forward.required_count)),
        ("missing", _format_missing(forward)),
        ("targets", _format_targets(forward)),
        ("load", forward.load),
        ("may_have_run", "yes" if forward.may_have_run else "no"),
        ("retry_after_ms", _format_retry_after(outcome)),
        ("table_version", str(table.version) if table else "none"),
    )
    is_complete = name == "answers" and reason == "whole"
    log = LogRoutine if is_complete else LogEvent
    return emit(
        context,
        AnswerForward(forward.request_id, outcome),
        Count(name, reason),
        RecordHistogram("forward_ms", took_ms, labels),
        log("request_ended", fields),
    )


def _format_retry_after(outcome: ForwardOutcome) -> str:
    match outcome:
        case Refused(retry_after_ms=float() as retry_after_ms):
            return f"{retry_after_ms:.0f}"
        case _:
            return ""


def _format_missing(forward: Forward) -> str:
    """Return ``SERVICE:STATE:LAST_FAILURE:ATTEMPTS`` of sub-requests that are not answered."""
    names = sorted(
        f"{item.service}:{item.chart_state}:{item.failure or 'late'}:{item.delivered_attempts}"
        for item in forward.ordered_sub_requests
        if item.chart_state != "answered"
    )
    return ",".join(names[:MAX_LOGGED_SUB_REQUESTS])


def _format_targets(forward: Forward) -> str:
    """Return the targets that a request to one service may have reached; empty for shards."""
    if len(forward.services) != 1:
        return ""
    return ",".join(sorted(forward.sub_requests[forward.services[0]].attempted_target_ids))


def _classify_outcome(context: DecisionContext, outcome: ForwardOutcome) -> tuple[str, str]:
    """Return the counter and the reason that an outcome is counted under."""
    match outcome:
        case Refused(reason=reason):
            return "refusals", reason.value
        case Unanswered(timed_out=timed_out):
            return "failures", "timed_out" if timed_out else "failed"
        case TargetAnswered(status=status) if status >= FIRST_FAILURE_STATUS:
            return "failures", f"status_{status}"
        case ShardsAnswered(missing_shards=missing) if missing:
            return "answers", "partial"
        case _:
            return "answers", "whole"


def _merge_replies(context: DecisionContext) -> ForwardOutcome:
    """Return the merged replies of the shards, or the reply of the only service."""
    forward = context.forward
    replies = [
        sub_request.reply
        for sub_request in forward.ordered_sub_requests
        if sub_request.chart_state == "answered" and sub_request.reply is not None
    ]
    match forward.route.destination:
        case ToShards(top_records=top_records):
            body = merge_records((reply.body for reply in replies), top_records)
            digests = tuple(reply.digest for reply in replies)
            return ShardsAnswered(digests, len(forward.sub_requests) - len(replies), body)
        case _:
            reply = replies[0]
            return TargetAnswered(reply.status, reply.headers, reply.body)


def _make_failure(context: DecisionContext) -> ForwardOutcome:
    """Return the outcome of a request that could not be answered.

    It is the failed reply of the target, if there is one and the route has no shards; else a
    refusal, if no target can have run the request; else `Unanswered`.
    """
    forward = context.forward
    if not isinstance(forward.route.destination, ToShards):
        for sub_request in forward.ordered_sub_requests:
            if sub_request.reply is not None:
                return TargetAnswered(
                    sub_request.reply.status, sub_request.reply.headers, sub_request.reply.body
                )
    if not forward.may_have_run and not _has_open_attempts(context):
        return make_refusal(context)
    timed_out = context.now_ms >= forward.deadline_at_ms
    failures = sorted(
        {sub_request.failure for sub_request in forward.ordered_sub_requests if sub_request.failure}
    )
    return Unanswered(timed_out, ",".join(failures))


def _has_open_attempts(context: DecisionContext) -> bool:
    """Return whether an attempt of the request has not ended.

    Cancelled attempts count: until they have ended, their targets may run them.
    """
    request_id = context.forward.request_id
    return any(attempt.request_id == request_id for attempt in context.state.attempts.values())


def make_refusal(context: DecisionContext) -> Refused:
    """Return the refusal of a request that no target has run, with a time for the retry."""
    forward = context.forward
    return Refused(
        forward.refusal,
        f"request of route {forward.route.name!r} was not run: {forward.refusal.value}",
        not_run=True,
        retry_after_ms=compute_retry_after_ms(
            forward, context.now_ms, max(0.0, _pause_ends_at_ms(context) - context.now_ms)
        ),
    )


def _pause_ends_at_ms(context: DecisionContext) -> float:
    """Return when enough services take requests again for an answer, by what their targets state.

    The time has passed if enough take requests now, and if some have no target at all, so that no
    time is known.
    """
    forward = context.forward
    ends = sorted(pause_ends_at_ms(context.targets, service) for service in forward.services)
    known = [at_ms for at_ms in ends if at_ms < NEVER_MS]
    if not known or len(known) < forward.required_count:
        return context.now_ms
    return known[forward.required_count - 1]


def compute_retry_after_ms(forward: Forward, now_ms: float, pause_ms: float = 0.0) -> float:
    """Return the time in ms after which the client should retry.

    The time is sampled by a hash of the client's request id, so that clients that were refused
    together do not retry together.

    Parameters
    ----------
    forward : Forward
        The request.
    now_ms : float
        Current time, on the clock of the process.
    pause_ms : float, optional
        Time until the targets take requests again, before which a retry would be refused.
    """
    remaining_ms = max(0.0, forward.deadline_at_ms - now_ms)
    latest_ms = min(MAX_RETRY_AFTER_MS, MAX_RETRY_AFTER_SHARE * remaining_ms)
    sample = (
        xxh3_64_intdigest(forward.event.request.client_request_id.encode())
        % _SAMPLE_RANGE
        / _SAMPLE_RANGE
    )
    if pause_ms > 0.0:
        return pause_ms + latest_ms * (1.0 - MIN_RETRY_AFTER_RATIO) * sample
    return latest_ms * (MIN_RETRY_AFTER_RATIO + (1.0 - MIN_RETRY_AFTER_RATIO) * sample)
