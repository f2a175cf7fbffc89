"""What a target states about itself in a reply is obeyed by everything that sends to it.

Guards against requests and probes for a target that said that it leaves, or that it wants none for
a time: these are refused, and cost the target work and callers their time.
"""

import pytest
from immutables import Map

from savoryarch.model import (
    AttemptEnded,
    BroadcastToPeers,
    Declarations,
    DeclarationsInForce,
    LimitConnections,
    MalformedReply,
    PeerMessageReceived,
    ProbeTarget,
    ReturnUnsent,
    Service,
    Shed,
    Target,
    TargetAdvice,
    TargetAdvised,
    TargetEvidence,
    TargetEvidenceReceived,
    TargetFailed,
    TimerFired,
)
from savoryarch.targets import (
    TargetLeaving,
    TargetsSettings,
    choose_target,
    decide_targets,
    end_attempt,
    has_serving_target,
    make_targets_state,
    pause_ends_at_ms,
    start_attempt,
)
from savoryarch.targets._advice import MAX_REMEMBERED_LEAVING

LEAVES = TargetAdvice(leaving=True)


def advised(advice, target_id="a@1"):
    return TargetAdvised(target_id, advice)


def held(hold_ms):
    return advised(TargetAdvice(hold_ms=hold_ms))


def evidence(kind, target_id="a@1"):
    return TargetEvidenceReceived(target_id, kind)


def declared(*target_ids):
    targets = tuple(Target(name, "s", "zone-a", "127.0.0.1", 1) for name in target_ids)
    return DeclarationsInForce(
        Declarations(1, Map({"s": Service("s", "s", 4, 50, targets)} if targets else {}))
    )


def told_by_peer(target_id="a@1"):
    return PeerMessageReceived("entry-2", TargetLeaving(target_id))


PROBES_DUE = TimerFired("targets/probe")
CONNECTED = evidence(TargetEvidence.CONNECTED)
CLOSED = evidence(TargetEvidence.CONNECTION_CLOSED)
LISTED_LEAVING = evidence(TargetEvidence.LISTED_LEAVING)
REGISTERED = evidence(TargetEvidence.REGISTERED)
PROBE_ANSWERED = evidence(TargetEvidence.PROBE_ANSWERED)


def run(events, state=None):
    """Apply events at times in ms, and return the state and all effects."""
    state = state or make_targets_state(TargetsSettings("zone-a"))
    effects = []
    for now_ms, event in events:
        decided = decide_targets(state, event, now_ms)
        state = decided.state
        effects += decided.effects
    return state, effects


def choose(state, now_ms):
    return choose_target(state, "s", exclude=frozenset(), snapshot=None, now_ms=now_ms)


START = ((0.0, declared("a@1")), (1.0, CONNECTED))


@pytest.mark.parametrize(
    "later",
    [
        (),
        (CONNECTED,),
        (REGISTERED, CONNECTED, PROBE_ANSWERED),
        (CLOSED, CONNECTED, PROBE_ANSWERED),
        (LISTED_LEAVING, REGISTERED, PROBE_ANSWERED),
        (declared(), declared("a@1"), CONNECTED),
        (declared("a@1", "b@1"), CONNECTED),
        (PROBES_DUE, CONNECTED),
    ],
)
@pytest.mark.parametrize("source", [advised(LEAVES), told_by_peer()])
def test_a_start_that_leaves_gets_nothing_more_whatever_else_says(source, later):
    state, _ = run([*START, (10.0, source)])
    state, effects = run([(20.0 + 60_000.0 * n, event) for n, event in enumerate(later)], state)
    state, probes = run([(900_000.0, PROBES_DUE)], state)
    assert choose(state, 1_000_000.0) is None
    assert not has_serving_target(state, "s", frozenset(["b@1"]), None)
    assert ProbeTarget("a@1") not in [*effects, *probes]
    assert not any(
        isinstance(effect, LimitConnections) and effect.target_id == "a@1" and effect.count
        for effect in effects
    )


@pytest.mark.parametrize("source", [advised(LEAVES), told_by_peer()])
def test_a_later_start_under_the_same_name_is_used(source):
    state, _ = run([*START, (10.0, source), (20.0, declared("a@2"))])
    state, _ = run([(30.0, evidence(TargetEvidence.CONNECTED, "a@2"))], state)
    assert choose(state, 40.0) == "a@2"


def test_a_peer_that_hears_of_it_before_the_entry_of_the_store_remembers_it():
    state, _ = run([(0.0, told_by_peer()), (1.0, declared("a@1")), (2.0, CONNECTED)])
    assert choose(state, 10.0) is None


def test_peers_are_told_once_and_by_the_instance_that_got_the_reply():
    _, effects = run([*START, (10.0, advised(LEAVES)), (11.0, advised(LEAVES))])
    told = [effect.message for effect in effects if isinstance(effect, BroadcastToPeers)]
    assert told == [TargetLeaving("a@1")]
    _, effects = run([*START, (10.0, told_by_peer()), (11.0, advised(LEAVES))])
    assert not any(isinstance(effect, BroadcastToPeers) for effect in effects)


def test_what_is_under_way_ends_as_usual_and_unsent_attempts_are_returned():
    state, _ = run(START)
    state = start_attempt(state, "a@1", 5.0)
    state, effects = run([(10.0, advised(LEAVES))], state)
    assert ReturnUnsent("a@1") in effects
    assert LimitConnections("a@1", 0) in effects
    state = end_attempt(state, AttemptEnded("forwarding/1", "a@1", Shed()), 5.0, 11.0)
    assert state.usages["a@1"].in_flight == 0
    assert choose(state, 1000.0) is None


def test_the_memory_of_leaving_targets_is_bounded():
    state, _ = run([(0.0, told_by_peer("first@1")), (1.0, told_by_peer("second@1"))])
    leaving = state.leaving
    for number in range(MAX_REMEMBERED_LEAVING - 2):
        leaving = leaving.set(f"x{number}@1", 2.0)
    state = type(state)(state.settings, leaving=leaving)
    state, _ = run([(3.0, told_by_peer("last@1"))], state)
    assert len(state.leaving) == MAX_REMEMBERED_LEAVING
    assert "first@1" not in state.leaving and "second@1" in state.leaving


@pytest.mark.parametrize(
    ("hold_ms", "now_ms", "is_used"),
    [
        (2000.0, 10.0, False),
        (2000.0, 1000.0, False),
        (2000.0, 2009.0, False),
        (2000.0, 2010.0, True),
        (50.0, 70.0, True),
        (0.0, 10.0, True),
    ],
)
def test_a_target_gets_nothing_for_the_time_that_it_asked_for(hold_ms, now_ms, is_used):
    state, effects = run([*START, (10.0, held(hold_ms))])
    assert (choose(state, now_ms) is not None) == is_used
    assert (ReturnUnsent("a@1") in effects) == (hold_ms > 0.0)
    state, effects = run([(12.0, CLOSED), (now_ms + 0.1, PROBES_DUE)], state)
    assert (ProbeTarget("a@1") in effects) == is_used or now_ms <= 12.0


@pytest.mark.parametrize(
    ("holds", "ends_at_ms"),
    [([(10.0, 2000.0), (20.0, 100.0)], 2010.0), ([(10.0, 100.0), (20.0, 2000.0)], 2020.0)],
)
def test_the_longest_pause_counts(holds, ends_at_ms):
    state, _ = run([*START, *((at_ms, held(hold_ms)) for at_ms, hold_ms in holds)])
    assert pause_ends_at_ms(state, "s") == ends_at_ms
    assert has_serving_target(state, "s", frozenset(), None)
    assert not has_serving_target(state, "s", frozenset(), None, ends_at_ms - 1.0)


@pytest.mark.parametrize(
    ("advice", "reply", "counts_as_failure"),
    [
        (TargetAdvice(hold_ms=1000.0), Shed(), False),
        (None, Shed(), True),
        (None, MalformedReply("bytes without end"), True),
        (None, TargetFailed(500, "x"), True),
    ],
)
def test_a_pause_is_no_evidence_of_failure(advice, reply, counts_as_failure):
    state, _ = run(START)
    state = start_attempt(state, "a@1", 5.0)
    limit = state.usages["a@1"].limit
    if advice:
        state, _ = run([(10.0, advised(advice))], state)
    state = end_attempt(state, AttemptEnded("forwarding/1", "a@1", reply), 5.0, 10.0)
    usage = state.usages["a@1"]
    assert (usage.failure_share > 0.0) == counts_as_failure
    assert usage.in_flight == 0
    assert usage.limit == limit or counts_as_failure
