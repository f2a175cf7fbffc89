"""Decides on forwarded requests: admission, replies, timers and the end of each."""

from collections.abc import Callable

from savoryarch.forwarding._admit import make_forward
from savoryarch.forwarding._forward_chart import check_due, is_ended, review, step_forward
from savoryarch.forwarding._pieces import ROOM_WAIT_MS, end_piece_attempt, take_room
from savoryarch.forwarding._routes import index_routes
from savoryarch.forwarding._settings import ForwardingSettings
from savoryarch.forwarding._state import ForwardingState
from savoryarch.forwarding._turn import DUE_TIMER, ROOM_TIMER, DecidedForward, Turn
from savoryarch.model import (
    AttemptEnded,
    CallerDisconnected,
    ClearTimer,
    DecidedOnTargets,
    LogEvent,
    PeerMessageReceived,
    ProbeTarget,
    RecordHistogram,
    RequestIntakeStopped,
    SetTimer,
    SettingsReloaded,
    TimerFired,
)
from savoryarch.model.forwarding import (
    ForwardingTable,
    ForwardRequested,
    TableInForce,
)
from savoryarch.quarantine import handle_quarantine_message, record_attempt_result
from savoryarch.targets import SUSPECTED, TargetsState, end_attempt, has_capacity
from savoryarch.utils import replace

MAX_LOOKS = 8  # at the queue of a service per event


def decide_forwarding(
    state: ForwardingState, targets: TargetsState, event: object, now_ms: float
) -> DecidedForward:
    """Decide on one event of the forwarded requests.

    Parameters
    ----------
    state : ForwardingState
        Before the event.
    targets : TargetsState
        The targets, whose places the attempts take and give back.
    event : object
        Any event; those that do not concern forwarded requests change nothing.
    now_ms : float
        Time of the event.

    Returns
    -------
    decided : DecidedOnTargets
        Among its effects is exactly one `AnswerForward` for each `ForwardRequested`, unless the
        client has gone.
    """
    match event:
        case ForwardRequested():
            return _ask(state, targets, event, now_ms)
        case AttemptEnded(attempt_id=attempt_id) if attempt_id in state.attempts:
            return _end_attempt(state, targets, event, now_ms)
        case TimerFired(timer_id=timer_id):
            return _fire(state, targets, timer_id, now_ms)
        case CallerDisconnected(request_id=request_id):
            return _on_forward(
                state, targets, request_id, now_ms, lambda turn: step_forward(turn, "client_gone")
            )
        case TableInForce(table=table):
            return _take_table(state, targets, table, now_ms)
        case PeerMessageReceived(message=message):
            heard = handle_quarantine_message(state.quarantine, message, now_ms)
            return DecidedOnTargets(replace(state, quarantine=heard.state), targets, heard.effects)
        case SettingsReloaded(sections={"forwarding": ForwardingSettings() as settings}):
            return DecidedOnTargets(replace(state, settings=settings), targets)
        case RequestIntakeStopped():
            return DecidedOnTargets(replace(state, stopping=True), targets)
        case _:
            return DecidedOnTargets(state, targets)


def _take_table(
    state: ForwardingState, targets: TargetsState, table: ForwardingTable, now_ms: float
) -> DecidedForward:
    begun_at_ms = state.begun_at_ms if state.table is not None else now_ms
    state = replace(state, table=table, hosts=index_routes(table), begun_at_ms=begun_at_ms)
    fields = (("version", str(table.version)), ("routes", str(len(table.routes))))
    return DecidedOnTargets(state, targets, (LogEvent("table_in_force", fields),))


def _ask(
    state: ForwardingState, targets: TargetsState, asked: ForwardRequested, now_ms: float
) -> DecidedForward:
    turn, reason = make_forward(state, targets, asked, now_ms)
    if reason is None:
        return _end_turn(review(step_forward(turn, "admitted")))
    turn = replace(turn, forward=replace(turn.forward, refusal=reason))
    return _end_turn(step_forward(turn, "turned_away"))


def _end_attempt(
    state: ForwardingState, targets: TargetsState, ended: AttemptEnded, now_ms: float
) -> DecidedForward:
    attempt = state.attempts[ended.attempt_id]
    latency_ms = now_ms - attempt.begun_at_ms
    targets = end_attempt(targets, ended, latency_ms, now_ms)
    noted = record_attempt_result(state.quarantine, ended, now_ms)
    state = replace(state, attempts=state.attempts.delete(ended.attempt_id), quarantine=noted.state)
    observed = RecordHistogram("attempt_ms", latency_ms, (("service", attempt.service),))
    effects = (*noted.effects, observed)
    record = targets.records.get(ended.target_id)
    if record is not None and record.chart_state == SUSPECTED:
        effects = (*effects, ProbeTarget(ended.target_id))
    decided = DecidedOnTargets(state, targets, effects)
    forward = state.forwards.get(attempt.request_id)
    if forward is not None and ended.attempt_id in forward.pieces[attempt.service].attempt_ids:
        decided = _then(
            decided,
            attempt.request_id,
            now_ms,
            lambda turn: review(end_piece_attempt(turn, ended, attempt.service)),
        )
    return _give_room(decided, attempt.service, now_ms)


def _fire(
    state: ForwardingState, targets: TargetsState, timer_id: str, now_ms: float
) -> DecidedForward:
    if timer_id.startswith(DUE_TIMER):
        request_id = timer_id.removeprefix(DUE_TIMER)
        return _on_forward(state, targets, request_id, now_ms, check_due)
    if not timer_id.startswith(ROOM_TIMER):
        return DecidedOnTargets(state, targets)
    service = timer_id.removeprefix(ROOM_TIMER)
    decided = _give_room(DecidedOnTargets(state, targets), service, now_ms)
    if not decided.state.waiting.get(service):
        return decided
    return replace(decided, effects=(*decided.effects, SetTimer(timer_id, now_ms + ROOM_WAIT_MS)))


def _give_room(decided: DecidedForward, service: str, now_ms: float) -> DecidedForward:
    """Send pieces that wait for a service, as long as it has room."""
    for _ in range(MAX_LOOKS):
        queue = decided.state.waiting.get(service)
        if not queue:
            break
        if queue[0] in decided.state.forwards and not has_capacity(
            decided.targets, service, now_ms
        ):
            break
        waiting = decided.state.waiting
        waiting = waiting.set(service, queue[1:]) if queue[1:] else waiting.delete(service)
        decided = replace(decided, state=replace(decided.state, waiting=waiting))
        decided = _then(decided, queue[0], now_ms, lambda turn: review(take_room(turn, service)))
    return decided


def _then(
    decided: DecidedForward, request_id: str, now_ms: float, act: Callable[[Turn], Turn]
) -> DecidedForward:
    after = _on_forward(decided.state, decided.targets, request_id, now_ms, act)
    return replace(after, effects=decided.effects + after.effects)


def _on_forward(
    state: ForwardingState,
    targets: TargetsState,
    request_id: str,
    now_ms: float,
    act: Callable[[Turn], Turn],
) -> DecidedForward:
    forward = state.forwards.get(request_id)
    if forward is None:
        return DecidedOnTargets(state, targets)
    return _end_turn(act(Turn(state, targets, forward, now_ms)))


def _end_turn(turn: Turn) -> DecidedForward:
    """Put the request back, or forget it if it has ended."""
    request_id = turn.forward.request_id
    forwards, effects = turn.state.forwards, turn.effects
    if not is_ended(turn.forward):
        forwards = forwards.set(request_id, turn.forward)
    elif request_id in forwards:
        forwards = forwards.delete(request_id)
        effects = (*effects, ClearTimer(DUE_TIMER + request_id))
    return DecidedOnTargets(replace(turn.state, forwards=forwards), turn.targets, effects)
