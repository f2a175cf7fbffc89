"""What holds for every order of events."""

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
from savoryarch.search.tests.driver import NEW, OLD, Driver, declare

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
        "whole",
        "whole",
        "whole",
        "other",
        "cut",
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
served = st.sets(st.sampled_from(SNAPSHOTS)).map(tuple)
requests = st.sampled_from([f"r{number}" for number in range(6)])
events = st.one_of(
    st.tuples(st.just("ask"), requests, st.sampled_from([None, 40.0, 200.0])),
    st.tuples(st.just("ask"), requests, st.sampled_from([None, 40.0, 200.0])),
    st.tuples(st.just("gone"), requests),
    st.tuples(
        st.just("sign"), st.sampled_from(TARGETS), st.sampled_from(list(TargetEvidence)), served
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


def label(send, snapshot) -> bytes:
    return f"{snapshot}/{send.target_id}/{send.attempt_id}".encode()


def make_script(draws):
    """Script: replies and delays from the draws, in turn; records say where they come from."""

    def script(send, now_ms):
        kind, after_ms = draws[len(script.used) % len(draws)]
        script.used.append(kind)
        asked = send.request.snapshot
        match kind:
            case "whole":
                return after_ms, PartReturned(asked, label(send, asked), True)
            case "cut":
                return after_ms, PartReturned(asked, label(send, asked), False)
            case "other":
                other = SNAPSHOTS[(SNAPSHOTS.index(asked) + 1) % 3]
                return after_ms, PartReturned(other, label(send, other), True)
            case reply:
                return after_ms, reply

    script.used = []
    return script


def play(driver: Driver, steps) -> dict[str, str]:
    """Offer the events; returns what became of each request: asked or gone."""
    fate: dict[str, str] = {}
    for step in steps:
        match step:
            case ("ask", request_id, within_ms) if request_id not in fate:
                fate[request_id] = "asked"
                deadline_at_ms = None if within_ms is None else driver.now_ms + within_ms
                driver.ask(request_id, deadline_at_ms=deadline_at_ms)
            case ("gone", request_id) if request_id in fate:
                if request_id not in driver.answers:
                    fate[request_id] = "gone"
                driver.offer(CallerDisconnected(request_id))
            case ("sign", target_id, sign, snapshots):
                driver.offer(TargetEvidenceReceived(target_id, sign, snapshots))
            case ("wait", wait_ms):
                driver.run(until_ms=driver.now_ms + wait_ms)
            case ("stop",):
                driver.offer(RequestIntakeStopped())
        for target_id, in_flight in driver.in_flight().items():
            assert 0 <= in_flight <= driver.targets.records[target_id].slots
    driver.run(until_ms=driver.now_ms + 20_000.0)
    return fate


def check_answer(driver: Driver, request_id: str, outcome) -> None:
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
        assert driver.asked_for[attempt_id] == request_id


@settings(
    derandomize=True,
    max_examples=300,
    deadline=None,
    suppress_health_check=list(HealthCheck),
    database=None,
)
@given(
    st.lists(events, min_size=12, max_size=30),
    st.lists(st.tuples(replies, delays_ms), min_size=10, max_size=30),
    policies,
    st.sampled_from(list(Preference)),
    st.sampled_from([0.0, 0.5, 1.0]),
    st.sampled_from([SNAPSHOTS, (OLD, NEW)]),
    st.sampled_from([[], [], [], [("stop",)]]),
    st.sampled_from([None, AdmissionSettings(policy=FixedLimit(2.0))]),
)
def test_every_order_of_events(
    steps, draws, policy, prefer, minimum_coverage, probed, last, admission
):
    declarations = declare(
        shards=3, shard_maps=SHARD_MAPS, prefer=prefer, minimum_coverage=minimum_coverage
    )
    driver = Driver(declarations, make_script(draws), search=policy, admission=admission)
    driver.probe_snapshots = lambda target_id: probed
    fate = play(driver, [*steps, *last, ("ask", "last", None)])
    for request_id, became in fate.items():
        outcomes = driver.answers.get(request_id, [])
        assert len(outcomes) == (1 if became == "asked" else 0)
        for outcome in outcomes:
            check_answer(driver, request_id, outcome)
            if isinstance(outcome, Refused) and outcome.not_run:
                sent = [key for key, owner in driver.asked_for.items() if owner == request_id]
                assert all(driver.replied_not_run(attempt_id) for attempt_id in sent)
    assert not driver.search.queries
    assert not driver.search.attempts
    assert not driver.search.waiting
    assert set(driver.in_flight().values()) == {0}
