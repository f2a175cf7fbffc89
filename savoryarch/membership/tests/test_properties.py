"""What holds in any order of kills, restarts, freezes, cuts and lists."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from savoryarch.membership import MembershipSettings, decide_membership, make_membership_state
from savoryarch.model import (
    Ack,
    MemberStatus,
    MemberUpdate,
    PeerMessageReceived,
    Ping,
    Started,
    TimerFired,
)
from savoryarch_standins.virtual_peers import Conditions, VirtualPeers

COUNT = 5
IDS = [f"entry-{number}" for number in range(COUNT)]
ZONES = ("zone-a", "zone-b", "zone-c")
SETTLING_MS = 40_000.0
CHECKED = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    suppress_health_check=[HealthCheck.too_slow],
)

NUMBERS = st.integers(0, COUNT - 1)
CHAOS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "crash", "start", "freeze", "resume", "cut", "heal", "list"]),
        NUMBERS,
        NUMBERS,
        st.sampled_from([0.0, 300.0, 2500.0, 9000.0]),
    ),
    max_size=14,
)


def act(fleet, cuts, action, first, second):
    instance_id = IDS[first]
    match action:
        case "kill" | "crash":
            fleet.kill(instance_id, listed=action == "crash")
        case "start":
            fleet.start(instance_id, ZONES[first % 3], 7000 + first)
        case "freeze" if instance_id in fleet.running:
            fleet.freeze(instance_id)
        case "resume" if instance_id in fleet.frozen:
            fleet.resume(instance_id)
        case "cut":
            cuts.add((instance_id, IDS[second]))
        case "heal":
            cuts.clear()
        case "list":
            kind = ("fresh", "empty", "failed")[second % 3]
            fleet.conditions = Conditions(is_cut=fleet.conditions.is_cut, list_kind=kind)


@CHECKED
@given(CHAOS, st.integers(1, 1000))
def test_once_all_is_calm_the_live_are_seen_and_the_dead_are_not(chaos, seed):
    fleet = VirtualPeers(MembershipSettings(), seed)
    cuts = set()
    fleet.conditions = Conditions(is_cut=lambda one, other: (one, other) in cuts)
    for number, instance_id in enumerate(IDS):
        fleet.start(instance_id, ZONES[number % 3], 7000 + number)
    fleet.run(5000)
    for action, first, second, pause_ms in chaos:
        act(fleet, cuts, action, first, second)
        fleet.run(pause_ms)
    cuts.clear()
    fleet.conditions = Conditions()
    for instance_id in list(fleet.frozen):
        fleet.resume(instance_id)
    fleet.run(SETTLING_MS)
    running = set(fleet.running)
    for instance_id in running:
        assert fleet.live_seen_by(instance_id) == running - {instance_id}
    fleet.informed.clear()
    fleet.run(30_000)
    assert not fleet.informed


def statement(peer, incarnation, revision, status):
    return MemberUpdate(IDS[peer], "zone-a", "10.0.0.1", 7000 + peer, incarnation, revision, status)


STATEMENTS = st.builds(
    statement,
    NUMBERS,
    st.integers(0, 4),
    st.integers(0, 3),
    st.sampled_from(MemberStatus),
)
EVENTS = st.one_of(
    st.builds(
        lambda kind, sender, updates: PeerMessageReceived(
            sender.instance_id, kind(1, sender, tuple(updates))
        ),
        st.sampled_from([Ping, Ack]),
        st.builds(
            statement, NUMBERS, st.integers(1, 4), st.integers(0, 3), st.just(MemberStatus.LIVE)
        ),
        st.lists(STATEMENTS, max_size=4),
    ),
    st.just(TimerFired("membership/tick")),
)


@CHECKED
@given(st.lists(EVENTS, max_size=30))
def test_an_older_statement_never_overrides_a_newer_one(events):
    state = make_membership_state(MembershipSettings(), "10.0.0.1", 7000)
    state = decide_membership(state, Started(IDS[0], "zone-a", 3), 0.0).state
    now_ms = 0.0
    for event in events:
        now_ms += 400.0
        before, state = state, decide_membership(state, event, now_ms).state
        assert version(state.me) >= version(before.me)
        for instance_id, member in before.members.items():
            if instance_id in state.members:
                assert version(state.members[instance_id].update) >= version(member.update)


def version(update):
    return update.incarnation, update.revision
