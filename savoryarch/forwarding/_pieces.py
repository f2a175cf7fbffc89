"""Sends, hedges and retries the pieces of a request, along the chart ``piece``."""

from savoryarch.charts import load_chart
from savoryarch.forwarding._budgets import pay_extra, refund_extra
from savoryarch.forwarding._state import NEVER_MS, ForwardAttempt, SubRequest
from savoryarch.forwarding._turn import ROOM_TIMER, Turn, arm, emit, put_piece
from savoryarch.model import (
    AttemptEnded,
    AttemptReply,
    CancelAttempt,
    Count,
    Draining,
    LogRoutine,
    Misdirected,
    NotSent,
    ResponseReturned,
    SendAttempt,
    SetTimer,
    Shed,
)
from savoryarch.quarantine import Quarantined, check_request, record_attempt_started
from savoryarch.targets import choose_target, has_serving_target, record_overdue, start_attempt
from savoryarch.utils import replace

CHART = load_chart(
    "piece",
    frozenset({"keep_reply", "cancel_others", "retry", "hedge", "wait_for_room", "count_left_out"}),
)
ROOM_WAIT_MS = 5.0  # between looks for room while a piece waits
FIRST_FAILURE_STATUS = 500
MAX_IN_FLIGHT = 2  # attempts of one piece at a time
RESENDS_PER_TARGET = 2  # of one piece, counting the first send
LEAST_SAMPLES = 20  # before the usual latency of a service is trusted
LEAST_HEDGE_RATIO = 0.1  # of the objective; an earlier hedge is seldom the faster one


def start_piece(turn: Turn, piece: SubRequest) -> Turn:
    """Send the first attempt of a piece, or let it wait for room."""
    target_id = _choose(turn, piece)
    if target_id is not None:
        return _send(turn, piece, target_id)
    if has_serving_target(turn.targets, piece.service, piece.excluded, None):
        return _wait(put_piece(turn, piece), piece.service)
    return leave_out(turn, piece, "no_target")


def end_piece_attempt(turn: Turn, ended: AttemptEnded, service: str) -> Turn:
    """Take the end of an attempt that is still wanted."""
    reply, target_id = ended.reply, ended.target_id
    piece = turn.forward.pieces[service]
    if not isinstance(reply, ResponseReturned) or reply.status >= FIRST_FAILURE_STATUS:
        turn = emit(turn, _log_failure(turn, ended, service))
    left = tuple(name for name in piece.attempt_ids if name != ended.attempt_id)
    piece = replace(piece, attempt_ids=left)
    match reply:
        case ResponseReturned(status=status) if status < FIRST_FAILURE_STATUS:
            return _step(turn, replace(piece, reply=reply, may_have_run=True), "replied")
        case ResponseReturned(status=status):
            kept = replace(piece, reply=reply, may_have_run=True, failure=f"status_{status}")
            return _step(turn, kept, "failed")
        case NotSent():
            # Nothing arrived there: another target takes its place.
            piece = replace(
                piece,
                attempted_target_ids=piece.attempted_target_ids - {target_id},
                excluded=piece.excluded | {target_id},
                delivered_attempts=piece.delivered_attempts - 1,
                failure="not_connected",
            )
            if piece.delivered_attempts:
                turn = refund_extra(turn, service)
            return _step(turn, piece, "failed")
        case Shed():
            return _step(turn, replace(piece, failure="shed"), "failed")
        case Draining() | Misdirected():
            excluded = piece.excluded | {target_id}
            failed = replace(piece, excluded=excluded, failure=_reply_label(reply))
            return _step(turn, failed, "failed")
        case _:
            excluded = piece.excluded | {target_id}
            failed = replace(
                piece, excluded=excluded, may_have_run=True, failure=_reply_label(reply)
            )
            return _step(turn, failed, "failed")


def _log_failure(turn: Turn, ended: AttemptEnded, service: str) -> LogRoutine:
    """Tell how an attempt failed, and how much of the target this instance used then."""
    use = turn.targets.usages.get(ended.target_id)
    reply = ended.reply
    status = str(reply.status) if isinstance(reply, ResponseReturned) else ""
    fields = (
        ("request", turn.forward.asked.request.client_request_id),
        ("service", service),
        ("target", ended.target_id),
        ("reply", _reply_label(reply)),
        ("status", status),
        ("detail", str(getattr(reply, "detail", ""))),
        ("waited_ms", f"{turn.now_ms - turn.forward.asked_at_ms:.0f}"),
        ("target_in_flight", str(use.in_flight) if use else "gone"),
        ("target_failing", f"{use.failure_share:.2f}" if use else "gone"),
    )
    return LogRoutine("attempt_failed", fields)


def check_pieces(turn: Turn) -> Turn:
    """Hedge the pieces whose attempts take too long."""
    for service in turn.forward.services:
        piece = turn.forward.pieces[service]
        if piece.hedge_at_ms <= turn.now_ms and piece.chart_state == "in_flight":
            turn = _step(turn, replace(piece, hedge_at_ms=NEVER_MS), "overdue")
    due_ms = min(
        (
            piece.hedge_at_ms
            for piece in turn.forward.ordered_pieces
            if piece.chart_state == "in_flight"
        ),
        default=NEVER_MS,
    )
    return arm(turn, due_ms)


def leave_out(turn: Turn, piece: SubRequest, failure: str) -> Turn:
    """Give a piece up."""
    return _step(turn, replace(piece, failure=failure), "exhausted")


def cancel_attempts(turn: Turn) -> Turn:
    """Stop wanting every attempt of the request."""
    for piece in turn.forward.ordered_pieces:
        turn = _cancel(turn, piece)
    return turn


def take_room(turn: Turn, service: str) -> Turn:
    """Send a waiting piece, for which there may be room now."""
    piece = turn.forward.pieces.get(service)
    if piece is None or piece.chart_state != "waiting":
        return turn
    if not piece.delivered_attempts:
        return start_piece(turn, piece)
    if not _has_candidates(turn, piece):
        return leave_out(turn, piece, piece.failure)
    return _send_extra(turn, piece, piece.failure) or _wait(turn, service)


def _step(turn: Turn, piece: SubRequest, event: str) -> Turn:
    transition = CHART.step(piece.chart_state, event)
    piece = replace(piece, chart_state=transition.next_state)
    turn = put_piece(turn, piece)
    for action in transition.actions:
        turn = _act(turn, piece, action)
    return turn


def _act(turn: Turn, piece: SubRequest, action: str) -> Turn:
    match action:
        case "keep_reply":
            return replace(turn, forward=replace(turn.forward, answered=turn.forward.answered + 1))
        case "cancel_others":
            return _cancel(turn, piece)
        case "count_left_out":
            turn = emit(turn, Count("pieces_left_out", piece.failure))
            return replace(turn, forward=replace(turn.forward, left_out=turn.forward.left_out + 1))
        case "hedge":
            return _hedge(turn, piece)
        case "wait_for_room":
            return _wait(turn, piece.service)
        case _:
            return _retry(turn, piece)


def _cancel(turn: Turn, piece: SubRequest) -> Turn:
    for attempt_id in piece.attempt_ids:
        target_id = turn.state.attempts[attempt_id].target_id
        turn = emit(turn, CancelAttempt(attempt_id, target_id))
    return put_piece(turn, replace(piece, attempt_ids=()))


def _hedge(turn: Turn, piece: SubRequest) -> Turn:
    attempt = turn.state.attempts[piece.attempt_ids[-1]]
    waited_ms = turn.now_ms - attempt.begun_at_ms
    targets = record_overdue(turn.targets, attempt.target_id, waited_ms, turn.now_ms)
    turn = replace(turn, targets=targets)
    if not turn.forward.route.idempotent or len(piece.attempt_ids) >= MAX_IN_FLIGHT:
        return turn
    return _send_extra(turn, piece, "hedge") or turn


def _retry(turn: Turn, piece: SubRequest) -> Turn:
    """Send the piece again after a failure, if that is allowed, or wait for its other attempts."""
    if turn.forward.route.idempotent or not piece.may_have_run:
        sent = _send_extra(turn, piece, piece.failure)
        if sent is not None:
            return sent
        if not piece.attempt_ids and _has_candidates(turn, piece):
            return _step(turn, piece, "postponed")
    if piece.attempt_ids:
        return turn
    return leave_out(turn, piece, piece.failure)


def _send_extra(turn: Turn, piece: SubRequest, reason: str) -> Turn | None:
    """Send one more attempt of a piece; None if that is not allowed or not possible now."""
    if turn.now_ms >= turn.forward.deadline_at_ms or not _has_candidates(turn, piece):
        return None
    target_id = _choose(turn, piece)
    if target_id is None:
        return None
    if piece.delivered_attempts:
        paid = pay_extra(turn, piece.service)
        if paid is None:
            return None
        turn = paid
    turn = emit(turn, Count("retries", reason), _log_resend(turn, piece, reason, target_id))
    return _send(turn, piece, target_id)


def _log_resend(turn: Turn, piece: SubRequest, reason: str, target_id: str) -> LogRoutine:
    """Tell why a piece is sent again, and what that was decided on."""
    forward = turn.forward
    held = turn.state.budgets.get(piece.service)
    fields = (
        ("request", forward.asked.request.client_request_id),
        ("service", piece.service),
        ("reason", reason),
        ("target", target_id),
        ("tried", ",".join(sorted(piece.attempted_target_ids))),
        ("waited_ms", f"{turn.now_ms - forward.asked_at_ms:.0f}"),
        ("budget_left", f"{held.budget.tokens:.1f}" if held else "none"),
    )
    return LogRoutine("piece_resent", fields)


def _has_candidates(turn: Turn, piece: SubRequest) -> bool:
    """Return whether a target is left that the piece may be sent to, room or not."""
    forward = turn.forward
    if piece.delivered_attempts >= RESENDS_PER_TARGET * forward.route.max_attempts:
        return False
    judged = check_request(turn.state.quarantine, forward.fingerprint, turn.now_ms)
    if isinstance(judged, Quarantined):
        return False
    return has_serving_target(turn.targets, piece.service, _exclusions(turn, piece), None)


def _exclusions(turn: Turn, piece: SubRequest) -> frozenset[str]:
    """Return the targets that the next attempt must not go to.

    A request may reach no more targets than its route allows. After that it goes only to those
    again that it reached already, and only where none of its attempts is in flight.
    """
    in_flight = frozenset(
        turn.state.attempts[attempt_id].target_id for attempt_id in piece.attempt_ids
    )
    excluded = piece.excluded | in_flight
    if len(piece.attempted_target_ids) < turn.forward.route.max_attempts:
        return excluded
    known = turn.targets.services.get(piece.service)
    return excluded | (
        frozenset(known.target_ids) - piece.attempted_target_ids if known else frozenset()
    )


def _choose(turn: Turn, piece: SubRequest) -> str | None:
    """Choose a target, one that the piece has not reached yet if there is one with room."""
    excluded = _exclusions(turn, piece)
    if piece.attempted_target_ids:
        fresh = _choose_outside(turn, piece.service, excluded | piece.attempted_target_ids)
        if fresh is not None:
            return fresh
    return _choose_outside(turn, piece.service, excluded)


def _choose_outside(turn: Turn, service: str, excluded: frozenset[str]) -> str | None:
    return choose_target(turn.targets, service, exclude=excluded, snapshot=None, now_ms=turn.now_ms)


def _send(turn: Turn, piece: SubRequest, target_id: str) -> Turn:
    state, forward, now_ms = turn.state, turn.forward, turn.now_ms
    attempt_id = f"forwarding/{state.attempts_sent}"
    hedge_at_ms = now_ms + _hedge_delay_ms(turn, piece.service)
    attempt = ForwardAttempt(attempt_id, forward.request_id, piece.service, target_id, now_ms)
    quarantine = record_attempt_started(
        state.quarantine, attempt_id, piece.service, target_id, forward.fingerprint
    )
    state = replace(
        state,
        attempts_sent=state.attempts_sent + 1,
        attempts=state.attempts.set(attempt_id, attempt),
        quarantine=quarantine,
    )
    piece = replace(
        piece,
        attempt_ids=(*piece.attempt_ids, attempt_id),
        attempted_target_ids=piece.attempted_target_ids | {target_id},
        delivered_attempts=piece.delivered_attempts + 1,
        hedge_at_ms=hedge_at_ms,
    )
    turn = replace(turn, state=state, targets=start_attempt(turn.targets, target_id, now_ms))
    turn = emit(
        turn,
        SendAttempt(
            attempt_id,
            target_id,
            forward.deadline_at_ms,
            forward.asked.request,
            repeatable=forward.route.idempotent,
        ),
    )
    return arm(_step(turn, piece, "sent"), hedge_at_ms)


def _hedge_delay_ms(turn: Turn, service: str) -> float:
    most_ms = turn.state.settings.hedge_ratio * turn.forward.route.objective_ms
    known = turn.targets.services[service].latency_histogram
    if known.samples < LEAST_SAMPLES:
        return most_ms
    least_ms = LEAST_HEDGE_RATIO * turn.forward.route.objective_ms
    return max(least_ms, min(most_ms, known.tail_ms))


def _wait(turn: Turn, service: str) -> Turn:
    """Queue the request for the next free place at a service, the most urgent first."""
    queue = turn.state.waiting.get(service, ())
    request_id = turn.forward.request_id
    if request_id in queue:
        return turn
    priority = turn.forward.route.priority
    place = len(queue)
    while place and _priority_of(turn, queue[place - 1]) > priority:
        place -= 1
    waiting = turn.state.waiting.set(service, (*queue[:place], request_id, *queue[place:]))
    turn = replace(turn, state=replace(turn.state, waiting=waiting))
    if queue:
        return turn
    return emit(turn, SetTimer(ROOM_TIMER + service, turn.now_ms + ROOM_WAIT_MS))


def _priority_of(turn: Turn, request_id: str) -> int:
    forward = turn.state.forwards.get(request_id)
    return forward.route.priority if forward else 0


def _reply_label(reply: AttemptReply) -> str:
    name = type(reply).__name__
    return "".join(f"_{letter.lower()}" if letter.isupper() else letter for letter in name)[1:]
