"""The decision of the shutdown, along the chart ``shutdown.ini``."""

from dataclasses import dataclass, replace

from savoryarch.charts import load_chart
from savoryarch.model import (
    ClearTimer,
    Count,
    Decided,
    Exit,
    LeavingAnnounced,
    LogEvent,
    PublishEvent,
    RequestIntakeStopped,
    SetReadiness,
    SetTimer,
    SettingsReloaded,
    Started,
    StopRequested,
    TimerFired,
    UnfinishedRequestsChanged,
)
from savoryarch.model.forwarding import (
    TargetsDiscovered,
)
from savoryarch.utils import Number, Switch, setting

LAG_TIMER = "shutdown/lag"
DEADLINE_TIMER = "shutdown/deadline"
CUT_EXIT_CODE = 1
MAX_LOGGED_REQUESTS = 20
MAX_DRAIN_MS = 5000.0  # for callers that read their last answer slowly
DRAIN_SHARE = 0.5  # of the time left; the end of a process takes its time on a busy machine
MIN_DRAIN_MS = 100.0  # to write the last answers out, within the kill margin


@dataclass(frozen=True, slots=True)
class ShutdownSettings:
    """Settings of the graceful shutdown."""

    balancer_lag_ms: float = setting(
        Number(0, 600_000),
        "Time in ms that an instance which leaves keeps taking requests, so that the balancer "
        "notices; longer than the interval of its checks.",
        6000.0,
    )
    shutdown_deadline_ms: float = setting(
        Number(0, 3_600_000),
        "Time in ms after which a shutdown ends and cuts what is unfinished.",
        60_000.0,
    )
    kill_margin_ms: float = setting(
        Number(0, 60_000), "Time in ms before that deadline at which the process ends.", 0.0
    )
    await_targets: bool = setting(
        Switch(), "Whether the instance is ready only when it knows routes and targets.", False
    )


@dataclass(frozen=True, slots=True)
class ShutdownState:
    """State of the shutdown.

    Parameters
    ----------
    settings : ShutdownSettings
        The settings.
    chart_state : str
        State in the chart.
    unfinished_ids : tuple of str
        Requests that are accepted and not answered.
    """

    settings: ShutdownSettings
    chart_state: str
    unfinished_ids: tuple[str, ...] = ()


def drain_time_ms(settings: ShutdownSettings, since_stop_ms: float) -> float:
    """Return how long connections may stay open after the last answer.

    A caller that reads slowly, or that has sent half a request, must not hold the process beyond
    the time after which the platform kills it.

    Parameters
    ----------
    settings : ShutdownSettings
        The settings.
    since_stop_ms : float
        Time since the stop was asked for.
    """
    left_ms = settings.shutdown_deadline_ms - settings.kill_margin_ms - since_stop_ms
    return max(MIN_DRAIN_MS, min(MAX_DRAIN_MS, DRAIN_SHARE * left_ms))


def make_shutdown_state(settings: ShutdownSettings) -> ShutdownState:
    """Make the state of an instance that has not started yet."""
    return ShutdownState(settings, _CHART.initial)


def decide_shutdown(state: ShutdownState, event: object, now_ms: float) -> Decided[ShutdownState]:
    """Decide on signals, the timers of the shutdown and the count of unfinished requests."""
    match event:
        case Started() if not state.settings.await_targets:
            return Decided(state, (SetReadiness(True),))
        case TargetsDiscovered() if state.chart_state == _CHART.initial:
            return Decided(state, (SetReadiness(True),))
        case SettingsReloaded(sections={"shutdown": ShutdownSettings() as settings}):
            return Decided(replace(state, settings=settings))
        case StopRequested(urgent=urgent):
            return _step(state, "stop_urged" if urgent else "stop_asked", now_ms)
        case TimerFired(timer_id) if timer_id == LAG_TIMER:
            return _step(state, "lag_passed", now_ms)
        case TimerFired(timer_id) if timer_id == DEADLINE_TIMER:
            return _step(state, "deadline_passed", now_ms)
        case UnfinishedRequestsChanged(request_ids):
            state = replace(state, unfinished_ids=request_ids)
            return Decided(state) if request_ids else _step(state, "finished", now_ms)
        case _:
            return Decided(state)


def _step(state: ShutdownState, event: str, now_ms: float) -> Decided[ShutdownState]:
    if not _CHART.accepts(state.chart_state, event):
        return Decided(state)
    transition = _CHART.step(state.chart_state, event)
    state = replace(state, chart_state=transition.next_state)
    effects: tuple[object, ...] = ()
    for action in transition.actions:
        effects += _perform(action, state, now_ms)
    if "end_if_finished" in transition.actions and not state.unfinished_ids:
        ended = _step(state, "finished", now_ms)
        return Decided(ended.state, effects + ended.effects)
    return Decided(state, effects)


def _perform(action: str, state: ShutdownState, now_ms: float) -> tuple[object, ...]:
    match action:
        case "announce":
            unfinished = ("unfinished", str(len(state.unfinished_ids)))
            return (
                SetReadiness(False),
                PublishEvent(LeavingAnnounced()),
                LogEvent("shutdown_started", (unfinished,)),
            )
        case "start_lag":
            return (SetTimer(LAG_TIMER, now_ms + state.settings.balancer_lag_ms),)
        case "start_deadline":
            settings = state.settings
            left_ms = settings.shutdown_deadline_ms - settings.kill_margin_ms
            return (SetTimer(DEADLINE_TIMER, now_ms + left_ms),)
        case "end_new_work":
            return (PublishEvent(RequestIntakeStopped()), LogEvent("new_work_ended"))
        case "exit":
            return (ClearTimer(DEADLINE_TIMER), LogEvent("shutdown_finished"), Exit(0))
        case "cut":
            return _cut(state)
        case _:
            return ()


def _cut(state: ShutdownState) -> tuple[object, ...]:
    cut_ids = state.unfinished_ids
    fields = (
        ("cut", str(len(cut_ids))),
        ("request_ids", ",".join(cut_ids[:MAX_LOGGED_REQUESTS])),
    )
    return (
        ClearTimer(LAG_TIMER),
        ClearTimer(DEADLINE_TIMER),
        Count("requests_cut", "shutdown", len(cut_ids)),
        LogEvent("shutdown_cut", fields),
        Exit(CUT_EXIT_CODE if cut_ids else 0, cut_ids),
    )


_ACTIONS = frozenset(
    {"announce", "cut", "end_if_finished", "end_new_work", "exit", "start_deadline", "start_lag"}
)
_CHART = load_chart("shutdown", _ACTIONS)
