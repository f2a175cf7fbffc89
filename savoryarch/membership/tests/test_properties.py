"""Properties that hold for any order of kills, restarts, freezes, link failures and lists."""

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
from savoryarch_standins.virtual_peers import NetworkConditions, VirtualPeers

COUNT = 5
IDS = [f"entry-{number}" for number in range(COUNT)]
ZONES = ("zone-a", "zone-b", "zone-c")
CONVERGENCE_MS = 40_000.0
PROPERTY_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=25,
    suppress_health_check=[HealthCheck.too_slow],
)

NUMBERS = st.integers(0, COUNT - 1)
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "crash", "start", "freeze", "resume", "cut", "heal", "list"]),
        NUMBERS,
        NUMBERS,
        st.sampled_from([0.0, 300.0, 2500.0, 9000.0]),
    ),
    max_size=14,
)


def apply_fault(fleet, cuts, action, first, second):
    instance_id = IDS[first]
    match action:
        case "kill" | "crash":
            fleet.kill(instance_id, listed=action == "crash")
        case "start":
            fleet.start(instance_id, ZONES[first % 3], 7000 + first)
        case "freeze" if instance_id in fleet.running_instances:
            fleet.freeze(instance_id)
        case "resume" if instance_id in fleet.frozen_ids:
            fleet.resume(instance_id)
        case "cut":
            cuts.add((instance_id, IDS[second]))
        case "heal":
            cuts.clear()
        case "list":
            kind = ("fresh", "empty", "failed")[second % 3]
            fleet.conditions = NetworkConditions(
                is_cut=fleet.conditions.is_cut, list_condition=kind
            )


@PROPERTY_SETTINGS
@given(FAULTS, st.integers(1, 1000))
def test_views_converge_after_faults_end(faults, seed):
    fleet = VirtualPeers(MembershipSettings(), seed)
    cuts = set()
    fleet.conditions = NetworkConditions(is_cut=lambda one, other: (one, other) in cuts)
    for number, instance_id in enumerate(IDS):
        fleet.start(instance_id, ZONES[number % 3], 7000 + number)
    fleet.run(5000)
    for action, first, second, pause_ms in faults:
        apply_fault(fleet, cuts, action, first, second)
        fleet.run(pause_ms)
    cuts.clear()
    fleet.conditions = NetworkConditions()
    for instance_id in list(fleet.frozen_ids):
        fleet.resume(instance_id)
    fleet.run(CONVERGENCE_MS)
    running = set(fleet.running_instances)
    for instance_id in running:
        assert fleet.live_peer_ids(instance_id) == running - {instance_id}
    fleet.published_events.clear()
    fleet.run(30_000)
    assert not fleet.published_events


def make_update(peer, incarnation, revision, status):
    return MemberUpdate(IDS[peer], "zone-a", "10.0.0.1", 7000 + peer, incarnation, revision, status)


UPDATES_FROM_PEERS = st.builds(
    make_update,
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
            make_update, NUMBERS, st.integers(1, 4), st.integers(0, 3), st.just(MemberStatus.LIVE)
        ),
        st.lists(UPDATES_FROM_PEERS, max_size=4),
    ),
    st.just(TimerFired("membership/tick")),
)


@PROPERTY_SETTINGS
@given(st.lists(EVENTS, max_size=30))
def test_older_update_never_overrides_newer_one(events):
    state = make_membership_state(MembershipSettings(), "10.0.0.1", 7000)
    state = decide_membership(state, Started(IDS[0], "zone-a", 3), 0.0).state
    now_ms = 0.0
    for event in events:
        now_ms += 400.0
        before, state = state, decide_membership(state, event, now_ms).state
        assert version(state.own_update) >= version(before.own_update)
        for instance_id, member in before.members.items():
            if instance_id in state.members:
                assert version(state.members[instance_id].update) >= version(member.update)


def version(update):
    return update.incarnation, update.revision
