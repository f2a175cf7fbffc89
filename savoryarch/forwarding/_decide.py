"""Decides on forwarded requests: their arrival, replies, timers and end."""

from collections.abc import Callable

from savoryarch.forwarding._admission import admit_request, format_load
from savoryarch.forwarding._context import (
    CAPACITY_TIMER,
    CHECK_TIMER,
    DecidedForward,
    DecisionContext,
)
from savoryarch.forwarding._forward_chart import (
    check_completion,
    end_request,
    handle_check_timer,
    is_ended,
    step_forward,
)
from savoryarch.forwarding._routes import index_routes
from savoryarch.forwarding._settings import ForwardingSettings
from savoryarch.forwarding._state import ForwardingState
from savoryarch.forwarding._sub_requests import (
    CAPACITY_POLL_MS,
    apply_attempt_result,
    drop_unservable,
    send_waiting,
)
from savoryarch.model import (
    AttemptEnded,
    CallerDisconnected,
    ClearTimer,
    DecidedOnTargets,
    LogEvent,
    PeerMessageReceived,
    ProbeTarget,
    RecordHistogram,
    RefusalReason,
    RequestIntakeStopped,
    SetTimer,
    SettingsReloaded,
    ShutdownTimeExpired,
    TargetAdvised,
    TimerFired,
)
from savoryarch.model.forwarding import (
    ForwardingTable,
    ForwardRequested,
    TableInForce,
)
from savoryarch.quarantine import handle_quarantine_message, record_attempt_result
from savoryarch.targets import SUSPECTED, TargetsState, end_attempt, has_capacity, may_probe
from savoryarch.utils import replace

MAX_DISPATCHES_PER_EVENT = 8  # bounds the work of one event, however long the queue is


def decide_forwarding(
    state: ForwardingState, targets: TargetsState, event: object, now_ms: float
) -> DecidedForward:
    """Decide on one event that concerns forwarded requests.

    Parameters
    ----------
    state : ForwardingState
        State before the event.
    targets : TargetsState
        State of the targets. Attempts use their slots and release them.
    event : object
        Any event. One that does not concern forwarded requests has no effect.
    now_ms : float
        Time of the event, on the clock of the process.

    Returns
    -------
    decided : DecidedOnTargets
        The states after the event, and the effects. Each `ForwardRequested` leads to exactly one
        `AnswerForward`, in this decision or a later one, unless the client disconnects.
    """
    match event:
        case ForwardRequested():
            return _handle_request(state, targets, event, now_ms)
        case AttemptEnded(attempt_id=attempt_id) if attempt_id in state.attempts:
            return _handle_attempt_end(state, targets, event, now_ms)
        case TimerFired(timer_id=timer_id):
            return _handle_timer(state, targets, timer_id, now_ms)
        case CallerDisconnected(request_id=request_id):
            return _update_forward(state, targets, request_id, now_ms, _disconnect_client)
        case TargetAdvised(target_id=target_id):
            return _drop_unservable_requests(state, targets, target_id, now_ms)
        case TableInForce(table=table):
            return _apply_table(state, targets, table, now_ms)
        case PeerMessageReceived(message=message):
            handled = handle_quarantine_message(state.quarantine, message, now_ms)
            return DecidedOnTargets(
                replace(state, quarantine=handled.state), targets, handled.effects
            )
        case SettingsReloaded(sections={"forwarding": ForwardingSettings() as settings}):
            return DecidedOnTargets(replace(state, settings=settings), targets)
        case RequestIntakeStopped():
            return DecidedOnTargets(replace(state, stopping=True), targets)
        case ShutdownTimeExpired():
            return _end_requests(state, targets, now_ms)
        case _:
            return DecidedOnTargets(state, targets)


def _end_requests(state: ForwardingState, targets: TargetsState, now_ms: float) -> DecidedForward:
    """Answer every request now, because its client would get no answer after the exit.

    New requests are refused; an urgent stop does not stop their intake before.
    """
    decided: DecidedForward = DecidedOnTargets(replace(state, stopping=True), targets)
    for request_id in sorted(state.forwards):
        decided = _chain_decisions(decided, request_id, now_ms, end_request)
    return decided


def _disconnect_client(context: DecisionContext) -> DecisionContext:
    return step_forward(context, "client_disconnected")


def _apply_table(
    state: ForwardingState, targets: TargetsState, table: ForwardingTable, now_ms: float
) -> DecidedForward:
    """Put a forwarding table into force."""
    first_table_at_ms = state.first_table_at_ms if state.table is not None else now_ms
    state = replace(
        state,
        table=table,
        routes_by_host=index_routes(table),
        first_table_at_ms=first_table_at_ms,
    )
    fields = (("version", str(table.version)), ("routes", str(len(table.routes))))
    return DecidedOnTargets(state, targets, (LogEvent("table_in_force", fields),))


def _handle_request(
    state: ForwardingState, targets: TargetsState, event: ForwardRequested, now_ms: float
) -> DecidedForward:
    """Admit or refuse a new request, and send its first attempts."""
    context, reason = admit_request(state, targets, event, now_ms)
    if reason is None:
        return _commit_context(check_completion(step_forward(context, "admitted")))
    load = format_load(context) if reason is RefusalReason.OVERLOADED else ""
    context = replace(context, forward=replace(context.forward, refusal=reason, load=load))
    return _commit_context(step_forward(context, "rejected"))


def _handle_attempt_end(
    state: ForwardingState, targets: TargetsState, ended: AttemptEnded, now_ms: float
) -> DecidedForward:
    """Release the target's slot, apply the reply to the request, and dispatch waiting requests.

    The reply is ignored by a request that has ended or has cancelled the attempt.
    """
    attempt = state.attempts[ended.attempt_id]
    latency_ms = now_ms - attempt.started_at_ms
    targets = end_attempt(targets, ended, latency_ms, now_ms)
    recorded = record_attempt_result(state.quarantine, ended, now_ms)
    state = replace(
        state, attempts=state.attempts.delete(ended.attempt_id), quarantine=recorded.state
    )
    histogram = RecordHistogram("attempt_ms", latency_ms, (("service", attempt.service),))
    effects = (*recorded.effects, histogram)
    record = targets.records.get(ended.target_id)
    # A probe decides whether a suspected target is live. `end_attempt` returns no effects.
    if record is not None and record.chart_state == SUSPECTED and may_probe(record, now_ms):
        effects = (*effects, ProbeTarget(ended.target_id))
    decided = DecidedOnTargets(state, targets, effects)
    forward = state.forwards.get(attempt.request_id)
    if (
        forward is not None
        and ended.attempt_id in forward.sub_requests[attempt.service].attempt_ids
    ):
        decided = _chain_decisions(
            decided,
            attempt.request_id,
            now_ms,
            lambda context: check_completion(apply_attempt_result(context, ended, attempt.service)),
        )
    return _dispatch_waiting(decided, attempt.service, now_ms)


def _handle_timer(
    state: ForwardingState, targets: TargetsState, timer_id: str, now_ms: float
) -> DecidedForward:
    """Check the request, or the queue of the service, whose timer has expired."""
    if timer_id.startswith(CHECK_TIMER):
        request_id = timer_id.removeprefix(CHECK_TIMER)
        return _update_forward(state, targets, request_id, now_ms, handle_check_timer)
    if not timer_id.startswith(CAPACITY_TIMER):
        return DecidedOnTargets(state, targets)
    service = timer_id.removeprefix(CAPACITY_TIMER)
    decided = _dispatch_waiting(DecidedOnTargets(state, targets), service, now_ms)
    if not decided.state.waiting.get(service):
        return decided
    return replace(
        decided, effects=(*decided.effects, SetTimer(timer_id, now_ms + CAPACITY_POLL_MS))
    )


def _dispatch_waiting(decided: DecidedForward, service: str, now_ms: float) -> DecidedForward:
    """Send sub-requests that wait for a service, as long as it has capacity.

    Requests that have ended are removed from the queue without regard to capacity.
    """
    for _ in range(MAX_DISPATCHES_PER_EVENT):
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
        decided = _chain_decisions(
            decided,
            queue[0],
            now_ms,
            lambda context: check_completion(send_waiting(context, service)),
        )
    return decided


def _drop_unservable_requests(
    state: ForwardingState, targets: TargetsState, target_id: str, now_ms: float
) -> DecidedForward:
    """End what waits for a service that will not serve it in time, as its targets have stated.

    Otherwise these requests would wait until their deadlines.
    """
    decided: DecidedForward = DecidedOnTargets(state, targets)
    record = targets.records.get(target_id)
    if record is None:
        return decided
    service = record.target.service
    for request_id in state.waiting.get(service, ()):
        decided = _chain_decisions(
            decided,
            request_id,
            now_ms,
            lambda context: check_completion(drop_unservable(context, service)),
        )
    return decided


def _chain_decisions(
    decided: DecidedForward,
    request_id: str,
    now_ms: float,
    step: Callable[[DecisionContext], DecisionContext],
) -> DecidedForward:
    """Run a further step on the decided state, and append its effects."""
    following = _update_forward(decided.state, decided.targets, request_id, now_ms, step)
    return replace(following, effects=decided.effects + following.effects)


def _update_forward(
    state: ForwardingState,
    targets: TargetsState,
    request_id: str,
    now_ms: float,
    step: Callable[[DecisionContext], DecisionContext],
) -> DecidedForward:
    """Run a step on a request; do nothing if the request has ended."""
    forward = state.forwards.get(request_id)
    if forward is None:
        return DecidedOnTargets(state, targets)
    return _commit_context(step(DecisionContext(state, targets, forward, now_ms)))


def _commit_context(context: DecisionContext) -> DecidedForward:
    """Put the request into the state, or remove it and clear its timer if it has ended."""
    request_id = context.forward.request_id
    forwards, effects = context.state.forwards, context.effects
    if not is_ended(context.forward):
        forwards = forwards.set(request_id, context.forward)
    elif request_id in forwards:
        forwards = forwards.delete(request_id)
        effects = (*effects, ClearTimer(CHECK_TIMER + request_id))
    return DecidedOnTargets(replace(context.state, forwards=forwards), context.targets, effects)
