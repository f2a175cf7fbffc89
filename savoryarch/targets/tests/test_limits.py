"""Guards against instances that use more of a target than their share.

Targets shed, pause, slow down or return after an outage, and may report any load. Connection limits
are shared by a number of instances that changes.
"""

import math

import pytest

from savoryarch.model import (
    AttemptEnded,
    InstanceRole,
    InstancesListed,
    LimitConnections,
    ListedInstance,
    ListedState,
    PartReturned,
    Shed,
    TargetEvidence,
    TargetEvidenceReceived,
)
from savoryarch.targets import (
    LeastExpectedLatency,
    RoundRobin,
    TargetsSettings,
    connection_share,
    decide_targets,
    end_attempt,
    in_flight_limit,
    ready_connections,
    record_overdue,
    start_attempt,
)
from savoryarch.targets.tests.test_evidence import (
    ANSWERED,
    PROBE_DRAINING,
    REFUSED,
    SNAPSHOT,
    apply_event,
    apply_events,
    choose,
    make_state,
)

RETURNED = PartReturned(SNAPSHOT, b"[]", True)


def live_state(**fields):
    return apply_event(make_state(**fields), ANSWERED, 1.0)[0]


def run_attempts(state, replies, load=None, latency_ms=5.0, start_ms=10.0):
    """Start attempts as long as there is capacity, and end one by each of the replies."""
    now_ms = start_ms
    for reply in replies:
        while choose(state, now_ms) is not None:
            state = start_attempt(state, "t", now_ms)
        now_ms += latency_ms
        if state.usages["t"].in_flight:
            ended = AttemptEnded("a", "t", reply, (SNAPSHOT,), load)
            state = end_attempt(state, ended, latency_ms, now_ms)
        assert state.usages["t"].in_flight <= state.records["t"].slots
    return state


@pytest.mark.parametrize(
    ("connection_limit", "entry_instances", "surge_instances", "listed", "share"),
    [
        (25, 4, 1, 1, 5),
        (110, 4, 1, 1, 22),
        (40, 4, 1, 1, 8),
        (25, 4, 0, 1, 6),
        (25, 740, 1, 1, 0),
        (25, 25, 0, 1, 1),
        (25, 4, 1, 5, 5),
        (76, 4, 1, 35, 2),
        (72, 4, 1, 36, 2),
        (72, 4, 1, 73, 0),
    ],
)
def test_connection_shares_stay_within_the_limit(
    connection_limit, entry_instances, surge_instances, listed, share
):
    settings = TargetsSettings(
        "zone-a", entry_instances=entry_instances, surge_instances=surge_instances
    )
    assert connection_share(connection_limit, settings, listed) == share
    assert share * max(entry_instances + surge_instances, listed) <= connection_limit


@pytest.mark.parametrize(
    ("share", "configured", "ready"),
    [(0, 2, 0), (1, 2, 0), (2, 2, 1), (3, 2, 1), (4, 2, 2), (22, 2, 2), (22, 0, 0), (5, 9, 2)],
)
def test_at_most_half_of_a_share_is_opened_in_advance(share, configured, ready):
    settings = TargetsSettings("zone-a", ready_connections=configured)
    assert ready_connections(share, settings) == ready


@pytest.mark.parametrize(
    ("counts", "limited"),
    [([4], []), ([5], []), ([10], [5]), ([10, 4], [5]), ([4, 10, 25], [5, 2]), ([51], [0])],
)
def test_connection_limits_follow_the_largest_instance_list(counts, limited):
    # A shorter list must not raise the limits: omitted instances may still use their shares.
    state = live_state(connection_limit=50)
    effects = []
    for count in counts:
        rows = [
            ListedInstance(
                f"entry-{number}", InstanceRole.ENTRY, "zone-a", "127.0.0.1", 1, ListedState.LIVE
            )
            for number in range(count)
        ]
        decided = decide_targets(state, InstancesListed(tuple(rows)), 1000.0)
        state = decided.state
        effects += decided.effects
    assert effects == [LimitConnections("t", limit) for limit in limited]


@pytest.mark.parametrize(
    ("slots", "connection_limit", "limit_after"),
    [(2, 25, 2), (5, 40, 5), (4, 110, 4), (5, 15, 2), (5, 10, 1), (5, 5, 1), (5, 4, 0)],
)
def test_the_limit_grows_up_to_slots_and_connections(slots, connection_limit, limit_after):
    state = live_state(slots=slots, connection_limit=connection_limit)
    state = run_attempts(state, [RETURNED] * 40)
    assert in_flight_limit(state.records["t"], state.usages["t"], 1000.0) == limit_after


@pytest.mark.parametrize("load", [None, 0.0, 1.0, -1.0, 99.0, math.nan, math.inf])
@pytest.mark.parametrize(
    ("replies", "limit_after"), [([RETURNED] * 40, 4), ([RETURNED] * 40 + [Shed(5.0)] * 3, 1)]
)
def test_the_reported_load_has_no_effect(load, replies, limit_after):
    state = run_attempts(live_state(slots=4), replies, load)
    assert in_flight_limit(state.records["t"], state.usages["t"], 10_000.0) == limit_after


@pytest.mark.parametrize(
    ("retry_after_ms", "paused_ms"), [(None, 20.0), (50.0, 50.0), (0.0, 0.0), (-9.0, 0.0)]
)
def test_a_shed_pauses_the_target(retry_after_ms, paused_ms):
    state = start_attempt(live_state(), "t", 10.0)
    state = end_attempt(state, AttemptEnded("a", "t", Shed(retry_after_ms)), 1.0, 11.0)
    assert choose(state, 11.0 + paused_ms) == "t"
    assert paused_ms == 0.0 or choose(state, 10.9 + paused_ms) is None


@pytest.mark.parametrize(
    "events",
    [
        [(10_000.0, REFUSED), (10_100.0, ANSWERED)],
        [(10_000.0, PROBE_DRAINING), (16_000.0, ANSWERED)],
    ],
)
def test_a_target_that_returns_warms_up_with_one_request_at_a_time(events):
    state = run_attempts(live_state(slots=4), [RETURNED] * 40)
    while state.usages["t"].in_flight:
        state = end_attempt(state, AttemptEnded("a", "t", RETURNED), 5.0, 300.0)
    state, _ = apply_events(state, events)
    now_ms = events[-1][0] + 1.0
    state = start_attempt(state, choose(state, now_ms), now_ms)
    assert choose(state, now_ms) is None
    state = run_attempts(state, [RETURNED] * 20, start_ms=now_ms)
    assert in_flight_limit(state.records["t"], state.usages["t"], now_ms + 200.0) == 1
    assert in_flight_limit(state.records["t"], state.usages["t"], now_ms + 2000.0) > 1


def complete_attempts(state, target_id, latency_ms, count=30, now_ms=100.0):
    """Start attempts and end them by replies, so that the latency of the target is known."""
    for _ in range(count):
        state = start_attempt(state, target_id, now_ms - latency_ms)
        ended = AttemptEnded("a", target_id, RETURNED, (SNAPSHOT,))
        state = end_attempt(state, ended, latency_ms, now_ms)
    return state


@pytest.mark.parametrize(
    ("choice", "overdue", "after_ms", "expected"),
    [
        (LeastExpectedLatency(), 0, 1.0, "t"),
        (LeastExpectedLatency(), 1, 1.0, "t"),  # a single overdue attempt is usual
        (LeastExpectedLatency(), 2, 1.0, "u"),
        (LeastExpectedLatency(), 5, 3000.0, "u"),
        (LeastExpectedLatency(), 5, 9000.0, "t"),  # the penalty has decayed
        (RoundRobin(), 5, 1.0, "t"),
    ],
)
def test_new_work_is_steered_away_from_a_slow_target(choice, overdue, after_ms, expected):
    state = make_state(targets=("t", "u"), choice=choice)
    for target_id in ("t", "u"):
        live = TargetEvidenceReceived(target_id, TargetEvidence.PROBE_ANSWERED, (SNAPSHOT,))
        state = complete_attempts(apply_event(state, live, 1.0)[0], target_id, 5.0, now_ms=100.0)
    # Target `u` was used last, so that `t` is chosen at equal cost.
    state = end_attempt(start_attempt(state, "u", 101.0), AttemptEnded("a", "u", RETURNED), 5, 102)
    for _ in range(overdue):
        state = record_overdue(state, "t", 8.0, 110.0)
    assert choose(state, 110.0 + after_ms) == expected
