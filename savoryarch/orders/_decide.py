"""Routes events to orders and buckets."""

from dataclasses import replace

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
    StoreReplied,
    TimerFired,
)
from savoryarch.orders._bucket import decide_reply, decide_timer
from savoryarch.orders._claims import Submitted
from savoryarch.orders._key import extract_created_at_ms
from savoryarch.orders._order import (
    ORDER_CHART,
    decide_attempt_reply,
    deliver_resolution,
    record_outcome,
    step_order,
)
from savoryarch.orders._pace import take_turns
from savoryarch.orders._state import Order, OrdersState, Settled, Turn
from savoryarch.orders._submission import (
    drop_settled,
    drop_submitted_by,
    settle_claim,
    submit_claim,
)
from savoryarch.targets import TargetsState, end_attempt
from savoryarch.utils import in_order

_PREFIX = "orders/"


def decide_orders(
    state: OrdersState, targets: TargetsState, event: object, now_ms: float
) -> DecidedOnTargets[OrdersState, TargetsState]:
    """Decide on one event of orders.

    Parameters
    ----------
    state : OrdersState
        What the instance knows of its orders.
    targets : TargetsState
        What it knows of the targets; their places are taken and given back here.
    event : object
        Events that do not concern orders change nothing.
    now_ms : float
        Current time.
    """
    if state.wall_offset_ms is None:
        state = replace(state, wall_offset_ms=state.incarnation - now_ms)
    turn = _decide(Turn(state, targets, now_ms), event)
    turn = _deliver(turn)
    turn = _deliver(take_turns(turn))
    turn = _flush_outboxes(turn)
    return DecidedOnTargets(turn.state, turn.targets, turn.effects)


def unfinished_requests(state: OrdersState) -> tuple[str, ...]:
    """Return the requests that have no outcome yet, or whose outcome is not yet recorded."""
    unrecorded = {
        item.request_id
        for bucket in state.buckets.values()
        for item in bucket.settled.values()
        if item.request_id
    }
    relayed = {item.settled.request_id for item in state.relayed.values()}
    return tuple(sorted(unrecorded | relayed | set(state.orders)))


def _decide(turn: Turn, event: object) -> Turn:
    match event:
        case RouteRequested():
            return _ask(turn, event)
        case CallerDisconnected(request_id=request_id):
            return _step(turn, request_id, "caller_gone")
        case AttemptEnded(attempt_id=attempt_id) if attempt_id.startswith(_PREFIX):
            return _end_attempt(turn, event)
        case StoreReplied(call_id=call_id, reply=reply) if call_id.startswith(_PREFIX):
            return decide_reply(turn, call_id, reply)
        case TimerFired(timer_id=timer_id) if timer_id.startswith(_PREFIX):
            return _fire_timer(turn, timer_id)
        case PeerMessageReceived(peer_id=peer_id, message=ClaimMessages(messages=messages)):
            for message in messages:
                turn = _hear(turn, peer_id, message)
            return turn
        case PeersChanged(live=live):
            return _change_peers(turn, live)
        case DeclarationsInForce(declarations=declarations):
            return turn.change(declarations=declarations)
        case RequestIntakeStopped():
            return turn.change(stopping=True)
        case _:
            return turn


def _ask(turn: Turn, asked: RouteRequested) -> Turn:
    route = turn.state.declarations.routes.get(asked.route)
    refused = _refuse_at_once(turn, asked, route)
    if route is None or refused is not None:
        return _refuse(turn, asked, refused or RefusalReason.UNKNOWN_ROUTE)
    deadline_at_ms = turn.now_ms + route.deadline_ms
    if asked.deadline_at_ms is not None:
        deadline_at_ms = min(deadline_at_ms, asked.deadline_at_ms)
    if asked.created_at_ms is None:
        asked = replace(asked, created_at_ms=extract_created_at_ms(asked.idempotency_key, {}))
    order = Order(asked, route, deadline_at_ms, ORDER_CHART.initial)
    turn = turn.emit(SetTimer(f"{_PREFIX}deadline/{asked.request_id}", deadline_at_ms))
    return step_order(turn, order, "key_not_needed" if route.idempotent else "key_needed")


def _refuse_at_once(turn: Turn, asked: RouteRequested, route: Route | None) -> RefusalReason | None:
    state = turn.state
    if state.stopping:
        return RefusalReason.STOPPING
    if state.declarations.generation == 0:
        return RefusalReason.NO_CONFIGURATION
    if route is None:
        return RefusalReason.UNKNOWN_ROUTE
    if not (route.idempotent or asked.idempotency_key):
        return RefusalReason.KEY_MISSING
    if len(state.orders) >= state.settings.max_orders:
        return RefusalReason.OVERLOADED
    if asked.deadline_at_ms is not None and asked.deadline_at_ms <= turn.now_ms:
        return RefusalReason.DEADLINE_TOO_SHORT
    return None


def _refuse(turn: Turn, asked: RouteRequested, reason: RefusalReason) -> Turn:
    # A request with a key may be a resend of one that ran; nothing was looked up to tell.
    refused = Refused(reason, f"route {asked.route!r}", not_run=not asked.idempotency_key)
    return turn.emit(AnswerRoute(asked.request_id, refused), Count("refusals", reason.value))


def _step(turn: Turn, request_id: str, event: str) -> Turn:
    order = turn.state.orders.get(request_id)
    return turn if order is None else step_order(turn, order, event)


def _end_attempt(turn: Turn, ended: AttemptEnded) -> Turn:
    request_id, _, number = ended.attempt_id.removeprefix(_PREFIX).rpartition("/")
    order = turn.state.orders.get(request_id)
    if order is None or number != str(order.sent):
        return turn
    latency_ms = turn.now_ms - order.sent_at_ms
    turn = replace(turn, targets=end_attempt(turn.targets, ended, latency_ms, turn.now_ms))
    return decide_attempt_reply(turn, order, ended.reply)


def _fire_timer(turn: Turn, timer_id: str) -> Turn:
    match timer_id.removeprefix(_PREFIX).split("/", 1):
        case ["deadline", request_id]:
            return _step(turn, request_id, "deadline")
        case ["claim", request_id]:
            return _step(turn, request_id, "writer_failed")
        case ["target", request_id]:
            return _step(turn, request_id, "retry_due")
        case ["bucket", number]:
            return decide_timer(turn, int(number))
        case ["outbox", peer_id]:
            return turn.change(closed_outboxes=turn.state.closed_outboxes - {peer_id})
        case ["relayed"]:
            return _record_overdue(turn)
        case _:
            return turn  # "turn": the queue is served after every event


def _hear(turn: Turn, peer_id: str, message: object) -> Turn:
    match message:
        case ClaimSubmitted(claim=claim, remaining_ms=remaining_ms):
            expires_at_ms = turn.now_ms + remaining_ms
            return submit_claim(
                turn, Submitted(claim, expires_at_ms, message.created_at_ms, peer_id)
            )
        case ClaimResolved(claimant=claimant, resolution=resolution):
            return deliver_resolution(turn, claimant, resolution)
        case OutcomeSubmitted(claim=claim):
            return settle_claim(turn, Settled(claim, from_peer=peer_id))
        case OutcomeRecorded(claimant=claimant):
            return _note_recorded(turn, claimant)
        case _:
            return turn


def _note_recorded(turn: Turn, claimant: Claimant) -> Turn:
    if claimant in turn.state.relayed:
        turn = turn.change(relayed=turn.state.relayed.delete(claimant))
    return drop_settled(turn, claimant)


def _change_peers(turn: Turn, live: tuple[str, ...]) -> Turn:
    gone = set(turn.state.live) - set(live)
    turn = turn.change(live=tuple(sorted(live)))
    for peer_id in sorted(gone):
        turn = drop_submitted_by(turn, peer_id)
        if peer_id in turn.state.outboxes:
            turn = turn.change(outboxes=turn.state.outboxes.delete(peer_id))
    for _, order in in_order(turn.state.orders):
        if order.writers and order.writers[-1] in gone:
            turn = step_order(turn, order, "writer_failed")
    for claimant, item in in_order(turn.state.relayed):
        if item.owner in gone:
            relayed = turn.state.relayed.delete(claimant)
            turn = record_outcome(turn.change(relayed=relayed), item.settled)
    return turn


def _record_overdue(turn: Turn) -> Turn:
    """Record the outcomes here that an owner did not record in time."""
    for claimant, item in in_order(turn.state.relayed):
        if item.due_at_ms <= turn.now_ms:
            turn = turn.change(relayed=turn.state.relayed.delete(claimant))
            turn = settle_claim(turn, item.settled)
    if not turn.state.relayed:
        return turn
    due_at_ms = min(item.due_at_ms for item in turn.state.relayed.values())
    return turn.emit(SetTimer(f"{_PREFIX}relayed", due_at_ms))


def _deliver(turn: Turn) -> Turn:
    while turn.inbox:
        resolved, *rest = turn.inbox
        turn = replace(turn, inbox=tuple(rest))
        submitted = resolved.submitted
        if submitted.from_peer:
            message = ClaimResolved(submitted.claim.claimant, resolved.resolution)
            turn = turn.post(submitted.from_peer, message)
        else:
            turn = deliver_resolution(turn, submitted.claim.claimant, resolved.resolution)
    return turn


def _flush_outboxes(turn: Turn) -> Turn:
    for peer_id, messages in sorted(turn.state.outboxes.items()):
        if peer_id in turn.state.closed_outboxes:
            continue
        due_at_ms = turn.now_ms + turn.state.settings.relay_batch_ms
        turn = turn.emit(
            SendToPeer(peer_id, ClaimMessages(messages)),
            SetTimer(f"orders/outbox/{peer_id}", due_at_ms),
        )
        turn = turn.change(
            outboxes=turn.state.outboxes.delete(peer_id),
            closed_outboxes=turn.state.closed_outboxes | {peer_id},
        )
    return turn
