"""Invariants of searches that hold in any order of events.

Each accepted request gets one answer unless its caller disconnects, from one snapshot and with its
actual coverage. No target has run a request whose refusal says that it was not run. Targets never
have more attempts in flight than slots, and every slot is released.
"""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from savoryarch.admission import AdmissionSettings, FixedLimit
from savoryarch.model import (
    CallerDisconnected,
    ConnectionLost,
    DeadlinePassed,
    Draining,
    MalformedReply,
    NotSent,
    PartReturned,
    Preference,
    Refused,
    RequestIntakeStopped,
    ShardMap,
    Shed,
    SnapshotId,
    SnapshotNotServed,
    TargetEvidence,
    TargetEvidenceReceived,
    TargetFailed,
    TimedOut,
)
from savoryarch.search import FixedDelayHedging, QuantileHedging, SearchSettings
from savoryarch.search.tests.driver import NEW, OLD, Driver, make_declarations

SPLIT = SnapshotId(2, 1)  # shard 1 is split into shards 1 and 2
SHARD_MAPS = (
    ShardMap(1, ("balcao-00", "balcao-01")),
    ShardMap(2, ("balcao-00", "balcao-01", "balcao-02")),
)
SHARDS = {1: 2, 2: 3}
SNAPSHOTS = (OLD, NEW, SPLIT)
TARGETS = [f"balcao-{shard:02}-{zone}" for shard in range(3) for zone in "abc"]

replies = st.sampled_from(
    [
        "complete",
        "complete",
        "complete",
        "other_snapshot",
        "incomplete",
        SnapshotNotServed(),
        Shed(20.0),
        Shed(None),
        Draining(),
        DeadlinePassed(True),
        DeadlinePassed(False),
        NotSent("refused"),
        ConnectionLost("reset"),
        TimedOut(),
        MalformedReply("x"),
        TargetFailed(500, "x"),
    ]
)
delays_ms = st.sampled_from([0.5, 5.0, 5.0, 30.0, 120.0, 400.0, 5000.0])
served_snapshots = st.sets(st.sampled_from(SNAPSHOTS)).map(tuple)
request_ids = st.sampled_from([f"r{number}" for number in range(6)])
steps_of_test = st.one_of(
    st.tuples(st.just("request"), request_ids, st.sampled_from([None, 40.0, 200.0])),
    st.tuples(st.just("request"), request_ids, st.sampled_from([None, 40.0, 200.0])),
    st.tuples(st.just("disconnect"), request_ids),
    st.tuples(
        st.just("evidence"),
        st.sampled_from(TARGETS),
        st.sampled_from(list(TargetEvidence)),
        served_snapshots,
    ),
    st.tuples(st.just("wait"), st.sampled_from([0.0, 3.0, 20.0, 150.0, 6000.0])),
)
policies = st.sampled_from(
    [
        SearchSettings(),
        SearchSettings(hedging=FixedDelayHedging(4.0)),
        SearchSettings(hedging=QuantileHedging(first_delay_ms=10.0)),
    ]
)


def make_records(send, snapshot) -> bytes:
    """Return records that name the snapshot, target and attempt that they come from."""
    return f"{snapshot}/{send.target_id}/{send.attempt_id}".encode()


def make_script(draws):
    """Return a script that cycles through the drawn replies and delays."""

    def script(send, now_ms):
        kind, after_ms = draws[len(script.used) % len(draws)]
        script.used.append(kind)
        requested = send.request.snapshot
        match kind:
            case "complete":
                return after_ms, PartReturned(requested, make_records(send, requested), True)
            case "incomplete":
                return after_ms, PartReturned(requested, make_records(send, requested), False)
            case "other_snapshot":
                other = SNAPSHOTS[(SNAPSHOTS.index(requested) + 1) % 3]
                return after_ms, PartReturned(other, make_records(send, other), True)
            case reply:
                return after_ms, reply

    script.used = []
    return script


def apply_steps(driver: Driver, steps) -> dict[str, str]:
    """Apply the steps; return ``answer_due`` or ``disconnected`` for each request id."""
    expectations: dict[str, str] = {}
    for step in steps:
        match step:
            case ("request", request_id, within_ms) if request_id not in expectations:
                expectations[request_id] = "answer_due"
                deadline_at_ms = None if within_ms is None else driver.now_ms + within_ms
                driver.request_search(request_id, deadline_at_ms=deadline_at_ms)
            case ("disconnect", request_id) if request_id in expectations:
                if request_id not in driver.answers:
                    expectations[request_id] = "disconnected"
                driver.apply_event(CallerDisconnected(request_id))
            case ("evidence", target_id, evidence, snapshots):
                driver.apply_event(TargetEvidenceReceived(target_id, evidence, snapshots))
            case ("wait", wait_ms):
                driver.run(until_ms=driver.now_ms + wait_ms)
            case ("stop",):
                driver.apply_event(RequestIntakeStopped())
        for target_id, in_flight in driver.in_flight().items():
            assert 0 <= in_flight <= driver.targets.records[target_id].slots
    driver.run(until_ms=driver.now_ms + 20_000.0)
    return expectations


def check_answer(driver: Driver, request_id: str, outcome) -> None:
    """Check that an answer has its actual coverage, and parts of its own snapshot and attempts."""
    if isinstance(outcome, Refused):
        return
    coverage = outcome.coverage
    answered = [part.service for part in outcome.parts]
    left_out = [item.service for item in coverage.left_out]
    assert coverage.asked == SHARDS[outcome.snapshot.shard_map]
    assert coverage.answered == len(answered) == len(set(answered))
    assert len(answered) + len(left_out) == coverage.asked
    assert not set(answered) & set(left_out)
    for part in outcome.parts:
        snapshot, target_id, attempt_id = part.records.decode().split("/", 2)
        assert snapshot == str(outcome.snapshot)
        assert target_id.startswith(part.service)
        assert driver.request_ids[attempt_id] == request_id


@settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    database=None,
)
@given(
    st.lists(steps_of_test, min_size=12, max_size=30),
    st.lists(st.tuples(replies, delays_ms), min_size=10, max_size=30),
    policies,
    st.sampled_from(list(Preference)),
    st.sampled_from([0.0, 0.5, 1.0]),
    st.sampled_from([SNAPSHOTS, (OLD, NEW)]),
    st.sampled_from([[], [], [], [("stop",)]]),
    st.sampled_from([None, AdmissionSettings(policy=FixedLimit(2.0))]),
)
def test_invariants_hold_in_any_order_of_events(
    steps, draws, policy, prefer, minimum_coverage, probed, last, admission
):
    declarations = make_declarations(
        shards=3, shard_maps=SHARD_MAPS, prefer=prefer, minimum_coverage=minimum_coverage
    )
    driver = Driver(declarations, make_script(draws), search=policy, admission=admission)
    driver.probe_snapshots = lambda target_id: probed
    expectations = apply_steps(driver, [*steps, *last, ("request", "last", None)])
    for request_id, expectation in expectations.items():
        outcomes = driver.answers.get(request_id, [])
        assert len(outcomes) == (1 if expectation == "answer_due" else 0)
        for outcome in outcomes:
            check_answer(driver, request_id, outcome)
            if isinstance(outcome, Refused) and outcome.not_run:
                sent = [key for key, owner in driver.request_ids.items() if owner == request_id]
                assert all(driver.is_known_not_run(attempt_id) for attempt_id in sent)
    assert not driver.search.queries
    assert not driver.search.attempts
    assert not driver.search.waiting
    assert set(driver.in_flight().values()) == {0}
