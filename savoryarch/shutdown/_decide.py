"""Decisions on the shutdown of an instance, along the chart ``shutdown``."""

from dataclasses import dataclass

from savoryarch.charts import load_chart
from savoryarch.model import (
    ClearTimer,
    Count,
    Decided,
    Exit,
    ExitReason,
    LeavingAnnounced,
    LogEvent,
    PublishEvent,
    RequestIntakeStopped,
    SetReadiness,
    SetTimer,
    SettingsReloaded,
    ShutdownTimeExpired,
    Started,
    StopRequested,
    TimerFired,
    UnfinishedRequestsChanged,
)
from savoryarch.model.forwarding import (
    TargetsDiscovered,
)
from savoryarch.utils import Boolean, Number, replace, setting

LAG_TIMER = "shutdown/lag"
DEADLINE_TIMER = "shutdown/deadline"
UNFINISHED_EXIT_CODE = 1
MAX_LOGGED_REQUESTS = 20
MAX_DRAIN_MS = 5000.0  # gives slow callers time to read their last answer
# Share of the remaining time for open connections. The rest is for the exit of the process, which
# is slow on a busy machine.
DRAIN_SHARE = 0.5
MIN_DRAIN_MS = 100.0  # to send the last answers, within the kill margin


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Settings of the graceful shutdown."""

    balancer_lag_ms: float = setting(
        Number(0, 600_000),
        "Time in ms for which a leaving instance still accepts requests, until the balancer "
        "notices; longer than the interval of its health checks.",
        6000.0,
    )
    shutdown_deadline_ms: float = setting(
        Number(0, 3_600_000),
        "Time in ms after which a shutdown ends and aborts unfinished requests.",
        60_000.0,
    )
    kill_margin_ms: float = setting(
        Number(0, 60_000),
        "Time in ms before the shutdown deadline at which the process exits.",
        0.0,
    )
    await_targets: bool = setting(
        Boolean(),
        "Whether the instance becomes ready only once it knows routes and targets.",
        False,
    )


@dataclass(frozen=True, slots=True)
class ShutdownState:
    """State of the shutdown.

    Parameters
    ----------
    settings : ShutdownSettings
        Settings in force.
    chart_state : str
        Current state in the chart ``shutdown``.
    unfinished_ids : tuple of str
        Ids of accepted requests that are not answered, or whose outcome is not recorded.
    """

    settings: ShutdownSettings
    chart_state: str
    unfinished_ids: tuple[str, ...] = ()


def drain_time_ms(settings: ShutdownSettings, since_stop_ms: float) -> float:
    """Return the time in ms for which connections may stay open after the last answer.

    A caller that reads slowly, or that has sent half a request, must not delay the exit beyond the
    time at which the platform kills the process.

    Parameters
    ----------
    settings : ShutdownSettings
        Settings with the deadline of the shutdown.
    since_stop_ms : float
        Time in milliseconds since the stop was requested.

    Returns
    -------
    drain_ms : float
        At least `MIN_DRAIN_MS` and at most `MAX_DRAIN_MS`.
    """
    remaining_ms = settings.shutdown_deadline_ms - settings.kill_margin_ms - since_stop_ms
    return max(MIN_DRAIN_MS, min(MAX_DRAIN_MS, DRAIN_SHARE * remaining_ms))


def make_shutdown_state(settings: ShutdownSettings) -> ShutdownState:
    """Return the state of an instance that has not started yet."""
    return ShutdownState(settings, _CHART.initial)


def decide_shutdown(state: ShutdownState, event: object, now_ms: float) -> Decided[ShutdownState]:
    """Decide on stop signals, shutdown timers and changes of the unfinished requests.

    Parameters
    ----------
    state : ShutdownState
        State before the event.
    event : object
        The event. Events that do not concern the shutdown change nothing.
    now_ms : float
        Time of the event in milliseconds on the clock of the process.

    Returns
    -------
    decided : Decided
        State after the event, and the effects to perform.
    """
    match event:
        case Started() if not state.settings.await_targets:
            return Decided(state, (SetReadiness(True),))
        case TargetsDiscovered() if state.chart_state == _CHART.initial:
            return Decided(state, (SetReadiness(True),))
        case SettingsReloaded(sections={"shutdown": ShutdownSettings() as settings}):
            return Decided(replace(state, settings=settings))
        case StopRequested(urgent=urgent):
            return _step(state, "urgent_stop_requested" if urgent else "stop_requested", now_ms)
        case TimerFired(timer_id) if timer_id == LAG_TIMER:
            return _step(state, "balancer_lag_elapsed", now_ms)
        case TimerFired(timer_id) if timer_id == DEADLINE_TIMER:
            return _step(state, "deadline_reached", now_ms)
        case UnfinishedRequestsChanged(request_ids):
            state = replace(state, unfinished_ids=request_ids)
            return Decided(state) if request_ids else _step(state, "requests_finished", now_ms)
        case _:
            return Decided(state)


def _step(state: ShutdownState, event: str, now_ms: float) -> Decided[ShutdownState]:
    """Apply an event to the chart and perform its actions; other events have no effect."""
    if not _CHART.has_transition(state.chart_state, event):
        return Decided(state)
    transition = _CHART.step(state.chart_state, event)
    state = replace(state, chart_state=transition.next_state)
    effects: tuple[object, ...] = ()
    for action in transition.actions:
        effects += _perform(action, state, now_ms)
    if "exit_if_finished" in transition.actions and not state.unfinished_ids:
        exited = _step(state, "requests_finished", now_ms)
        return Decided(exited.state, effects + exited.effects)
    return Decided(state, effects)


def _perform(action: str, state: ShutdownState, now_ms: float) -> tuple[object, ...]:
    match action:
        case "announce_leaving":
            unfinished = ("unfinished", str(len(state.unfinished_ids)))
            return (
                SetReadiness(False),
                PublishEvent(LeavingAnnounced()),
                LogEvent("shutdown_started", (unfinished,)),
            )
        case "start_lag_timer":
            return (SetTimer(LAG_TIMER, now_ms + state.settings.balancer_lag_ms),)
        case "start_deadline_timer":
            settings = state.settings
            remaining_ms = settings.shutdown_deadline_ms - settings.kill_margin_ms
            return (SetTimer(DEADLINE_TIMER, now_ms + remaining_ms),)
        case "stop_request_intake":
            return (PublishEvent(RequestIntakeStopped()), LogEvent("new_work_ended"))
        case "exit":
            return (ClearTimer(DEADLINE_TIMER), LogEvent("shutdown_finished"), Exit(0))
        case "exit_at_deadline":
            return _exit_unfinished(state, ExitReason.DEADLINE_REACHED)
        case "exit_urgently":
            return _exit_unfinished(state, ExitReason.URGENT_STOP)
        case _:
            return ()  # `_step` performs ``exit_if_finished``.


def _exit_unfinished(state: ShutdownState, reason: ExitReason) -> tuple[object, ...]:
    unfinished_ids = state.unfinished_ids
    fields = (
        ("cut", str(len(unfinished_ids))),
        ("request_ids", ",".join(unfinished_ids[:MAX_LOGGED_REQUESTS])),
    )
    return (
        ClearTimer(LAG_TIMER),
        ClearTimer(DEADLINE_TIMER),
        Count("requests_cut", "shutdown", len(unfinished_ids)),
        LogEvent("shutdown_cut", fields),
        PublishEvent(ShutdownTimeExpired()),
        Exit(UNFINISHED_EXIT_CODE if unfinished_ids else 0, unfinished_ids, reason),
    )


_ACTIONS = frozenset(
    {
        "announce_leaving",
        "exit",
        "exit_if_finished",
        "exit_at_deadline",
        "exit_urgently",
        "start_deadline_timer",
        "start_lag_timer",
        "stop_request_intake",
    }
)
_CHART = load_chart("shutdown", _ACTIONS)
