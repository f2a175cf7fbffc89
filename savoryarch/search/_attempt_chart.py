"""Follows the chart ``attempt``: replies, failures, and slowness before the reply."""

from collections.abc import Callable
from dataclasses import replace

from savoryarch.charts import load_chart
from savoryarch.model import (
    AttemptEnded,
    ConnectionLost,
    Count,
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
from savoryarch.search._guard import quarantined_for_ms
from savoryarch.search._query_chart import (
    conclude,
    give_up,
    leave_out,
    step_query,
)
from savoryarch.search._replies import cannot_have_run, failure_reason
from savoryarch.search._sending import (
    arm_check,
    cancel_attempt,
    choose,
    count_retry,
    give_back,
    pay,
    pinned_snapshot,
    send_attempt,
    slow_after_ms,
    wait_for_room,
)
from savoryarch.search._settings import (
    BudgetedRetries,
    FixedDelayHedging,
    FixedRetries,
    NoHedging,
)
from savoryarch.search._snapshots import best_snapshot
from savoryarch.search._state import Attempt, Purpose, Shard
from savoryarch.search._turn import Turn, emit, put_shard
from savoryarch.targets import deny_snapshot, has_serving_target, record_overdue
from savoryarch.utils import sorted_items

Action = Callable[[Turn, Attempt], Turn]

_SHED = "shed"
_WAITED = "waited"


def step_attempt(turn: Turn, attempt: Attempt, event: str) -> Turn:
    """Step one attempt of the query at hand through its chart and carry out the actions."""
    step = CHART.step(attempt.life, event)
    if attempt.life != step.next_state and step.next_state not in CHART.final_states:
        attempt = replace(attempt, life=step.next_state)
        attempts = turn.state.attempts.set(attempt.attempt_id, attempt)
        turn = replace(turn, state=replace(turn.state, attempts=attempts))
    for action in step.actions:
        turn = _ACTIONS[action](turn, attempt)
    return turn


def check_slowness(turn: Turn) -> Turn:
    """Judge the attempts that are later than most, and set the timer of the next check."""
    turn = replace(turn, query=replace(turn.query, check_at_ms=float("inf")))
    next_at_ms = float("inf")
    for service, shard in sorted_items(turn.query.pending):
        if not shard.attempt_ids:
            continue
        if shard.check_at_ms <= turn.now_ms:
            turn = step_attempt(turn, turn.state.attempts[shard.attempt_ids[0]], "overdue")
            shard = turn.query.pending[service]
        next_at_ms = min(next_at_ms, shard.check_at_ms)
    return arm_check(turn, next_at_ms)


def _note_overdue(turn: Turn, attempt: Attempt) -> Turn:
    """Teach the choice of targets, and look again when twice the time has passed."""
    waited_ms = turn.now_ms - attempt.begun_at_ms
    targets = record_overdue(turn.targets, attempt.target_id, waited_ms, turn.now_ms)
    shard = turn.query.pending[attempt.service]
    shard = replace(shard, check_at_ms=turn.now_ms + max(waited_ms, 1.0))
    return put_shard(replace(turn, targets=targets), attempt.service, shard)


def _hedge(turn: Turn, attempt: Attempt) -> Turn:
    """Ask another replica as well, if one has room that nobody waits for."""
    service = attempt.service
    shard = turn.query.pending[service]
    hedging = turn.state.settings.hedging
    if isinstance(hedging, NoHedging) or not _is_newest_overdue(turn, shard):
        return turn
    is_busy = service in turn.state.waiting or bool(turn.state.admission.waiting)
    target_id = None if is_busy else choose(turn, service, shard.tried)
    if target_id is None:
        return _check_again(turn, service, turn.state.settings.room_wait_ms)
    paid = turn if isinstance(hedging, FixedDelayHedging) else pay(turn)
    if paid is None:
        turn = emit(turn, Count("budget_spent", "hedge"))
        return _check_again(turn, service, slow_after_ms(turn, service, attempt.target_id) / 4)
    turn = count_retry(paid, "hedge")
    return send_attempt(turn, service, shard, target_id, Purpose.HEDGE)


def _is_newest_overdue(turn: Turn, shard: Shard) -> bool:
    """Return whether the last attempt that was sent has had its time as well."""
    if len(shard.attempt_ids) == 1:
        return True
    if isinstance(turn.state.settings.hedging, FixedDelayHedging):
        return False  # the baseline asks a second replica and never a third
    newest = turn.state.attempts[shard.attempt_ids[-1]]
    patience_ms = slow_after_ms(turn, newest.service, newest.target_id)
    return turn.now_ms - newest.begun_at_ms >= patience_ms


def _check_again(turn: Turn, service: str, after_ms: float) -> Turn:
    """Judge the slowness of a shard again before twice the time has passed."""
    shard = turn.query.pending[service]
    check_at_ms = min(shard.check_at_ms, turn.now_ms + after_ms)
    turn = put_shard(turn, service, replace(shard, check_at_ms=check_at_ms))
    return arm_check(turn, check_at_ms)


def _deliver(turn: Turn, attempt: Attempt) -> Turn:
    """Add the part to the answer and cancel what else was asked for it."""
    query = turn.query
    ended = turn.ended
    if ended is None or not isinstance(ended.reply, PartReturned):
        raise AssertionError("only a returned part is delivered")
    shard = query.pending[attempt.service]
    part = Part(attempt.service, ended.reply.records)
    query = replace(
        query,
        pending=query.pending.delete(attempt.service),
        parts=query.parts.set(attempt.service, part),
    )
    turn = replace(turn, query=query)
    for attempt_id in shard.attempt_ids:
        if attempt_id != attempt.attempt_id:
            turn = cancel_attempt(turn, attempt_id)
    return conclude(turn)


def _discard(turn: Turn, attempt: Attempt) -> Turn:
    return emit(turn, Count("replies_discarded", attempt.purpose.value))


def _cancel(turn: Turn, attempt: Attempt) -> Turn:
    return cancel_attempt(turn, attempt.attempt_id)


def _recover(turn: Turn, attempt: Attempt) -> Turn:
    """Wait for the other attempt, ask another replica, or leave the shard out."""
    ended = turn.ended
    if ended is None:
        raise AssertionError("an attempt fails by its end")
    reason = failure_reason(ended.reply)
    turn = _note_failure(turn, attempt, ended, reason)
    shard = turn.query.pending[attempt.service]
    if quarantined_for_ms(turn) is not None:
        return _refuse_quarantined(turn)
    if shard.attempt_ids:
        return _hedge_again(turn, attempt, ended)
    due_at_ms = turn.query.deadline_at_ms - turn.state.settings.answer_margin_ms
    if reason is LeftOutReason.LATE or turn.now_ms >= due_at_ms:
        return conclude(leave_out(turn, attempt.service, reason))
    if isinstance(ended.reply, Shed):
        return _retry_shed(turn, attempt.service, shard)
    return conclude(_retry(turn, attempt.service, shard, reason))


def _hedge_again(turn: Turn, attempt: Attempt, ended: AttemptEnded) -> Turn:
    """Ask another replica at once if a hedge was shed, or soon if none has room."""
    if attempt.purpose is not Purpose.HEDGE or not isinstance(ended.reply, Shed):
        return turn
    shard = turn.query.pending[attempt.service]
    return _hedge(turn, turn.state.attempts[shard.attempt_ids[0]])


def _refuse_quarantined(turn: Turn) -> Turn:
    """Refuse a query that was found to crash targets while it ran."""
    query = replace(
        turn.query,
        refusal=RefusalReason.QUARANTINED,
        retry_after_ms=quarantined_for_ms(turn),
    )
    return step_query(replace(turn, query=query), "fell_short")


def _note_failure(turn: Turn, attempt: Attempt, ended: AttemptEnded, reason: LeftOutReason) -> Turn:
    shard = turn.query.pending[attempt.service]
    rest = tuple(item for item in shard.attempt_ids if item != attempt.attempt_id)
    tried = shard.tried - {attempt.target_id} if isinstance(ended.reply, Shed) else shard.tried
    turn = put_shard(
        turn,
        attempt.service,
        replace(shard, attempt_ids=rest, tried=tried, failure=reason),
    )
    if reason is LeftOutReason.SNAPSHOT:
        targets = deny_snapshot(turn.targets, attempt.target_id, attempt.snapshot)
        turn = replace(turn, targets=targets)
    if cannot_have_run(ended.reply):
        query = replace(turn.query, may_have_run=turn.query.may_have_run - 1)
        turn = replace(turn, query=query)
        if attempt.purpose in (Purpose.HEDGE, Purpose.RETRY):
            turn = give_back(turn)
    match ended.reply:
        case Shed():
            return replace(turn, query=replace(turn.query, sheds=turn.query.sheds + 1))
        case ConnectionLost() | NotSent():
            return emit(turn, ProbeTarget(attempt.target_id))
        case MalformedReply(detail=detail):
            fields = (("target", attempt.target_id), ("detail", detail))
            return emit(turn, LogEvent("malformed_reply", fields))
        case _:
            return turn


def _retry_shed(turn: Turn, service: str, shard: Shard) -> Turn:
    """Ask another replica at once, or wait until the pause is over.

    Nothing ran, so that it costs no extra load; a target that shed is paused, so that a shard
    asks each replica once and then waits.
    """
    target_id = choose(turn, service, shard.tried)
    if target_id is None:
        return wait_for_room(turn, service, shard)
    return _send_retry(turn, service, shard, target_id, _SHED)


def _retry(turn: Turn, service: str, shard: Shard, reason: LeftOutReason) -> Turn:
    """Ask another replica, wait for one to have room, or leave the shard out."""
    if not has_serving_target(turn.targets, service, shard.tried, turn.query.snapshot):
        return _restart(turn, service, reason)
    target_id = choose(turn, service, shard.tried)
    paid = _pay_retry(turn, shard)
    if paid is None:
        return leave_out(turn, service, reason)
    if target_id is None:
        return wait_for_room(turn, service, shard)
    return _send_retry(paid, service, shard, target_id, reason.value)


def _pay_retry(turn: Turn, shard: Shard) -> Turn | None:
    match turn.state.settings.retries:
        case FixedRetries(count=count):
            return turn if shard.retries < count else None
        case BudgetedRetries(count=count):
            return pay(turn) if shard.retries < count else None


def _send_retry(turn: Turn, service: str, shard: Shard, target_id: str, reason: str) -> Turn:
    turn = count_retry(turn, reason)
    if reason in (_SHED, _WAITED):
        return send_attempt(turn, service, shard, target_id, Purpose.RESEND)
    shard = replace(shard, retries=shard.retries + 1)
    return send_attempt(turn, service, shard, target_id, Purpose.RETRY)


def _restart(turn: Turn, service: str, reason: LeftOutReason) -> Turn:
    """Start the whole query again at another snapshot if that can end in time."""
    query = turn.query
    spent_ms = turn.now_ms - query.asked_at_ms
    left_ms = query.deadline_at_ms - turn.now_ms
    too_late = query.restarts >= turn.state.settings.max_restarts or left_ms < spent_ms
    if reason is not LeftOutReason.SNAPSHOT or too_late:
        return leave_out(turn, service, reason)
    snapshot = best_snapshot(turn.targets, query.search, frozenset({pinned_snapshot(turn)}))
    paid = pay(turn, len(query.services)) if snapshot is not None else None
    if paid is None:
        return leave_out(turn, service, reason)
    turn = replace(paid, query=replace(paid.query, snapshot=snapshot))
    return step_query(count_retry(turn, "restart"), "restarted")


def resume_waiting(turn: Turn, service: str) -> Turn | None:
    """Send the attempt of a shard that waited for room; None if there is none yet.

    Waiting for the pause after a shed is paid for by the wait; other retries are paid for here.
    """
    shard = turn.query.pending[service]
    if quarantined_for_ms(turn) is not None:
        return _refuse_quarantined(turn)
    if not has_serving_target(turn.targets, service, shard.tried, turn.query.snapshot):
        return conclude(give_up(turn, service, shard))
    target_id = choose(turn, service, shard.tried)
    if target_id is None:
        return None
    if shard.failure is None:
        return send_attempt(turn, service, shard, target_id, Purpose.FIRST)
    if shard.failure is LeftOutReason.REFUSED:
        return _send_retry(turn, service, shard, target_id, _WAITED)
    paid = _pay_retry(turn, shard)
    if paid is None:
        return conclude(leave_out(turn, service, shard.failure))
    return _send_retry(paid, service, shard, target_id, shard.failure.value)


_ACTIONS: dict[str, Action] = {
    "note_overdue": _note_overdue,
    "hedge": _hedge,
    "deliver": _deliver,
    "recover": _recover,
    "cancel": _cancel,
    "discard": _discard,
}

CHART = load_chart("attempt", frozenset(_ACTIONS))
