import pytest

from savoryarch.model import (
    Exit,
    Inform,
    LeavingAnnounced,
    NewWorkEnded,
    SetReadiness,
    Started,
    StopAsked,
    TimerFired,
    UnfinishedChanged,
)
from savoryarch.shutdown import ShutdownSettings, decide_shutdown, make_shutdown_state

SETTINGS = ShutdownSettings(balancer_lag_ms=5000, shutdown_deadline_ms=20_000)
LAG, DEADLINE = TimerFired("shutdown/lag"), TimerFired("shutdown/deadline")
STARTED = Started("entry-1", "zone-a", 1)
BUSY, IDLE = UnfinishedChanged(("r1", "r2")), UnfinishedChanged(())


def run(events):
    state, effects = make_shutdown_state(SETTINGS), []
    for event in events:
        decided = decide_shutdown(state, event, 1000.0)
        state = decided.state
        effects += [
            effect for effect in decided.effects if isinstance(effect, Inform | Exit | SetReadiness)
        ]
    return effects


READY, ANNOUNCED, ENDED = (
    SetReadiness(True),
    [SetReadiness(False), Inform(LeavingAnnounced())],
    Inform(NewWorkEnded()),
)


@pytest.mark.parametrize(
    ("events", "effects"),
    [
        ([STARTED], [READY]),
        ([STARTED, BUSY, IDLE], [READY]),
        ([StopAsked()], ANNOUNCED),
        ([StopAsked(), BUSY, IDLE], ANNOUNCED),
        ([StopAsked(), LAG], [*ANNOUNCED, ENDED, Exit(0)]),
        ([StopAsked(), BUSY, LAG], [*ANNOUNCED, ENDED]),
        ([BUSY, StopAsked(), LAG, IDLE], [*ANNOUNCED, ENDED, Exit(0)]),
        ([StopAsked(), BUSY, StopAsked()], [*ANNOUNCED, Exit(1, ("r1", "r2"))]),
        ([StopAsked(), StopAsked()], [*ANNOUNCED, Exit(0)]),
        ([StopAsked(), BUSY, LAG, StopAsked()], [*ANNOUNCED, ENDED, Exit(1, ("r1", "r2"))]),
        ([StopAsked(), BUSY, LAG, DEADLINE], [*ANNOUNCED, ENDED, Exit(1, ("r1", "r2"))]),
        ([StopAsked(), LAG, IDLE, StopAsked(), DEADLINE], [*ANNOUNCED, ENDED, Exit(0)]),
        ([LAG, DEADLINE], []),
    ],
)
def test_shutdown(events, effects):
    assert run(events) == effects
