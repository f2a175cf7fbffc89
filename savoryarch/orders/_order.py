"""Handles one request from its claim to its outcome, along the chart ``order``."""

from collections.abc import Callable, Mapping
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
    PendingClaim,
    bucket_of,
    digest_key,
    fingerprint_body,
    make_outcome,
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
from savoryarch.orders._state import DecisionContext, Order, PendingOutcome, RelayedOutcome
from savoryarch.orders._submission import submit_claim, submit_outcome, withdraw_claim
from savoryarch.targets import choose_target, start_attempt
from savoryarch.utils import replace

Action = Callable[[DecisionContext, Order, object], DecisionContext]

_MAX_CLAIM_WRITERS = 3  # the owner of the bucket, this instance and one other
_MAX_WAIT_DOUBLINGS = 4  # of the wait for a target


def step_order(
    context: DecisionContext, order: Order, event: str, cause: object = None
) -> DecisionContext:
    """Apply an event to the chart of an order and perform the actions of the transition.

    An event that the current state does not accept changes nothing. An order that reaches its
    final state is dropped.

    Parameters
    ----------
    context : DecisionContext
        Context of the decision.
    order : Order
        The order with the changes that came with the event.
    event : str
        Event of the chart ``order``.
    cause : object, optional
        The `ClaimResolution` or `AttemptReply` behind the event, if there is one.
    """
    if not ORDER_CHART.has_transition(order.chart_state, event):
        return context
    transition = ORDER_CHART.step(order.chart_state, event)
    context = context.put_order(replace(order, chart_state=transition.next_state))
    for action in transition.actions:
        context = _ACTIONS[action](context, context.state.orders[order.request_id], cause)
    ended = context.state.orders.get(order.request_id)
    if ended is not None and ended.chart_state in ORDER_CHART.final_states:
        context = _drop_order(context, ended)
    return context


def deliver_resolution(
    context: DecisionContext, claimant: Claimant, resolution: ClaimResolution
) -> DecisionContext:
    """Apply the resolution of a claim to its order; claims of ended orders change nothing."""
    if not _is_own_claimant(context, claimant):
        return context
    order = context.state.orders.get(context.state.claimants.get(claimant.sequence, ""))
    if order is None:
        return context
    return step_order(context, order, _resolution_event(resolution), resolution)


def handle_attempt_reply(
    context: DecisionContext, order: Order, reply: AttemptReply
) -> DecisionContext:
    """Apply the reply that ended the last attempt to its order.

    Only replies that prove that the target did not run the request lead to another attempt,
    unless the route is idempotent.
    """
    order = replace(order, detail=_reply_detail(reply))
    match reply:
        case RouteReturned():
            return step_order(context, order, "returned", reply)
        case Shed() | Draining() | NotSent() | SnapshotNotServed() | DeadlinePassed(not_run=True):
            return step_order(context, order, "not_run", reply)
        case _ if order.route.idempotent:
            return step_order(context, replace(order, may_have_run=True), "not_run", reply)
        case _:
            return step_order(context, order, "may_have_run", reply)


def _is_own_claimant(context: DecisionContext, claimant: Claimant) -> bool:
    state = context.state
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


def _submit_claim(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Ask the next instance to write the claim, or refuse it if no instance remains."""
    claim = order.claim
    if claim is None:
        sequence = context.state.sequence + 1
        claim = _make_claim(context, order, sequence)
        claimants = context.state.claimants.set(sequence, order.request_id)
        context = context.update_state(sequence=sequence, claimants=claimants)
    order = _record_claim_failure(replace(order, claim=claim), cause)
    writer = _next_writer(context, order)
    if not writer:
        return step_order(context.put_order(order), order, "claim_refused", cause)
    order = replace(order, claim_writers=(*order.claim_writers, writer))
    context = context.put_order(order)
    if _next_writer(context, order):
        due_at_ms = context.now_ms + context.state.settings.relay_timeout_ms
        context = context.emit(SetTimer(_timer_id("claim", order), due_at_ms))
    if writer == context.state.instance_id:
        pending = PendingClaim(claim, order.deadline_at_ms, order.request.created_at_ms)
        return submit_claim(context, pending)
    remaining_ms = order.deadline_at_ms - context.now_ms
    return context.send_to_peer(
        writer, ClaimSubmitted(claim, remaining_ms, order.request.created_at_ms)
    )


def _record_claim_failure(order: Order, cause: object) -> Order:
    """Record what is known of the key and the claim after the last writer failed."""
    match cause:
        case ClaimFailed(key_unused=key_unused, may_be_written=may_be_written):
            return replace(
                order,
                key_unused=order.key_unused or key_unused,
                may_be_written=order.may_be_written or may_be_written,
            )
        case _:
            # No instance has been asked yet, or the last one has not replied in time and may have
            # written the claim.
            return replace(order, may_be_written=bool(order.claim_writers))


def _make_claim(context: DecisionContext, order: Order, sequence: int) -> Claim:
    return Claim(
        digest=digest_key(order.route.name, order.request.idempotency_key),
        fingerprint=fingerprint_body(order.request.body),
        claimant=Claimant(context.state.instance_id, context.state.incarnation, sequence),
        claimed_at_ms=int(context.wall_clock_ms),
    )


def _next_writer(context: DecisionContext, order: Order) -> str:
    """Return the next instance to write the claim; empty if none remains.

    The owner of the bucket is the first one, then this instance, then a live peer.
    """
    state = context.state
    if not state.settings.relays_claims:
        return "" if order.claim_writers else state.instance_id
    if len(order.claim_writers) >= _MAX_CLAIM_WRITERS:
        return ""
    digest = digest_key(order.route.name, order.request.idempotency_key)
    owner = owner_of(state, bucket_of(digest, state.settings.buckets))
    for instance_id in (owner, state.instance_id, *state.live_peer_ids):
        if instance_id not in order.claim_writers:
            return instance_id
    return ""


def _withdraw_claim(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Withdraw the claim; if it may be in the store, record that the request was not run."""
    assert order.claim is not None
    context, pending = withdraw_claim(context, order.claim)
    if pending is not None and pending.key_unused:
        context = context.put_order(replace(order, key_unused=True))
    if order.may_be_written or _last_writer_may_write(context, order, pending, cause):
        return _record_claim_state(context, order, ClaimNotRun())
    return context


def _last_writer_may_write(
    context: DecisionContext, order: Order, pending: PendingClaim | None, cause: object
) -> bool:
    """Return whether the last instance that was asked for the claim may have written it."""
    match cause:
        case ClaimFailed() | ClaimKeyReused() | ClaimKeyExpired() | ClaimBucketFull():
            return False  # With these replies, the writer has reported the result of the claim.
        case _ if order.claim_writers[-1:] == (context.state.instance_id,):
            return pending is None or pending.sent_in_swap
        case _:
            return True


def _choose_target(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Choose a target without an earlier attempt of the order, or any one if all have had one."""
    if is_too_late(order, context.now_ms) or order.attempts_sent >= context.state.settings.attempts:
        return step_order(context, order, "too_late", cause)
    service = order.route.service
    target_id = choose_target(
        context.targets,
        service,
        exclude=order.attempted_target_ids,
        snapshot=None,
        now_ms=context.now_ms,
    )
    if target_id is None and order.attempted_target_ids:
        target_id = choose_target(
            context.targets, service, exclude=frozenset(), snapshot=None, now_ms=context.now_ms
        )
    if target_id is None:
        return step_order(context, order, "no_target", cause)
    return step_order(context, replace(order, target_id=target_id), "target_chosen", cause)


def _wait_for_target(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    wait_ms = context.state.settings.target_wait_ms * 2 ** min(
        order.target_waits, _MAX_WAIT_DOUBLINGS
    )
    context = context.put_order(replace(order, target_waits=order.target_waits + 1))
    return context.emit(SetTimer(_timer_id("target", order), context.now_ms + wait_ms))


def _send(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    if order.attempts_sent:
        context = context.emit(Count("retries", order.detail))
    order = replace(
        order,
        attempts_sent=order.attempts_sent + 1,
        last_sent_at_ms=context.now_ms,
        attempted_target_ids=order.attempted_target_ids | {order.target_id},
    )
    targets = start_attempt(context.targets, order.target_id, context.now_ms)
    target_request = RouteRequest(
        order.route.name, order.request.idempotency_key, order.request.body
    )
    attempt_id = f"orders/{order.request_id}/{order.attempts_sent}"
    send = SendAttempt(
        attempt_id, order.target_id, order.deadline_at_ms, target_request, repeatable=False
    )
    return replace(context, targets=targets).put_order(order).emit(send)


def _record_done(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    assert isinstance(cause, RouteReturned)
    return _record_claim_state(
        context, order, make_outcome(cause.status, cause.body, context.state.settings)
    )


def _record_unknown(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    return _record_claim_state(context, order, ClaimOutcomeUnknown(order.detail))


def _record_not_run(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    return _record_claim_state(context, order, ClaimNotRun())


def _record_claim_state(
    context: DecisionContext, order: Order, state: ClaimState
) -> DecisionContext:
    if order.claim is None:
        return context
    outcome = PendingOutcome(with_state(order.claim, state), order.request_id)
    return record_outcome(context, outcome)


def record_outcome(context: DecisionContext, outcome: PendingOutcome) -> DecisionContext:
    """Submit an outcome to its bucket if this instance owns it, else to the owner.

    If the owner does not confirm the outcome within `OrdersSettings.relay_timeout_ms`, this
    instance records it.
    """
    bucket = bucket_of(outcome.claim.digest, context.state.settings.buckets)
    owner = owner_of(context.state, bucket)
    if owner == context.state.instance_id:
        return submit_outcome(context, outcome)
    due_at_ms = context.now_ms + context.state.settings.relay_timeout_ms
    relayed = context.state.relayed_outcomes.set(
        outcome.claim.claimant, RelayedOutcome(outcome, owner, due_at_ms)
    )
    if not context.state.relayed_outcomes:
        context = context.emit(SetTimer("orders/relayed", due_at_ms))
    return context.update_state(relayed_outcomes=relayed).send_to_peer(
        owner, OutcomeSubmitted(outcome.claim)
    )


def _drop_order(context: DecisionContext, order: Order) -> DecisionContext:
    context = context.update_state(orders=context.state.orders.delete(order.request_id))
    if order.claim is not None:
        sequence = order.claim.claimant.sequence
        context = context.update_state(claimants=context.state.claimants.delete(sequence))
    timers = tuple(ClearTimer(_timer_id(kind, order)) for kind in ("deadline", "claim", "target"))
    return context.emit(*timers)


def _timer_id(kind: str, order: Order) -> str:
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
        "record_done": _record_done,
        "record_not_run": _record_not_run,
        "record_unknown": _record_unknown,
        "refuse_claim": refuse_claim,
        "refuse_not_run": refuse_not_run,
        "send": _send,
        "submit_claim": _submit_claim,
        "wait_for_target": _wait_for_target,
        "withdraw_claim": _withdraw_claim,
    }
)
ORDER_CHART = load_chart("order", frozenset(_ACTIONS))
