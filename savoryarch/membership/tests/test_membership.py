"""Membership of four to twenty instances, in virtual time."""

import pytest

from savoryarch.membership import (
    MembershipSettings,
    neighbours_on_ring,
    peer_statuses,
    reachable_peer_ids,
)
from savoryarch.model import (
    ComponentDigest,
    DigestChanged,
    LeavingAnnounced,
    PeerDigestChanged,
    PeerRestarted,
    UnreachableZonesChanged,
)
from savoryarch_standins.virtual_peers import Conditions, VirtualPeers

SETTINGS = MembershipSettings()
ZONES = ("zone-a", "zone-a", "zone-b", "zone-c")
CALM_MS = 10_000.0
DETECTION_MS = 8000.0


def name(number):
    return f"entry-{number}"


def start_fleet(count=4, seed=1, **conditions):
    fleet = VirtualPeers(SETTINGS, seed)
    fleet.conditions = Conditions(**{"list_lag_ms": 0.0, **conditions})
    for number in range(count):
        fleet.start(name(number), ZONES[number % len(ZONES)], 7000 + number)
    fleet.run(CALM_MS)
    return fleet


def sees(fleet, observer, *numbers):
    return fleet.live_seen_by(name(observer)) == {name(number) for number in numbers}


def everyone_sees_each_other(fleet, ids=None):
    ids = set(ids or fleet.running)
    return all(fleet.live_seen_by(instance_id) == ids - {instance_id} for instance_id in ids)


@pytest.mark.parametrize("count", [1, 2, 4, 20])
@pytest.mark.parametrize("loss_share", [0.0, 0.05])
def test_all_see_each_other_and_stay(count, loss_share):
    fleet = start_fleet(count, loss_share=loss_share)
    assert everyone_sees_each_other(fleet)
    fleet.informed.clear()
    fleet.run(120_000)
    assert everyone_sees_each_other(fleet)
    assert not [event for _, _, event in fleet.informed]


@pytest.mark.parametrize("count", [2, 4, 20])
@pytest.mark.parametrize("list_kind", ["fresh", "empty", "failed"])
def test_a_killed_instance_is_dropped_whatever_the_list_says(count, list_kind):
    fleet = start_fleet(count)
    fleet.conditions = Conditions(list_kind=list_kind)
    fleet.kill(name(1), listed=True)
    assert fleet.run(DETECTION_MS, lambda: everyone_sees_each_other(fleet))
    fleet.run(60_000)
    assert everyone_sees_each_other(fleet)


@pytest.mark.parametrize(
    ("conditions", "duration_ms"),
    [
        ({"list_kind": "empty"}, 60_000),
        ({"list_kind": "failed"}, 60_000),
        ({"list_lag_ms": 1e9}, 60_000),
    ],
)
def test_a_list_that_is_empty_failed_or_stale_never_empties_the_view(conditions, duration_ms):
    fleet = start_fleet()
    fleet.conditions = Conditions(**conditions)
    fleet.informed.clear()
    fleet.run(duration_ms)
    assert everyone_sees_each_other(fleet)
    assert not fleet.informed


@pytest.mark.parametrize("frozen_ms", [700, 1500, 8000, 60_000])
def test_a_frozen_instance_returns_and_blames_nobody(frozen_ms):
    fleet = start_fleet()
    fleet.freeze(name(1))
    fleet.run(frozen_ms)
    assert sees(fleet, 0, 1, 2, 3) == (frozen_ms < DETECTION_MS)
    fleet.resume(name(1))
    fleet.run(1.0)
    assert sees(fleet, 1, 0, 2, 3)
    assert fleet.run(10_000, lambda: everyone_sees_each_other(fleet))
    fleet.informed.clear()
    fleet.run(20_000)
    assert not fleet.informed


def cut(pairs):
    return lambda sender_id, receiver_id: (sender_id, receiver_id) in {
        (name(sender), name(receiver)) for sender, receiver in pairs
    }


@pytest.mark.parametrize("pairs", [{(0, 1)}, {(1, 0)}, {(0, 1), (1, 0)}])
def test_a_cut_between_two_instances_drops_neither(pairs):
    fleet = start_fleet()
    fleet.conditions = Conditions(is_cut=cut(pairs))
    fleet.informed.clear()
    fleet.run(60_000)
    assert everyone_sees_each_other(fleet)
    assert not fleet.informed
    for observer, peer in [(0, 1), (1, 0)]:
        answering = reachable_peer_ids(fleet.running[name(observer)].state)
        assert name(peer) not in answering
        assert len(answering) == 2


def zone_cut(fleet, zone):
    def is_cut(sender_id, receiver_id):
        zones = [fleet.running[peer].availability_zone for peer in (sender_id, receiver_id)]
        return (zones[0] == zone) != (zones[1] == zone)

    return is_cut


def last_said(fleet):
    return {
        peer: event.unreachable
        for _, peer, event in fleet.informed
        if isinstance(event, UnreachableZonesChanged)
    }


@pytest.mark.parametrize("count", [4, 20])
@pytest.mark.parametrize("zone", ["zone-a", "zone-c"])
def test_a_zone_cut_off_goes_on_says_so_and_returns(count, zone):
    fleet = start_fleet(count)
    inside = {key for key, peer in fleet.running.items() if peer.availability_zone == zone}
    outside = set(fleet.running) - inside
    fleet.conditions = Conditions(is_cut=zone_cut(fleet, zone))
    fleet.run(30_000)
    assert everyone_sees_each_other(fleet, inside)
    assert everyone_sees_each_other(fleet, outside)
    others = tuple(sorted(set(ZONES) - {zone}))
    said = last_said(fleet)
    assert {peer: said[peer] for peer in outside} == dict.fromkeys(outside, (zone,))
    assert {peer: said[peer] for peer in inside} == dict.fromkeys(inside, others)
    fleet.informed.clear()
    fleet.conditions = Conditions()
    assert fleet.run(60_000, lambda: everyone_sees_each_other(fleet))
    fleet.run(1000)
    assert last_said(fleet) == dict.fromkeys(fleet.running, ())


def test_a_crashed_instance_that_the_list_drops_is_no_unreachable_zone():
    fleet = start_fleet()
    fleet.kill(name(3))
    fleet.run(60_000)
    assert not [
        event for _, _, event in fleet.informed if isinstance(event, UnreachableZonesChanged)
    ]


@pytest.mark.parametrize("list_lag_ms", [0.0, 10_000.0])
def test_a_restart_at_the_same_address_is_noticed_at_once(list_lag_ms):
    fleet = start_fleet()
    fleet.conditions = Conditions(list_lag_ms=list_lag_ms)
    fleet.start(name(1), "zone-a", 7001)
    assert fleet.run(3000, lambda: everyone_sees_each_other(fleet))
    fleet.run(5000)
    told = {peer for _, peer, event in fleet.informed if isinstance(event, PeerRestarted)}
    assert told == {name(0), name(2), name(3)}


def test_another_instance_at_the_same_address_replaces_the_earlier_one():
    fleet = start_fleet()
    fleet.conditions = Conditions(list_lag_ms=60_000.0)
    fleet.kill(name(1))
    fleet.start("entry-9", "zone-a", 7001)
    assert fleet.run(3000, lambda: everyone_sees_each_other(fleet))
    fleet.run(90_000)
    assert everyone_sees_each_other(fleet)


def test_an_old_incarnation_that_is_resumed_overrides_nothing():
    fleet = start_fleet()
    old = fleet.running[name(1)]
    fleet.start(name(1), "zone-b", 7101)
    fleet.run(CALM_MS)
    newer = fleet.running[name(1)]
    fleet.running[name(1)] = old
    fleet.run(3000)
    for observer in (0, 2, 3):
        member = fleet.running[name(observer)].state.members[name(1)]
        assert member.update.incarnation == newer.incarnation
        assert member.update.port == 7101


@pytest.mark.parametrize("count", [4, 20])
def test_a_leaving_instance_is_no_live_peer_within_a_second(count):
    fleet = start_fleet(count)
    fleet.feed(name(1), LeavingAnnounced())
    rest = set(fleet.running) - {name(1)}
    assert fleet.run(
        1000 if count == 4 else 3000,
        lambda: all(fleet.live_seen_by(peer) == rest - {peer} for peer in rest),
    )
    assert fleet.live_seen_by(name(1)) == rest
    fleet.run(10_000)
    fleet.kill(name(1))
    fleet.run(20_000)
    assert all(fleet.live_seen_by(peer) == rest - {peer} for peer in rest)


@pytest.mark.parametrize("state", ["leaving", "live"])
def test_the_list_says_that_a_peer_leaves(state):
    fleet = start_fleet()
    fleet.list_row(name(1), "zone-a", "10.0.0.1", 7001, "leaving")
    fleet.run(5000)
    assert sees(fleet, 0, 2, 3)
    fleet.list_row(name(1), "zone-a", "10.0.0.1", 7001, state)
    fleet.run(5000)
    assert sees(fleet, 0, 1, 2, 3) == (state == "live")


def test_digests_ride_on_heartbeats():
    fleet = start_fleet()
    digest = ComponentDigest("configuration", 7, "abc")
    fleet.feed(name(1), DigestChanged(digest))
    fleet.run(3000)
    told = [
        (peer, event) for _, peer, event in fleet.informed if isinstance(event, PeerDigestChanged)
    ]
    assert sorted(told) == [(name(n), PeerDigestChanged(name(1), digest)) for n in (0, 2, 3)]


def test_status_says_when_a_peer_was_last_heard_from():
    fleet = start_fleet()
    fleet.freeze(name(1))
    fleet.run(30_000)
    statuses = {
        status.instance_id: status
        for status in peer_statuses(fleet.running[name(0)].state, fleet.now_ms)
    }
    assert statuses[name(1)].state == "dead"
    assert 28_000 < statuses[name(1)].heard_before_ms < 35_000
    assert statuses[name(2)].heard_before_ms < 5000


@pytest.mark.parametrize(("count", "expected"), [(1, 0), (4, 3), (11, 10), (64, 6), (740, 10)])
def test_each_instance_is_probed_by_as_many_as_it_probes(count, expected):
    ids = [name(number) for number in range(count)]
    probed = [peer for instance_id in ids for peer in neighbours_on_ring(instance_id, ids)]
    assert {probed.count(instance_id) for instance_id in ids} == {expected}


@pytest.mark.parametrize("missed", ["death", "start"])
def test_a_view_that_missed_the_news_is_repaired(missed):
    fleet = start_fleet(20)
    observer = fleet.running[name(0)]
    if missed == "death":
        stranger = next(
            peer
            for peer in sorted(observer.state.live_ids)
            if peer not in observer.state.neighbours
        )
        fleet.conditions = Conditions(list_kind="failed")
        fleet.kill(stranger)
    else:
        fleet.start(name(99), "zone-a", 7099, listed=False)
    fleet.run(CALM_MS)
    fleet.running[name(0)] = observer
    assert not everyone_sees_each_other(fleet)
    assert fleet.run(30_000, lambda: everyone_sees_each_other(fleet))


def test_a_pause_ends_no_suspicion():
    fleet = start_fleet()
    fleet.conditions = Conditions(is_cut=lambda sender_id, receiver_id: receiver_id == name(1))
    assert fleet.run(CALM_MS, lambda: name(1) in fleet.running[name(0)].state.suspected_ids)
    fleet.freeze(name(0))
    fleet.conditions = Conditions()
    fleet.run(30_000)
    fleet.counts.clear()
    fleet.resume(name(0))
    fleet.run(10_000)
    assert fleet.counts[("membership", "dead")] == 0
    assert everyone_sees_each_other(fleet)
