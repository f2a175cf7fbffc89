"""Dispatches events to orders and buckets, and delivers the resolutions of claims."""

from savoryarch.model import (
    AnswerRoute,
    AttemptEnded,
    CallerDisconnected,
    Claimant,
    ClaimMessages,
    ClaimResolved,
    ClaimSubmitted,
    Count,
    DecidedOnTargets,
    DeclarationsInForce,
    OutcomeRecorded,
    OutcomeSubmitted,
    PeerMessageReceived,
    PeersChanged,
    RefusalReason,
    Refused,
    RequestIntakeStopped,
    Route,
    RouteRequested,
    SendToPeer,
    SetTimer,
    ShutdownTimeExpired,
    StoreReplied,
    TimerFired,
)
from savoryarch.orders._bucket import handle_bucket_timer, handle_store_reply
from savoryarch.orders._claims import PendingClaim
from savoryarch.orders._key import extract_created_at_ms
from savoryarch.orders._order import (
    ORDER_CHART,
    deliver_resolution,
    handle_attempt_reply,
    record_outcome,
    step_order,
)
from savoryarch.orders._state import DecisionContext, Order, OrdersState, PendingOutcome
from savoryarch.orders._submission import (
    drop_claims_of_peer,
    drop_recorded_outcome,
    submit_claim,
    submit_outcome,
)
from savoryarch.orders._write_rate import write_queued_buckets
from savoryarch.targets import TargetsState, end_attempt
from savoryarch.utils import replace, sorted_items

_PREFIX = "orders/"


def decide_orders(
    state: OrdersState, targets: TargetsState, event: object, now_ms: float
) -> DecidedOnTargets[OrdersState, TargetsState]:
    """Decide on one event.

    Parameters
    ----------
    state : OrdersState
        State of the orders before the event.
    targets : TargetsState
        State of the targets before the event. The attempts of orders are counted in it.
    event : object
        The event. Events that do not concern orders change nothing, except that the write queue
        and the outboxes are served.
    now_ms : float
        Time of the event in milliseconds on the clock of the process.

    Returns
    -------
    decided : DecidedOnTargets
        States after the event, and the effects to perform.
    """
    if state.wall_clock_offset_ms is None:
        state = replace(state, wall_clock_offset_ms=state.incarnation - now_ms)
    context = _decide(DecisionContext(state, targets, now_ms), event)
    context = _deliver_resolutions(context)
    context = _deliver_resolutions(write_queued_buckets(context))
    context = _flush_outboxes(context)
    return DecidedOnTargets(context.state, context.targets, context.effects)


def unfinished_requests(state: OrdersState) -> tuple[str, ...]:
    """Return the sorted ids of requests without an answer or without a recorded outcome."""
    unrecorded = {
        item.request_id
        for bucket in state.buckets.values()
        for item in bucket.pending_outcomes.values()
        if item.request_id
    }
    relayed = {item.outcome.request_id for item in state.relayed_outcomes.values()}
    return tuple(sorted(unrecorded | relayed | set(state.orders)))


def _decide(context: DecisionContext, event: object) -> DecisionContext:
    match event:
        case RouteRequested():
            return _start_order(context, event)
        case CallerDisconnected(request_id=request_id):
            return _step_order_by_id(context, request_id, "caller_disconnected")
        case AttemptEnded(attempt_id=attempt_id) if attempt_id.startswith(_PREFIX):
            return _end_attempt(context, event)
        case StoreReplied(call_id=call_id, reply=reply) if call_id.startswith(_PREFIX):
            return handle_store_reply(context, call_id, reply)
        case TimerFired(timer_id=timer_id) if timer_id.startswith(_PREFIX):
            return _handle_timer(context, timer_id)
        case PeerMessageReceived(peer_id=peer_id, message=ClaimMessages(messages=messages)):
            for message in messages:
                context = _handle_peer_message(context, peer_id, message)
            return context
        case PeersChanged(live=live):
            return _update_peers(context, live)
        case DeclarationsInForce(declarations=declarations):
            return context.update_state(declarations=declarations)
        case RequestIntakeStopped():
            return context.update_state(stopping=True)
        case ShutdownTimeExpired():
            return _end_orders(context, event)
        case _:
            return context


def _end_orders(context: DecisionContext, event: ShutdownTimeExpired) -> DecisionContext:
    """Answer every order now, because its caller would get no answer after the exit.

    An order with an attempt in flight may have run. New requests are refused; an urgent stop does
    not stop their intake before.
    """
    context = context.update_state(stopping=True)
    for _, order in sorted_items(context.state.orders):
        ending = replace(order, detail="instance_stopped")
        context = step_order(context, ending, "shutdown_expired", event)
    return context


def _start_order(context: DecisionContext, request: RouteRequested) -> DecisionContext:
    route = context.state.declarations.routes.get(request.route)
    reason = _immediate_refusal(context, request, route)
    if route is None or reason is not None:
        return _refuse_request(context, request, reason or RefusalReason.UNKNOWN_ROUTE)
    deadline_at_ms = context.now_ms + route.deadline_ms
    if request.deadline_at_ms is not None:
        deadline_at_ms = min(deadline_at_ms, request.deadline_at_ms)
    if request.created_at_ms is None:
        request = replace(request, created_at_ms=extract_created_at_ms(request.idempotency_key, {}))
    order = Order(request, route, deadline_at_ms, ORDER_CHART.initial)
    context = context.emit(SetTimer(f"{_PREFIX}deadline/{request.request_id}", deadline_at_ms))
    return step_order(context, order, "key_not_needed" if route.idempotent else "key_needed")


def _immediate_refusal(
    context: DecisionContext, request: RouteRequested, route: Route | None
) -> RefusalReason | None:
    """Return why a request is refused on arrival; None if it is accepted."""
    state = context.state
    if state.stopping:
        return RefusalReason.STOPPING
    if state.declarations.generation == 0:
        return RefusalReason.NO_CONFIGURATION
    if route is None:
        return RefusalReason.UNKNOWN_ROUTE
    if not (route.idempotent or request.idempotency_key):
        return RefusalReason.KEY_MISSING
    if len(state.orders) >= state.settings.max_orders:
        return RefusalReason.OVERLOADED
    if request.deadline_at_ms is not None and request.deadline_at_ms <= context.now_ms:
        return RefusalReason.DEADLINE_TOO_SHORT
    return None


def _refuse_request(
    context: DecisionContext, request: RouteRequested, reason: RefusalReason
) -> DecisionContext:
    # A request with a key may be a resend of one that ran, and the key has not been looked up.
    refused = Refused(
        reason,
        f"route {request.route!r}",
        not_run=not request.idempotency_key,
    )
    return context.emit(AnswerRoute(request.request_id, refused), Count("refusals", reason.value))


def _step_order_by_id(context: DecisionContext, request_id: str, event: str) -> DecisionContext:
    order = context.state.orders.get(request_id)
    return context if order is None else step_order(context, order, event)


def _end_attempt(context: DecisionContext, ended: AttemptEnded) -> DecisionContext:
    """Release the target's slot, and apply the reply; only the last attempt can be in flight."""
    request_id, _, number = ended.attempt_id.removeprefix(_PREFIX).rpartition("/")
    order = context.state.orders.get(request_id)
    if order is None or number != str(order.attempts_sent):
        return context
    latency_ms = context.now_ms - order.last_sent_at_ms
    context = replace(
        context, targets=end_attempt(context.targets, ended, latency_ms, context.now_ms)
    )
    return handle_attempt_reply(context, order, ended.reply)


def _handle_timer(context: DecisionContext, timer_id: str) -> DecisionContext:
    match timer_id.removeprefix(_PREFIX).split("/", 1):
        case ["deadline", request_id]:
            return _step_order_by_id(context, request_id, "deadline")
        case ["claim", request_id]:
            return _step_order_by_id(context, request_id, "writer_failed")
        case ["target", request_id]:
            return _step_order_by_id(context, request_id, "retry_due")
        case ["bucket", number]:
            return handle_bucket_timer(context, int(number))
        case ["outbox", peer_id]:
            return context.update_state(
                recently_flushed_peers=context.state.recently_flushed_peers - {peer_id}
            )
        case ["relayed"]:
            return _record_overdue_outcomes(context)
        case _:
            # The timer "turn" needs no step: the write queue is served after each event.
            return context


def _handle_peer_message(
    context: DecisionContext, peer_id: str, message: object
) -> DecisionContext:
    match message:
        case ClaimSubmitted(claim=claim, remaining_ms=remaining_ms):
            expires_at_ms = context.now_ms + remaining_ms
            return submit_claim(
                context, PendingClaim(claim, expires_at_ms, message.created_at_ms, peer_id)
            )
        case ClaimResolved(claimant=claimant, resolution=resolution):
            return deliver_resolution(context, claimant, resolution)
        case OutcomeSubmitted(claim=claim):
            return submit_outcome(context, PendingOutcome(claim, from_peer=peer_id))
        case OutcomeRecorded(claimant=claimant):
            return _handle_outcome_recorded(context, claimant)
        case _:
            return context


def _handle_outcome_recorded(context: DecisionContext, claimant: Claimant) -> DecisionContext:
    if claimant in context.state.relayed_outcomes:
        context = context.update_state(
            relayed_outcomes=context.state.relayed_outcomes.delete(claimant)
        )
    return drop_recorded_outcome(context, claimant)


def _update_peers(context: DecisionContext, live: tuple[str, ...]) -> DecisionContext:
    """Record the live peers, and submit again what departed peers were to write."""
    departed = set(context.state.live_peer_ids) - set(live)
    context = context.update_state(live_peer_ids=tuple(sorted(live)))
    for peer_id in sorted(departed):
        context = drop_claims_of_peer(context, peer_id)
        if peer_id in context.state.outboxes:
            context = context.update_state(outboxes=context.state.outboxes.delete(peer_id))
    for _, order in sorted_items(context.state.orders):
        if order.claim_writers and order.claim_writers[-1] in departed:
            context = step_order(context, order, "writer_failed")
    for claimant, item in sorted_items(context.state.relayed_outcomes):
        if item.owner in departed:
            relayed = context.state.relayed_outcomes.delete(claimant)
            context = record_outcome(context.update_state(relayed_outcomes=relayed), item.outcome)
    return context


def _record_overdue_outcomes(context: DecisionContext) -> DecisionContext:
    """Submit the outcomes that an owner did not confirm in time to this instance's buckets."""
    for claimant, item in sorted_items(context.state.relayed_outcomes):
        if item.due_at_ms <= context.now_ms:
            context = context.update_state(
                relayed_outcomes=context.state.relayed_outcomes.delete(claimant)
            )
            context = submit_outcome(context, item.outcome)
    if not context.state.relayed_outcomes:
        return context
    due_at_ms = min(item.due_at_ms for item in context.state.relayed_outcomes.values())
    return context.emit(SetTimer(f"{_PREFIX}relayed", due_at_ms))


def _deliver_resolutions(context: DecisionContext) -> DecisionContext:
    """Deliver resolutions to orders and peers until a delivery adds no further ones."""
    while context.resolved_claims:
        resolved, *remaining = context.resolved_claims
        context = replace(context, resolved_claims=tuple(remaining))
        pending = resolved.pending
        if pending.from_peer:
            message = ClaimResolved(pending.claim.claimant, resolved.resolution)
            context = context.send_to_peer(pending.from_peer, message)
        else:
            context = deliver_resolution(context, pending.claim.claimant, resolved.resolution)
    return context


def _flush_outboxes(context: DecisionContext) -> DecisionContext:
    """Send the messages to each peer in one frame, at most one frame per batch interval."""
    for peer_id, messages in sorted(context.state.outboxes.items()):
        if peer_id in context.state.recently_flushed_peers:
            continue
        due_at_ms = context.now_ms + context.state.settings.relay_batch_ms
        context = context.emit(
            SendToPeer(peer_id, ClaimMessages(messages)),
            SetTimer(f"orders/outbox/{peer_id}", due_at_ms),
        )
        context = context.update_state(
            outboxes=context.state.outboxes.delete(peer_id),
            recently_flushed_peers=context.state.recently_flushed_peers | {peer_id},
        )
    return context
