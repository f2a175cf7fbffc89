"""Guards against shutdowns that abort accepted requests or do not end.

Both come about when stop signals, timers and the end of the last request arrive in another order
than usual, or when a caller keeps its connection open.
"""

import pytest

from savoryarch.model import (
    Exit,
    ExitReason,
    LeavingAnnounced,
    PublishEvent,
    RequestIntakeStopped,
    SetReadiness,
    ShutdownTimeExpired,
    Started,
    StopRequested,
    TimerFired,
    UnfinishedRequestsChanged,
)
from savoryarch.shutdown import (
    ShutdownSettings,
    decide_shutdown,
    drain_time_ms,
    make_shutdown_state,
)

SETTINGS = ShutdownSettings(balancer_lag_ms=5000, shutdown_deadline_ms=20_000)
LAG_ELAPSED, DEADLINE_REACHED = TimerFired("shutdown/lag"), TimerFired("shutdown/deadline")
URGENT_STOP = StopRequested(urgent=True)
STARTED = Started("entry-1", "zone-a", 1)
BUSY, IDLE = UnfinishedRequestsChanged(("r1", "r2")), UnfinishedRequestsChanged(())


def run_events(events):
    state, effects = make_shutdown_state(SETTINGS), []
    for event in events:
        decided = decide_shutdown(state, event, 1000.0)
        state = decided.state
        effects += [
            effect
            for effect in decided.effects
            if isinstance(effect, PublishEvent | Exit | SetReadiness)
        ]
    return effects


READY, LEAVING, INTAKE_STOPPED = (
    SetReadiness(True),
    [SetReadiness(False), PublishEvent(LeavingAnnounced())],
    PublishEvent(RequestIntakeStopped()),
)
# Requests are answered before the exit.
EXPIRED = PublishEvent(ShutdownTimeExpired())
URGENT_EXIT = Exit(1, ("r1", "r2"), ExitReason.URGENT_STOP)
DEADLINE_EXIT = Exit(1, ("r1", "r2"), ExitReason.DEADLINE_REACHED)


@pytest.mark.parametrize(
    ("events", "effects"),
    [
        ([STARTED], [READY]),
        ([STARTED, BUSY, IDLE], [READY]),
        ([StopRequested()], LEAVING),
        ([StopRequested(), BUSY, IDLE], LEAVING),
        ([StopRequested(), LAG_ELAPSED], [*LEAVING, INTAKE_STOPPED, Exit(0)]),
        ([StopRequested(), BUSY, LAG_ELAPSED], [*LEAVING, INTAKE_STOPPED]),
        ([BUSY, StopRequested(), LAG_ELAPSED, IDLE], [*LEAVING, INTAKE_STOPPED, Exit(0)]),
        ([StopRequested(), BUSY, URGENT_STOP], [*LEAVING, EXPIRED, URGENT_EXIT]),
        (
            [StopRequested(), URGENT_STOP],
            [*LEAVING, EXPIRED, Exit(0, (), ExitReason.URGENT_STOP)],
        ),
        (
            [StopRequested(), BUSY, LAG_ELAPSED, URGENT_STOP],
            [*LEAVING, INTAKE_STOPPED, EXPIRED, URGENT_EXIT],
        ),
        ([StopRequested(), BUSY, StopRequested()], LEAVING),
        ([StopRequested(), StopRequested()], LEAVING),
        (
            [StopRequested(), BUSY, LAG_ELAPSED, StopRequested(), IDLE],
            [*LEAVING, INTAKE_STOPPED, Exit(0)],
        ),
        (
            [StopRequested(), BUSY, LAG_ELAPSED, DEADLINE_REACHED],
            [*LEAVING, INTAKE_STOPPED, EXPIRED, DEADLINE_EXIT],
        ),
        (
            [StopRequested(), LAG_ELAPSED, IDLE, StopRequested(), DEADLINE_REACHED],
            [*LEAVING, INTAKE_STOPPED, Exit(0)],
        ),
        ([LAG_ELAPSED, DEADLINE_REACHED], []),
    ],
)
def test_requests_are_completed_until_the_deadline_or_an_urgent_stop(events, effects):
    assert run_events(events) == effects


@pytest.mark.parametrize(
    ("deadline_ms", "margin_ms", "since_stop_ms", "drain_ms"),
    [
        (60_000, 0, 6000.0, 5000.0),
        (6000, 300, 3200.0, 1250.0),
        (6000, 300, 5000.0, 350.0),
        (6000, 300, 5700.0, 100.0),
        (6000, 300, 9000.0, 100.0),
        (60_000, 0, float("-inf"), 5000.0),
    ],
)
def test_open_connections_delay_the_exit_no_longer_than_the_platform_waits(
    deadline_ms, margin_ms, since_stop_ms, drain_ms
):
    settings = ShutdownSettings(
        balancer_lag_ms=100, shutdown_deadline_ms=deadline_ms, kill_margin_ms=margin_ms
    )
    assert drain_time_ms(settings, since_stop_ms) == drain_ms
