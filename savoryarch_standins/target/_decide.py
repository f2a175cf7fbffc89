"""Decisions of a target stand-in: which requests run, for how long, and with which reply."""

from collections.abc import Callable
from dataclasses import replace
from importlib.resources import files
from math import exp
from statistics import NormalDist

from xxhash import xxh64_intdigest

from savoryarch.charts import parse_chart
from savoryarch.model import Decided
from savoryarch_standins.target._model import (
    Behaviour,
    BehaviourChanged,
    CancelRequested,
    ChartEventTriggered,
    ConnectionCountChanged,
    DropConnections,
    Reply,
    RequestReceived,
    RouteWork,
    RunExpired,
    RunFinished,
    ScheduleEvent,
    SearchWork,
    TargetEvent,
    TargetSpec,
    TargetStandinState,
)
from savoryarch_standins.target._replies import Refusal, encode_order, encode_part

_NORMAL = NormalDist()
_DRAW_RANGE = 2.0**64

Step = Decided[TargetStandinState]


def make_target(spec: TargetSpec, behaviour: Behaviour, seed: int, now_ms: float) -> Step:
    """Return a target in state ``cold`` and the event that ends its warm-up."""
    state = TargetStandinState(spec, behaviour, seed)
    return Decided(state, (_make_warm_up_event(state, now_ms),))


def decide_target(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    """Return the state after `event` and the effects to perform.

    Stale events, and those without a transition in the present state of the chart, are ignored.
    """
    match event:
        case BehaviourChanged(behaviour=behaviour):
            return Decided(replace(state, behaviour=behaviour))
        case ConnectionCountChanged():
            return Decided(_count_connections(state, event))
        case _:
            chart_event = _find_chart_event(state, event)
            if not _CHART.has_transition(state.chart_state, chart_event):
                return Decided(state)
            return _step_chart(state, chart_event, event, now_ms)


def _find_chart_event(state: TargetStandinState, event: TargetEvent) -> str:
    """Return the chart event for `event`, or an empty name if the event is stale.

    Events of earlier incarnations and of runs that have ended are stale. A request that contains
    the crash word crashes the target at the end of its service time.
    """
    match event:
        case RequestReceived():
            return "requested"
        case CancelRequested():
            return "cancelled"
        case ChartEventTriggered(chart_event=chart_event, incarnation=incarnation):
            return chart_event if incarnation in (None, state.incarnation) else ""
        case RunFinished(exchange_id=exchange_id) if exchange_id in state.in_flight:
            return "crash" if _crashes(state, state.in_flight[exchange_id]) else "ran"
        case RunExpired(exchange_id=exchange_id) if exchange_id in state.in_flight:
            return "expired"
        case _:
            return ""


def _step_chart(
    state: TargetStandinState, chart_event: str, event: TargetEvent, now_ms: float
) -> Step:
    transition = _CHART.step(state.chart_state, chart_event)
    step: Step = Decided(replace(state, chart_state=transition.next_state))
    for action in transition.actions:
        result = _ACTIONS[action](step.state, event, now_ms)
        step = Decided(result.state, step.effects + result.effects)
    return step


def _start_run(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    assert isinstance(event, RequestReceived)
    behaviour, counts = state.behaviour, state.counts
    if event.deadline_at_ms <= now_ms:
        return _reply_refusal(state, event, 504, Refusal("deadline", not_run=True))
    if isinstance(event.work, SearchWork) and not _serves(behaviour, event.work.snapshot):
        counts = replace(counts, snapshot_refusals=counts.snapshot_refusals + 1)
        refusal = Refusal("snapshot", not_run=True)
        return _reply_refusal(replace(state, counts=counts), event, 409, refusal)
    state, shed_draw = _draw_uniform(state)
    if len(state.in_flight) >= state.spec.slots or shed_draw < behaviour.shed_share:
        counts = replace(counts, sheds=counts.sheds + 1)
        refusal = Refusal("shed", not_run=True, retry_after_ms=behaviour.retry_after_ms)
        return _reply_refusal(replace(state, counts=counts), event, 503, refusal)
    state, service_ms = _draw_service_ms(state)
    in_flight = state.in_flight.set(event.exchange_id, event)
    runs_per_key = counts.runs_per_key
    if isinstance(event.work, RouteWork) and event.work.idempotency_key:
        key = event.work.idempotency_key
        runs_per_key = runs_per_key.set(key, runs_per_key.get(key, 0) + 1)
    counts = replace(
        counts,
        runs=counts.runs + 1,
        runs_per_key=runs_per_key,
        max_in_flight=max(counts.max_in_flight, len(in_flight)),
    )
    state = replace(state, in_flight=in_flight, counts=counts)
    finish = ScheduleEvent(now_ms + service_ms, RunFinished(event.exchange_id))
    expiry = ScheduleEvent(event.deadline_at_ms, RunExpired(event.exchange_id))
    return Decided(state, (finish, expiry) if expiry.at_ms < finish.at_ms else (finish,))


def _finish_run(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    assert isinstance(event, RunFinished)
    request = state.in_flight[event.exchange_id]
    state = replace(state, in_flight=state.in_flight.delete(event.exchange_id))
    state, draw = _draw_uniform(state)
    behaviour = state.behaviour
    # One draw decides on all faults: low values give a failure or an incomplete part, and high
    # values give a malformed body.
    reply = Reply(event.exchange_id, request.request_id, 200, _encode_body(state, request, draw))
    if draw < behaviour.failure_share:
        reply = replace(reply, status=500, body=Refusal("failure").encode())
    elif draw > 1 - behaviour.malformed_share:
        reply = replace(reply, body=b'{"snapshot": ')
    sent = reply
    if behaviour.crosses_replies and state.last_reply is not None:
        sent = replace(state.last_reply, exchange_id=event.exchange_id)
    return Decided(replace(state, last_reply=reply), (sent,))


def _encode_body(state: TargetStandinState, request: RequestReceived, draw: float) -> bytes:
    match request.work:
        case SearchWork() as work:
            cut_short = draw < state.behaviour.cut_short_share
            return encode_part(state.spec, state.behaviour, work, cut_short)
        case RouteWork() as work:
            run = state.counts.runs_per_key.get(work.idempotency_key, 0)
            return encode_order(state.spec, work, run, state.counts.runs)


def _expire_run(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    assert isinstance(event, RunExpired)
    request = state.in_flight[event.exchange_id]
    counts = replace(state.counts, expired=state.counts.expired + 1)
    state = replace(state, in_flight=state.in_flight.delete(event.exchange_id), counts=counts)
    return _reply_refusal(state, request, 504, Refusal("deadline", not_run=False))


def _cancel_run(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    assert isinstance(event, CancelRequested)
    request = next(
        (run for run in state.in_flight.values() if run.request_id == event.request_id), None
    )
    if request is None:
        return Decided(state)
    counts = replace(state.counts, cancelled=state.counts.cancelled + 1)
    state = replace(state, in_flight=state.in_flight.delete(request.exchange_id), counts=counts)
    return _reply_refusal(state, request, 499, Refusal("cancelled"))


def _refuse_while_draining(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    assert isinstance(event, RequestReceived)
    counts = replace(state.counts, refused_draining=state.counts.refused_draining + 1)
    refusal = Refusal("draining", not_run=True)
    return _reply_refusal(
        replace(state, counts=counts), event, 503, refusal, closes_connection=True
    )


def _reply_refusal(
    state: TargetStandinState,
    event: RequestReceived,
    status: int,
    refusal: Refusal,
    closes_connection: bool = False,
) -> Step:
    return Decided(
        state,
        (Reply(event.exchange_id, event.request_id, status, refusal.encode(), closes_connection),),
    )


def _hold_event(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    counts = replace(state.counts, held=state.counts.held + 1)
    return Decided(replace(state, held_events=(*state.held_events, event), counts=counts))


def _release_held_events(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    step: Step = Decided(replace(state, held_events=()))
    for held_event in state.held_events:
        result = decide_target(step.state, held_event, now_ms)
        step = Decided(result.state, step.effects + result.effects)
    return step


def _lose_work(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    counts = replace(state.counts, crashes=state.counts.crashes + 1)
    state = replace(
        state,
        in_flight=state.in_flight.__class__(),
        held_events=(),
        last_reply=None,
        counts=counts,
        incarnation=state.incarnation + 1,
    )
    return Decided(state, (DropConnections(exits_process=state.behaviour.exits_on_crash),))


def _schedule_restart(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    at_ms = now_ms + state.behaviour.restart_ms
    return Decided(
        state, (ScheduleEvent(at_ms, ChartEventTriggered("restarted", state.incarnation)),)
    )


def _schedule_warm_up(state: TargetStandinState, event: TargetEvent, now_ms: float) -> Step:
    return Decided(state, (_make_warm_up_event(state, now_ms),))


def _make_warm_up_event(state: TargetStandinState, now_ms: float) -> ScheduleEvent:
    return ScheduleEvent(
        now_ms + state.behaviour.cold_start_ms, ChartEventTriggered("warmed", state.incarnation)
    )


def _count_connections(
    state: TargetStandinState, event: ConnectionCountChanged
) -> TargetStandinState:
    counts = state.counts
    counts = replace(
        counts,
        max_connections=max(counts.max_connections, event.open_count),
        connections_refused=counts.connections_refused + event.is_refused,
        connections_opened=counts.connections_opened + (event.open_count > state.open_connections),
    )
    return replace(state, open_connections=event.open_count, counts=counts)


def _serves(behaviour: Behaviour, snapshot: str) -> bool:
    return snapshot in behaviour.snapshots.split(",")


def _crashes(state: TargetStandinState, request: RequestReceived) -> bool:
    word = state.behaviour.crash_word.encode()
    return bool(word) and state.chart_state != "frozen" and word in request.work.body


def _draw_uniform(state: TargetStandinState) -> tuple[TargetStandinState, float]:
    """Return the next draw from [0, 1], which depends only on seed, target and draw count."""
    draw = (
        xxh64_intdigest(f"{state.spec.target_id}/{state.draw_count}".encode(), seed=state.seed)
        / _DRAW_RANGE
    )
    return replace(state, draw_count=state.draw_count + 1), draw


def _draw_service_ms(state: TargetStandinState) -> tuple[TargetStandinState, float]:
    """Draw a lognormal service time, scaled for stragglers, slow targets and a cold start."""
    behaviour = state.behaviour
    state, normal_draw = _draw_uniform(state)
    state, straggler_draw = _draw_uniform(state)
    factor = behaviour.slow_factor
    if straggler_draw < behaviour.straggler_share:
        factor *= behaviour.straggler_factor
    if state.chart_state == "cold":
        factor *= behaviour.cold_factor
    # The inverse of the normal distribution is undefined at 0 and 1.
    deviation = _NORMAL.inv_cdf(min(max(normal_draw, 1e-9), 1 - 1e-9))
    return state, behaviour.service_median_ms * factor * exp(behaviour.service_sigma * deviation)


_ACTIONS: dict[str, Callable[[TargetStandinState, TargetEvent, float], Step]] = {
    "run": _start_run,
    "reply": _finish_run,
    "give_up": _expire_run,
    "cancel": _cancel_run,
    "refuse": _refuse_while_draining,
    "hold": _hold_event,
    "release": _release_held_events,
    "drop": _lose_work,
    "schedule_restart": _schedule_restart,
    "schedule_warming": _schedule_warm_up,
}
_CHART = parse_chart(
    files("savoryarch_standins.target").joinpath("target.ini").read_text(encoding="utf-8"),
    "target.ini",
    frozenset(_ACTIONS),
)
