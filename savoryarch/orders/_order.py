"""Takes one request from its claim to its outcome."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from types import MappingProxyType

from savoryarch.charts import load_chart
from savoryarch.model import (
    AttemptReply,
    Claim,
    Claimant,
    ClaimBucketFull,
    ClaimDone,
    ClaimFailed,
    ClaimGranted,
    ClaimHeld,
    ClaimKeyExpired,
    ClaimKeyReused,
    ClaimNotRun,
    ClaimOutcomeFound,
    ClaimOutcomeUnknown,
    ClaimResolution,
    ClaimState,
    ClaimSubmitted,
    ClearTimer,
    Count,
    DeadlinePassed,
    Draining,
    NotSent,
    OutcomeSubmitted,
    RouteRequest,
    RouteReturned,
    SendAttempt,
    SetTimer,
    Shed,
    SnapshotNotServed,
)
from savoryarch.orders._claims import (
    Submitted,
    bucket_of,
    digest_key,
    fingerprint_body,
    outcome_of,
    with_state,
)
from savoryarch.orders._order_answers import (
    answer_done,
    answer_held,
    answer_recorded,
    answer_unknown,
    is_too_late,
    refuse_claim,
    refuse_not_run,
)
from savoryarch.orders._ownership import owner_of
from savoryarch.orders._state import Order, Relayed, Settled, Turn
from savoryarch.orders._submission import settle_claim, submit_claim, withdraw_claim
from savoryarch.targets import choose_target, start_attempt

Action = Callable[[Turn, Order, object], Turn]

_MAX_WRITERS = 3
_MAX_WAIT_DOUBLINGS = 4


def step_order(turn: Turn, order: Order, event: str, cause: object = None) -> Turn:
    """Take an order through one transition of its chart, if it has one for the event."""
    if not ORDER_CHART.accepts(order.state, event):
        return turn
    transition = ORDER_CHART.step(order.state, event)
    turn = turn.put_order(replace(order, state=transition.next_state))
    for action in transition.actions:
        turn = _ACTIONS[action](turn, turn.state.orders[order.request_id], cause)
    ended = turn.state.orders.get(order.request_id)
    if ended is not None and ended.state in ORDER_CHART.final_states:
        turn = _forget(turn, ended)
    return turn


def deliver_resolution(turn: Turn, claimant: Claimant, resolution: ClaimResolution) -> Turn:
    """Hand what a claim came to to its order, if that still waits for it."""
    if not _is_own(turn, claimant):
        return turn
    order = turn.state.orders.get(turn.state.claimants.get(claimant.sequence, ""))
    if order is None:
        return turn
    return step_order(turn, order, _resolution_event(resolution), resolution)


def decide_attempt_reply(turn: Turn, order: Order, reply: AttemptReply) -> Turn:
    """Decide what the end of an attempt means for its order."""
    order = replace(order, detail=_reply_detail(reply))
    match reply:
        case RouteReturned():
            return step_order(turn, order, "returned", reply)
        case Shed() | Draining() | NotSent() | SnapshotNotServed() | DeadlinePassed(not_run=True):
            return step_order(turn, order, "not_run", reply)
        case _ if order.route.idempotent:
            return step_order(turn, replace(order, may_have_run=True), "not_run", reply)
        case _:
            return step_order(turn, order, "not_sure", reply)


def _is_own(turn: Turn, claimant: Claimant) -> bool:
    state = turn.state
    return (claimant.instance_id, claimant.incarnation) == (state.instance_id, state.incarnation)


def _resolution_event(resolution: ClaimResolution) -> str:
    match resolution:
        case ClaimGranted():
            return "claim_granted"
        case ClaimHeld():
            return "claim_held"
        case ClaimOutcomeFound(state=ClaimDone() | ClaimOutcomeUnknown()):
            return "outcome_found"
        case ClaimFailed():
            return "writer_failed"
        case _:
            return "claim_refused"


def _submit_claim(turn: Turn, order: Order, cause: object) -> Turn:
    """Ask the next instance to write the claim: the bucket's owner, this one, one other."""
    claim = order.claim
    if claim is None:
        sequence = turn.state.sequence + 1
        claim = _make_claim(turn, order, sequence)
        claimants = turn.state.claimants.set(sequence, order.request_id)
        turn = turn.change(sequence=sequence, claimants=claimants)
    order = _learn_failure(replace(order, claim=claim), cause)
    writer = _next_writer(turn, order)
    if not writer:
        return step_order(turn.put_order(order), order, "claim_refused", cause)
    order = replace(order, writers=(*order.writers, writer))
    turn = turn.put_order(order)
    if _next_writer(turn, order):
        due_at_ms = turn.now_ms + turn.state.settings.relay_timeout_ms
        turn = turn.emit(SetTimer(_timer("claim", order), due_at_ms))
    if writer == turn.state.instance_id:
        submitted = Submitted(claim, order.deadline_at_ms, order.asked.created_at_ms)
        return submit_claim(turn, submitted)
    remaining_ms = order.deadline_at_ms - turn.now_ms
    return turn.post(writer, ClaimSubmitted(claim, remaining_ms, order.asked.created_at_ms))


def _learn_failure(order: Order, cause: object) -> Order:
    match cause:
        case ClaimFailed(key_unused=key_unused, may_be_written=may_be_written):
            return replace(
                order,
                key_unused=order.key_unused or key_unused,
                may_be_written=order.may_be_written or may_be_written,
            )
        case _:
            # The first writer is asked, or the last one was silent.
            return replace(order, may_be_written=bool(order.writers))


def _make_claim(turn: Turn, order: Order, sequence: int) -> Claim:
    return Claim(
        digest=digest_key(order.route.name, order.asked.idempotency_key),
        fingerprint=fingerprint_body(order.asked.body),
        claimant=Claimant(turn.state.instance_id, turn.state.incarnation, sequence),
        claimed_at_ms=int(turn.wall_ms),
    )


def _next_writer(turn: Turn, order: Order) -> str:
    state = turn.state
    if not state.settings.relays_claims:
        return "" if order.writers else state.instance_id
    if len(order.writers) >= _MAX_WRITERS:
        return ""
    digest = digest_key(order.route.name, order.asked.idempotency_key)
    owner = owner_of(state, bucket_of(digest, state.settings.buckets))
    for instance in (owner, state.instance_id, *state.live):
        if instance not in order.writers:
            return instance
    return ""


def _withdraw_claim(turn: Turn, order: Order, cause: object) -> Turn:
    """Give the claim up; if it may be in the store, record that the request was not run."""
    assert order.claim is not None
    turn, waiting = withdraw_claim(turn, order.claim)
    if waiting is not None and waiting.key_unused:
        turn = turn.put_order(replace(order, key_unused=True))
    if order.may_be_written or _last_writer_may_write(turn, order, waiting, cause):
        return _settle(turn, order, ClaimNotRun())
    return turn


def _last_writer_may_write(
    turn: Turn, order: Order, waiting: Submitted | None, cause: object
) -> bool:
    match cause:
        case ClaimFailed() | ClaimKeyReused() | ClaimKeyExpired() | ClaimBucketFull():
            return False  # it said what became of the claim
        case _ if order.writers[-1:] == (turn.state.instance_id,):
            return waiting is None or waiting.carried
        case _:
            return True


def _choose_target(turn: Turn, order: Order, cause: object) -> Turn:
    if is_too_late(order, turn.now_ms) or order.sent >= turn.state.settings.attempts:
        return step_order(turn, order, "too_late", cause)
    service = order.route.service
    target_id = choose_target(
        turn.targets, service, exclude=order.tried, snapshot=None, now_ms=turn.now_ms
    )
    if target_id is None and order.tried:
        target_id = choose_target(
            turn.targets, service, exclude=frozenset(), snapshot=None, now_ms=turn.now_ms
        )
    if target_id is None:
        return step_order(turn, order, "no_target", cause)
    return step_order(turn, replace(order, target_id=target_id), "target_chosen", cause)


def _wait_for_target(turn: Turn, order: Order, cause: object) -> Turn:
    wait_ms = turn.state.settings.target_wait_ms * 2 ** min(order.waits, _MAX_WAIT_DOUBLINGS)
    turn = turn.put_order(replace(order, waits=order.waits + 1))
    return turn.emit(SetTimer(_timer("target", order), turn.now_ms + wait_ms))


def _send(turn: Turn, order: Order, cause: object) -> Turn:
    if order.sent:
        turn = turn.emit(Count("retries", order.detail))
    order = replace(
        order,
        sent=order.sent + 1,
        sent_at_ms=turn.now_ms,
        tried=order.tried | {order.target_id},
    )
    targets = start_attempt(turn.targets, order.target_id, turn.now_ms)
    request = RouteRequest(order.route.name, order.asked.idempotency_key, order.asked.body)
    attempt_id = f"orders/{order.request_id}/{order.sent}"
    send = SendAttempt(attempt_id, order.target_id, order.deadline_at_ms, request, repeatable=False)
    return replace(turn, targets=targets).put_order(order).emit(send)


def _settle_done(turn: Turn, order: Order, cause: object) -> Turn:
    assert isinstance(cause, RouteReturned)
    return _settle(turn, order, outcome_of(cause.status, cause.body, turn.state.settings))


def _settle_unknown(turn: Turn, order: Order, cause: object) -> Turn:
    return _settle(turn, order, ClaimOutcomeUnknown(order.detail))


def _settle_not_run(turn: Turn, order: Order, cause: object) -> Turn:
    return _settle(turn, order, ClaimNotRun())


def _settle(turn: Turn, order: Order, state: ClaimState) -> Turn:
    if order.claim is None:
        return turn
    settled = Settled(with_state(order.claim, state), order.request_id)
    return record_outcome(turn, settled)


def record_outcome(turn: Turn, settled: Settled) -> Turn:
    """Record an outcome, through the owner of its bucket."""
    bucket = bucket_of(settled.claim.digest, turn.state.settings.buckets)
    owner = owner_of(turn.state, bucket)
    if owner == turn.state.instance_id:
        return settle_claim(turn, settled)
    due_at_ms = turn.now_ms + turn.state.settings.relay_timeout_ms
    relayed = turn.state.relayed.set(settled.claim.claimant, Relayed(settled, owner, due_at_ms))
    if not turn.state.relayed:
        turn = turn.emit(SetTimer("orders/relayed", due_at_ms))
    return turn.change(relayed=relayed).post(owner, OutcomeSubmitted(settled.claim))


def _forget(turn: Turn, order: Order) -> Turn:
    turn = turn.change(orders=turn.state.orders.delete(order.request_id))
    if order.claim is not None:
        sequence = order.claim.claimant.sequence
        turn = turn.change(claimants=turn.state.claimants.delete(sequence))
    timers = tuple(ClearTimer(_timer(kind, order)) for kind in ("deadline", "claim", "target"))
    return turn.emit(*timers)


def _timer(kind: str, order: Order) -> str:
    return f"orders/{kind}/{order.request_id}"


def _reply_detail(reply: AttemptReply) -> str:
    match reply:
        case RouteReturned():
            return "returned"
        case Shed():
            return "shed"
        case Draining():
            return "draining"
        case NotSent():
            return "not_sent"
        case _:
            name = type(reply).__name__
            return "".join(f"_{char.lower()}" if char.isupper() else char for char in name)[1:]


_ACTIONS: Mapping[str, Action] = MappingProxyType(
    {
        "answer_done": answer_done,
        "answer_held": answer_held,
        "answer_recorded": answer_recorded,
        "answer_unknown": answer_unknown,
        "choose_target": _choose_target,
        "refuse_claim": refuse_claim,
        "refuse_not_run": refuse_not_run,
        "send": _send,
        "settle_done": _settle_done,
        "settle_not_run": _settle_not_run,
        "settle_unknown": _settle_unknown,
        "submit_claim": _submit_claim,
        "wait_for_target": _wait_for_target,
        "withdraw_claim": _withdraw_claim,
    }
)
ORDER_CHART = load_chart("order", frozenset(_ACTIONS))
