"""Follows the chart ``forward`` for each request: its start, its end and its answer."""

from xxhash import xxh3_64_intdigest

from savoryarch.charts import load_chart
from savoryarch.forwarding._merge import merge_records
from savoryarch.forwarding._pieces import (
    FIRST_FAILURE_STATUS,
    cancel_attempts,
    check_pieces,
    start_piece,
)
from savoryarch.forwarding._state import NEVER_MS, Forward
from savoryarch.forwarding._turn import Turn, arm, emit
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
from savoryarch.utils import replace

CHART = load_chart(
    "forward",
    frozenset(
        {"start_pieces", "refuse", "cancel_attempts", "answer", "answer_if_enough", "fail", "leave"}
    ),
)
MAX_RETURN_SHARE = 1.0 / 3.0  # of the time left; clients do not wait longer before a retry
MAX_RETURN_MS = 1000.0  # a burst or the loss of an instance is mostly over by then
MAX_LOGGED_PIECES = 4  # the pieces of a search mostly fail for one reason
MIN_RETURN_RATIO = 0.3  # earliest return, relative to the latest
_DRAWS = 1 << 32


def step_forward(turn: Turn, event: str) -> Turn:
    """Step the request at hand through its chart."""
    transition = CHART.step(turn.forward.life, event)
    turn = replace(turn, forward=replace(turn.forward, life=transition.next_state))
    for action in transition.actions:
        turn = _act(turn, action)
    return turn


def is_ended(forward: Forward) -> bool:
    """Return whether the request has its answer, or nobody waits for one."""
    return forward.life in CHART.final_states


def review(turn: Turn) -> Turn:
    """End the request if its pieces allow or demand it."""
    forward = turn.forward
    if is_ended(forward):
        return turn
    possible = len(forward.pieces) - forward.left_out
    if possible < forward.required:
        return step_forward(turn, "fell_short")
    enough = forward.answered >= forward.required
    if forward.answered == possible or (enough and forward.life == "overdue"):
        return step_forward(turn, "settled")
    return turn


def check_due(turn: Turn) -> Turn:
    """Take the timer of the request."""
    turn = replace(turn, forward=replace(turn.forward, check_at_ms=NEVER_MS))
    forward = turn.forward
    if turn.now_ms >= forward.deadline_at_ms:
        return step_forward(turn, "deadline_due")
    if forward.life == "collecting" and turn.now_ms >= forward.objective_at_ms:
        turn = step_forward(turn, "objective_due")
    if is_ended(turn.forward):
        return turn
    if _waits_in_vain(turn):
        refusal = replace(turn.forward, refusal=RefusalReason.OVERLOADED)
        return step_forward(replace(turn, forward=refusal), "fell_short")
    return review(_arm_all(check_pieces(turn)))


def _waits_in_vain(turn: Turn) -> bool:
    """Return whether no piece has found room within the time that a request may wait."""
    forward = turn.forward
    return _is_untouched(forward) and turn.now_ms >= _wait_until_ms(turn)


def _is_untouched(forward: Forward) -> bool:
    return all(
        piece.chart_state == "waiting" and not piece.delivered_attempts
        for piece in forward.ordered_pieces
    )


def _wait_until_ms(turn: Turn) -> float:
    wait_ms = turn.state.settings.wait_ratio * turn.forward.route.objective_ms
    return turn.forward.asked_at_ms + wait_ms


def _arm_all(turn: Turn) -> Turn:
    forward = turn.forward
    if forward.life == "collecting":
        turn = arm(turn, forward.objective_at_ms)
    if _is_untouched(forward):
        turn = arm(turn, max(_wait_until_ms(turn), turn.now_ms))
    return arm(turn, forward.deadline_at_ms)


def _act(turn: Turn, action: str) -> Turn:
    match action:
        case "start_pieces":
            for piece in turn.forward.ordered_pieces:
                turn = start_piece(turn, piece)
            return _arm_all(turn)
        case "cancel_attempts":
            return cancel_attempts(turn)
        case "answer":
            return _answer(turn, _merge(turn))
        case "answer_if_enough":
            return review(turn)
        case "refuse":
            return _answer(turn, make_refusal(turn))
        case "fail":
            return _answer(turn, _failure(turn))
        case _:
            # A request that must not run twice goes on: its client may have left for good.
            return cancel_attempts(turn) if turn.forward.route.idempotent else turn


def _answer(turn: Turn, outcome: ForwardOutcome) -> Turn:
    forward = turn.forward
    name, reason = _describe(turn, outcome)
    took_ms = turn.now_ms - forward.asked_at_ms
    labels = (("route", forward.route.name), ("outcome", name), ("reason", reason))
    table = turn.state.table
    fields = (
        ("request", forward.asked.request.client_request_id),
        *labels,
        ("took_ms", f"{took_ms:.0f}"),
        ("time_left_ms", f"{forward.deadline_at_ms - turn.now_ms:.0f}"),
        ("pieces", f"{forward.answered}/{len(forward.pieces)}"),
        ("required", str(forward.required)),
        ("missing", _missing(forward)),
        ("targets", _targets(forward)),
        ("may_have_run", "yes" if forward.may_have_run else "no"),
        ("retry_after_ms", _retry_after(outcome)),
        ("table_version", str(table.version) if table else "none"),
    )
    went_well = name == "answers" and reason == "whole"
    log = LogRoutine if went_well else LogEvent
    return emit(
        turn,
        AnswerForward(forward.request_id, outcome),
        Count(name, reason),
        RecordHistogram("forward_ms", took_ms, labels),
        log("request_ended", fields),
    )


def _retry_after(outcome: ForwardOutcome) -> str:
    match outcome:
        case Refused(retry_after_ms=float() as retry_after_ms):
            return f"{retry_after_ms:.0f}"
        case _:
            return ""


def _missing(forward: Forward) -> str:
    names = sorted(
        f"{piece.service}:{piece.chart_state}:{piece.failure or 'late'}:{piece.delivered_attempts}"
        for piece in forward.ordered_pieces
        if piece.chart_state != "answered"
    )
    return ",".join(names[:MAX_LOGGED_PIECES])


def _targets(forward: Forward) -> str:
    """Return the targets that a request of one piece may have reached."""
    if len(forward.services) != 1:
        return ""
    return ",".join(sorted(forward.pieces[forward.services[0]].attempted_target_ids))


def _describe(turn: Turn, outcome: ForwardOutcome) -> tuple[str, str]:
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


def _merge(turn: Turn) -> ForwardOutcome:
    forward = turn.forward
    replies = [
        piece.reply
        for piece in forward.ordered_pieces
        if piece.chart_state == "answered" and piece.reply is not None
    ]
    match forward.route.destination:
        case ToShards(top_records=top_records):
            body = merge_records((reply.body for reply in replies), top_records)
            digests = tuple(reply.digest for reply in replies)
            return ShardsAnswered(digests, len(forward.pieces) - len(replies), body)
        case _:
            reply = replies[0]
            return TargetAnswered(reply.status, reply.headers, reply.body)


def _failure(turn: Turn) -> ForwardOutcome:
    """Return the target's own failure, or a refusal if nothing can have run, or neither."""
    forward = turn.forward
    if not isinstance(forward.route.destination, ToShards):
        for piece in forward.ordered_pieces:
            if piece.reply is not None:
                return TargetAnswered(piece.reply.status, piece.reply.headers, piece.reply.body)
    if not forward.may_have_run and not _has_open_attempts(turn):
        return make_refusal(turn)
    timed_out = turn.now_ms >= forward.deadline_at_ms
    failures = sorted({piece.failure for piece in forward.ordered_pieces if piece.failure})
    return Unanswered(timed_out, ",".join(failures))


def _has_open_attempts(turn: Turn) -> bool:
    # Cancelled attempts have not ended yet: their targets may be at work.
    request_id = turn.forward.request_id
    return any(attempt.request_id == request_id for attempt in turn.state.attempts.values())


def make_refusal(turn: Turn) -> Refused:
    """Return the refusal of a request of which nothing has run."""
    forward = turn.forward
    return Refused(
        forward.refusal,
        f"request of route {forward.route.name!r} was not run: {forward.refusal.value}",
        not_run=True,
        retry_after_ms=return_after_ms(forward, turn.now_ms),
    )


def return_after_ms(forward: Forward, now_ms: float) -> float:
    """Return when the client should come back.

    Clients that were refused together are spread over the time that they can wait, by a draw from
    their request ids.
    """
    left_ms = max(0.0, forward.deadline_at_ms - now_ms)
    latest_ms = min(MAX_RETURN_MS, MAX_RETURN_SHARE * left_ms)
    draw = xxh3_64_intdigest(forward.asked.request.client_request_id.encode()) % _DRAWS / _DRAWS
    return latest_ms * (MIN_RETURN_RATIO + (1.0 - MIN_RETURN_RATIO) * draw)
