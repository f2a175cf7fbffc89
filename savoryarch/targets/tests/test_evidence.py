"""Guards against new work for draining or lost targets, and against live targets without work.

Both come about when stale evidence, which health endpoints and instance lists may give, takes
precedence over newer evidence.
"""

import pytest
from immutables import Map

from savoryarch.model import (
    AttemptEnded,
    ConnectionLost,
    Declarations,
    DeclarationsInForce,
    Draining,
    InstanceRole,
    InstancesListed,
    ListedInstance,
    ListedState,
    NotSent,
    OpenConnections,
    PartReturned,
    ProbeTarget,
    ReturnUnsent,
    Service,
    SnapshotId,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
    TimerFired,
)
from savoryarch.targets import (
    TargetsSettings,
    choose_target,
    decide_targets,
    end_attempt,
    make_targets_state,
    start_attempt,
)

SNAPSHOT = SnapshotId(1, 1)
ANSWERED = TargetEvidenceReceived("t", TargetEvidence.PROBE_ANSWERED, (SNAPSHOT,))
CONNECTED = TargetEvidenceReceived("t", TargetEvidence.CONNECTED)
PROBE_DRAINING = TargetEvidenceReceived("t", TargetEvidence.PROBE_DRAINING)
REFUSED = TargetEvidenceReceived("t", TargetEvidence.CONNECTION_REFUSED)
CLOSED = TargetEvidenceReceived("t", TargetEvidence.CONNECTION_CLOSED)
REGISTERED = TargetEvidenceReceived("t", TargetEvidence.REGISTERED)
PROBE_FAILED = TargetEvidenceReceived("t", TargetEvidence.PROBE_FAILED)


def listed(target_id="t", state=ListedState.LIVE):
    row = ListedInstance(target_id, InstanceRole.TARGET, "zone-a", "127.0.0.1", 1, state)
    return InstancesListed((row,))


LISTED, LEAVING = listed(), listed(state=ListedState.LEAVING)
OTHER_LISTED, NOTHING_LISTED = listed("other"), InstancesListed(())


def attempt_ended(reply):
    return AttemptEnded("search/1", "t", reply)


def make_state(targets=("t",), slots=4, connection_limit=50, **fields):
    service = Service(
        "balcao-00",
        "balcao",
        slots,
        connection_limit,
        tuple(Target(name, "balcao-00", "zone-a", "127.0.0.1", 1) for name in targets),
    )
    state = make_targets_state(TargetsSettings("zone-a", **fields))
    declared = DeclarationsInForce(Declarations(1, Map({"balcao-00": service})))
    return decide_targets(state, declared, 0.0).state


def apply_event(state, event, now_ms):
    """Apply one event; an `AttemptEnded` ends an attempt that took 5 ms."""
    if isinstance(event, AttemptEnded):
        state = start_attempt(state, event.target_id, now_ms - 5.0)
        return end_attempt(state, event, 5.0, now_ms), ()
    decided = decide_targets(state, event, now_ms)
    return decided.state, decided.effects


def apply_events(state, events):
    effects = ()
    for now_ms, event in events:
        state, effects = apply_event(state, event, now_ms)
    return state, effects


def choose(state, now_ms, exclude=frozenset()):
    return choose_target(state, "balcao-00", exclude=exclude, snapshot=SNAPSHOT, now_ms=now_ms)


@pytest.mark.parametrize(
    ("events", "gets_work"),
    [
        ([], False),
        ([(1.0, ANSWERED)], True),
        # Any evidence that the target drains, closed or refused a connection stops new work.
        ([(1.0, ANSWERED), (10_000.0, PROBE_DRAINING)], False),
        ([(1.0, ANSWERED), (10_000.0, LEAVING)], False),
        ([(1.0, ANSWERED), (10_000.0, attempt_ended(Draining()))], False),
        ([(1.0, ANSWERED), (10_000.0, CLOSED)], False),
        ([(1.0, ANSWERED), (10_000.0, attempt_ended(ConnectionLost("reset")))], False),
        ([(1.0, ANSWERED), (10_000.0, REFUSED)], False),
        # A draining target does not return if it is listed or accepts a connection, nor if it
        # answers a probe within the lag of 5 s after the last negative evidence.
        ([(1.0, ANSWERED), (10_000.0, attempt_ended(Draining())), (10_100.0, LISTED)], False),
        ([(1.0, ANSWERED), (10_000.0, attempt_ended(Draining())), (90_000.0, LISTED)], False),
        ([(1.0, ANSWERED), (10_000.0, attempt_ended(Draining())), (10_100.0, ANSWERED)], False),
        ([(1.0, ANSWERED), (10_000.0, attempt_ended(Draining())), (90_000.0, CONNECTED)], False),
        ([(1.0, ANSWERED), (10_000.0, LEAVING), (10_100.0, LISTED), (10_200.0, ANSWERED)], False),
        ([(1.0, ANSWERED), (10_000.0, LEAVING), (14_000.0, LEAVING), (16_000.0, ANSWERED)], False),
        # A draining target returns if it answers a probe after the lag.
        ([(1.0, ANSWERED), (10_000.0, attempt_ended(Draining())), (15_100.0, ANSWERED)], True),
        ([(1.0, ANSWERED), (10_000.0, LEAVING), (14_000.0, LEAVING), (19_100.0, ANSWERED)], True),
        # A failed connection does not make a draining target return earlier: guards against new
        # requests to a target that was unreachable while it drained.
        ([(1.0, ANSWERED), (10_000.0, LEAVING), (10_100.0, REFUSED), (10_200.0, CONNECTED)], False),
        ([(1.0, ANSWERED), (10_000.0, LEAVING), (10_100.0, REFUSED), (90_000.0, CONNECTED)], False),
        ([(1.0, ANSWERED), (10_000.0, LEAVING), (10_100.0, REFUSED), (15_050.0, ANSWERED)], False),
        ([(1.0, ANSWERED), (10_000.0, LEAVING), (10_100.0, REFUSED), (15_200.0, ANSWERED)], True),
        ([(1.0, REFUSED), (10_000.0, LEAVING), (10_100.0, REFUSED), (10_200.0, CONNECTED)], False),
        (
            [
                (1.0, ANSWERED),
                (10_000.0, LEAVING),
                (10_100.0, REFUSED),
                (10_200.0, REGISTERED),
                (10_300.0, CONNECTED),
            ],
            True,
        ),
        # After a closed or refused connection, an answer or a new connection lets the target
        # return at once, but not its presence in the instance list.
        ([(1.0, ANSWERED), (10_000.0, CLOSED), (10_001.0, ANSWERED)], True),
        ([(1.0, ANSWERED), (10_000.0, CLOSED), (10_001.0, CONNECTED)], True),
        ([(1.0, ANSWERED), (10_000.0, REFUSED), (10_001.0, LISTED)], False),
        ([(1.0, ANSWERED), (10_000.0, REFUSED), (10_001.0, ANSWERED)], True),
        # A list that is empty or omits the target is no evidence against it.
        ([(1.0, ANSWERED), (2.0, LISTED), (10_000.0, NOTHING_LISTED)], True),
        ([(1.0, ANSWERED), (2.0, LISTED), (10_000.0, OTHER_LISTED)], True),
        # A failed probe counts only if the target has not replied to an attempt recently.
        ([(1.0, ANSWERED), (10_000.0, PROBE_FAILED)], False),
        (
            [
                (1.0, ANSWERED),
                (9_999.0, attempt_ended(PartReturned(SNAPSHOT, b"[]", True))),
                (10_000.0, PROBE_FAILED),
            ],
            True,
        ),
        # A missing free connection is no evidence about the target.
        ([(1.0, ANSWERED), (10_000.0, attempt_ended(NotSent("busy")))], True),
    ],
)
def test_evidence_decides_whether_a_target_gets_new_work(events, gets_work):
    state, _ = apply_events(make_state(), events)
    now_ms = events[-1][0] if events else 0.0
    assert (choose(state, now_ms) == "t") is gets_work


@pytest.mark.parametrize(
    ("events", "effect"),
    [
        ([(1.0, ANSWERED), (9.0, PROBE_DRAINING)], OpenConnections("t", 0)),
        ([(1.0, PROBE_DRAINING), (9000.0, ANSWERED)], OpenConnections("t", 2)),
        # Attempts that wait for a connection would be sent to a draining target when one is free.
        ([(1.0, ANSWERED), (9.0, PROBE_DRAINING)], ReturnUnsent("t")),
        ([(1.0, ANSWERED), (9.0, LEAVING)], ReturnUnsent("t")),
        ([(1.0, ANSWERED), (9.0, REFUSED), (10.0, LEAVING)], ReturnUnsent("t")),
        ([(1.0, ANSWERED), (9.0, CLOSED)], ProbeTarget("t")),
        ([(1.0, ANSWERED), (2.0, LISTED), (9.0, OTHER_LISTED)], ProbeTarget("t")),
        # A lost target is probed every 500 ms, and a live one without replies every 5 s.
        ([(1.0, REFUSED), (501.0, TimerFired("targets/probe"))], ProbeTarget("t")),
        ([(1.0, ANSWERED), (5001.0, TimerFired("targets/probe"))], ProbeTarget("t")),
    ],
)
def test_evidence_and_timers_probe_targets_and_change_connections(events, effect):
    _, effects = apply_events(make_state(), events)
    assert effect in effects


def test_a_live_target_with_recent_evidence_is_not_probed():
    _, effects = apply_events(make_state(), [(1.0, ANSWERED), (501.0, TimerFired("targets/probe"))])
    assert ProbeTarget("t") not in effects


@pytest.mark.parametrize(
    ("events", "served"),
    [
        ([(1.0, ANSWERED)], True),
        # The reply of a target takes precedence over its health endpoint, which lags up to 5 s.
        ([(1.0, ANSWERED), (2.0, AttemptEnded("a", "t", Draining(), (SnapshotId(1, 9),)))], False),
        (
            [
                (1.0, AttemptEnded("a", "t", NotSent(""), (SnapshotId(1, 9),))),
                (2.0, ANSWERED),
            ],
            False,
        ),
        (
            [
                (1.0, AttemptEnded("a", "t", NotSent(""), (SnapshotId(1, 9),))),
                (9000.0, ANSWERED),
            ],
            True,
        ),
    ],
)
def test_replies_and_probes_determine_the_served_snapshots(events, served):
    state, _ = apply_events(make_state(), events)
    assert (SNAPSHOT in state.records["t"].snapshots) is served
