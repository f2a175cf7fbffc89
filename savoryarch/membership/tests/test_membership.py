"""Tests the membership of 1 to 20 instances in virtual time."""

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
from savoryarch_standins.virtual_peers import NetworkConditions, VirtualPeers

SETTINGS = MembershipSettings()
ZONES = ("zone-a", "zone-a", "zone-b", "zone-c")
STABLE_MS = 10_000.0
DETECTION_MS = 8000.0


def entry_id(number):
    return f"entry-{number}"


def start_fleet(count=4, seed=1, **conditions):
    fleet = VirtualPeers(SETTINGS, seed)
    fleet.conditions = NetworkConditions(**{"list_lag_ms": 0.0, **conditions})
    for number in range(count):
        fleet.start(entry_id(number), ZONES[number % len(ZONES)], 7000 + number)
    fleet.run(STABLE_MS)
    return fleet


def sees_live(fleet, observer, *numbers):
    return fleet.live_peer_ids(entry_id(observer)) == {entry_id(number) for number in numbers}


def views_match(fleet, ids=None):
    ids = set(ids or fleet.running_instances)
    return all(fleet.live_peer_ids(instance_id) == ids - {instance_id} for instance_id in ids)


@pytest.mark.parametrize("count", [1, 2, 4, 20])
@pytest.mark.parametrize("loss_share", [0.0, 0.05])
def test_views_converge_and_remain_stable(count, loss_share):
    fleet = start_fleet(count, loss_share=loss_share)
    assert views_match(fleet)
    fleet.published_events.clear()
    fleet.run(120_000)
    assert views_match(fleet)
    assert not [event for _, _, event in fleet.published_events]


@pytest.mark.parametrize("count", [2, 4, 20])
@pytest.mark.parametrize("list_condition", ["fresh", "empty", "failed"])
def test_killed_instance_is_removed_for_each_list_condition(count, list_condition):
    fleet = start_fleet(count)
    fleet.conditions = NetworkConditions(list_condition=list_condition)
    fleet.kill(entry_id(1), listed=True)
    assert fleet.run(DETECTION_MS, lambda: views_match(fleet))
    fleet.run(60_000)
    assert views_match(fleet)


@pytest.mark.parametrize(
    ("conditions", "duration_ms"),
    [
        ({"list_condition": "empty"}, 60_000),
        ({"list_condition": "failed"}, 60_000),
        ({"list_lag_ms": 1e9}, 60_000),
    ],
)
def test_unusable_instance_list_removes_no_member(conditions, duration_ms):
    fleet = start_fleet()
    fleet.conditions = NetworkConditions(**conditions)
    fleet.published_events.clear()
    fleet.run(duration_ms)
    assert views_match(fleet)
    assert not fleet.published_events


@pytest.mark.parametrize("frozen_ms", [700, 1500, 8000, 60_000])
def test_frozen_instance_rejoins_and_suspects_no_peer(frozen_ms):
    fleet = start_fleet()
    fleet.freeze(entry_id(1))
    fleet.run(frozen_ms)
    assert sees_live(fleet, 0, 1, 2, 3) == (frozen_ms < DETECTION_MS)
    fleet.resume(entry_id(1))
    fleet.run(1.0)
    assert sees_live(fleet, 1, 0, 2, 3)
    assert fleet.run(10_000, lambda: views_match(fleet))
    fleet.published_events.clear()
    fleet.run(20_000)
    assert not fleet.published_events


def is_between(pairs):
    return lambda sender_id, receiver_id: (sender_id, receiver_id) in {
        (entry_id(sender), entry_id(receiver)) for sender, receiver in pairs
    }


@pytest.mark.parametrize("pairs", [{(0, 1)}, {(1, 0)}, {(0, 1), (1, 0)}])
def test_link_failure_between_two_instances_removes_neither(pairs):
    fleet = start_fleet()
    fleet.conditions = NetworkConditions(is_cut=is_between(pairs))
    fleet.published_events.clear()
    fleet.run(60_000)
    assert views_match(fleet)
    assert not fleet.published_events
    for observer, peer in [(0, 1), (1, 0)]:
        answering = reachable_peer_ids(fleet.running_instances[entry_id(observer)].state)
        assert entry_id(peer) not in answering
        assert len(answering) == 2


def zone_cut(fleet, zone):
    def is_cut(sender_id, receiver_id):
        zones = [
            fleet.running_instances[peer].availability_zone for peer in (sender_id, receiver_id)
        ]
        return (zones[0] == zone) != (zones[1] == zone)

    return is_cut


def last_published_zones(fleet):
    return {
        peer: event.unreachable
        for _, peer, event in fleet.published_events
        if isinstance(event, UnreachableZonesChanged)
    }


@pytest.mark.parametrize("count", [4, 20])
@pytest.mark.parametrize("zone", ["zone-a", "zone-c"])
def test_partitioned_zone_is_published_and_rejoins(count, zone):
    fleet = start_fleet(count)
    inside = {
        key for key, peer in fleet.running_instances.items() if peer.availability_zone == zone
    }
    outside = set(fleet.running_instances) - inside
    fleet.conditions = NetworkConditions(is_cut=zone_cut(fleet, zone))
    fleet.run(30_000)
    assert views_match(fleet, inside)
    assert views_match(fleet, outside)
    others = tuple(sorted(set(ZONES) - {zone}))
    published = last_published_zones(fleet)
    assert {peer: published[peer] for peer in outside} == dict.fromkeys(outside, (zone,))
    assert {peer: published[peer] for peer in inside} == dict.fromkeys(inside, others)
    fleet.published_events.clear()
    fleet.conditions = NetworkConditions()
    assert fleet.run(60_000, lambda: views_match(fleet))
    fleet.run(1000)
    assert last_published_zones(fleet) == dict.fromkeys(fleet.running_instances, ())


def test_unlisted_crashed_instance_makes_no_zone_unreachable():
    # The platform removes a crashed instance from its list; that is no network partition.
    fleet = start_fleet()
    fleet.kill(entry_id(3))
    fleet.run(60_000)
    assert not [
        event
        for _, _, event in fleet.published_events
        if isinstance(event, UnreachableZonesChanged)
    ]


@pytest.mark.parametrize("list_lag_ms", [0.0, 10_000.0])
def test_restart_at_the_same_address_is_detected(list_lag_ms):
    fleet = start_fleet()
    fleet.conditions = NetworkConditions(list_lag_ms=list_lag_ms)
    fleet.start(entry_id(1), "zone-a", 7001)
    assert fleet.run(3000, lambda: views_match(fleet))
    fleet.run(5000)
    published = {
        peer for _, peer, event in fleet.published_events if isinstance(event, PeerRestarted)
    }
    assert published == {entry_id(0), entry_id(2), entry_id(3)}


@pytest.mark.parametrize(
    ("announces_stop", "off_ms", "reason"),
    [
        (False, 0.0, "unclean"),
        (False, 500.0, "unclean"),
        (False, 20_000.0, "unclean"),
        (True, 500.0, "clean"),
        (True, 20_000.0, "clean"),
    ],
)
def test_peers_report_whether_a_restarted_instance_had_announced_its_stop(
    announces_stop, off_ms, reason
):
    fleet = start_fleet()
    if announces_stop:
        fleet.feed(entry_id(1), LeavingAnnounced())
        fleet.run(2000)
    fleet.kill(entry_id(1))
    fleet.run(off_ms)
    fleet.start(entry_id(1), "zone-a", 7001)
    assert fleet.run(5000, lambda: views_match(fleet))
    fleet.run(5000)
    reported = {key: count for key, count in fleet.counts.items() if key[0] == "restarts"}
    assert reported == {("restarts", reason): 3}


def test_an_instance_that_never_met_the_earlier_process_does_not_report_how_it_ended():
    # After its own restart, entry-2 knows from its peers only that entry-1 is dead.
    fleet = start_fleet()
    fleet.feed(entry_id(1), LeavingAnnounced())
    fleet.run(2000)
    fleet.kill(entry_id(1))
    fleet.run(20_000)
    fleet.start(entry_id(2), "zone-b", 7002)
    fleet.run(10_000)
    assert fleet.running_instances[entry_id(2)].state.members[entry_id(1)].chart_state == "dead"
    assert fleet.counts["restarts", "unclean"] == 2
    fleet.start(entry_id(1), "zone-a", 7001)
    assert fleet.run(5000, lambda: views_match(fleet))
    fleet.run(5000)
    reported = {key[1]: count for key, count in fleet.counts.items() if key[0] == "restarts"}
    assert reported == {"unclean": 2, "clean": 2, "unknown": 1}


def test_new_instance_at_an_address_replaces_the_earlier_one():
    fleet = start_fleet()
    fleet.conditions = NetworkConditions(list_lag_ms=60_000.0)
    fleet.kill(entry_id(1))
    fleet.start("entry-9", "zone-a", 7001)
    assert fleet.run(3000, lambda: views_match(fleet))
    fleet.run(90_000)
    assert views_match(fleet)


def test_resumed_old_incarnation_overrides_nothing():
    # A paused process that was replaced under the same id resumes and sends its old incarnation.
    fleet = start_fleet()
    old = fleet.running_instances[entry_id(1)]
    fleet.start(entry_id(1), "zone-b", 7101)
    fleet.run(STABLE_MS)
    newer = fleet.running_instances[entry_id(1)]
    fleet.running_instances[entry_id(1)] = old
    fleet.run(3000)
    for observer in (0, 2, 3):
        member = fleet.running_instances[entry_id(observer)].state.members[entry_id(1)]
        assert member.update.incarnation == newer.incarnation
        assert member.update.port == 7101


@pytest.mark.parametrize("count", [4, 20])
def test_leaving_instance_is_removed_from_live_peers(count):
    fleet = start_fleet(count)
    fleet.feed(entry_id(1), LeavingAnnounced())
    remaining = set(fleet.running_instances) - {entry_id(1)}
    assert fleet.run(
        1000 if count == 4 else 3000,
        lambda: all(fleet.live_peer_ids(peer) == remaining - {peer} for peer in remaining),
    )
    assert fleet.live_peer_ids(entry_id(1)) == remaining
    fleet.run(10_000)
    fleet.kill(entry_id(1))
    fleet.run(20_000)
    assert all(fleet.live_peer_ids(peer) == remaining - {peer} for peer in remaining)


@pytest.mark.parametrize("state", ["leaving", "live"])
def test_leaving_state_in_the_list_is_applied(state):
    fleet = start_fleet()
    fleet.set_listed_instance(entry_id(1), "zone-a", "10.0.0.1", 7001, "leaving")
    fleet.run(5000)
    assert sees_live(fleet, 0, 2, 3)
    fleet.set_listed_instance(entry_id(1), "zone-a", "10.0.0.1", 7001, state)
    fleet.run(5000)
    assert sees_live(fleet, 0, 1, 2, 3) == (state == "live")


def test_heartbeats_carry_digests():
    fleet = start_fleet()
    digest = ComponentDigest("configuration", 7, "abc")
    fleet.feed(entry_id(1), DigestChanged(digest))
    fleet.run(3000)
    published = [
        (peer, event)
        for _, peer, event in fleet.published_events
        if isinstance(event, PeerDigestChanged)
    ]
    assert sorted(published) == [
        (entry_id(n), PeerDigestChanged(entry_id(1), digest)) for n in (0, 2, 3)
    ]


def test_status_shows_time_of_last_contact():
    fleet = start_fleet()
    fleet.freeze(entry_id(1))
    fleet.run(30_000)
    statuses = {
        status.instance_id: status
        for status in peer_statuses(fleet.running_instances[entry_id(0)].state, fleet.now_ms)
    }
    assert statuses[entry_id(1)].state == "dead"
    assert 28_000 < statuses[entry_id(1)].last_contact_ago_ms < 35_000
    assert statuses[entry_id(2)].last_contact_ago_ms < 5000


@pytest.mark.parametrize(("count", "expected"), [(1, 0), (4, 3), (11, 10), (64, 6), (740, 10)])
def test_each_instance_is_probed_by_as_many_peers_as_it_probes(count, expected):
    ids = [entry_id(number) for number in range(count)]
    probed = [peer for instance_id in ids for peer in neighbours_on_ring(instance_id, ids)]
    assert {probed.count(instance_id) for instance_id in ids} == {expected}


@pytest.mark.parametrize("missed", ["death", "start"])
def test_view_that_missed_an_update_is_repaired(missed):
    # Restoring the observer's earlier state stands for updates that never reached it.
    fleet = start_fleet(20)
    observer = fleet.running_instances[entry_id(0)]
    if missed == "death":
        victim = next(
            peer
            for peer in sorted(observer.state.live_ids)
            if peer not in observer.state.neighbours
        )
        fleet.conditions = NetworkConditions(list_condition="failed")
        fleet.kill(victim)
    else:
        fleet.start(entry_id(99), "zone-a", 7099, listed=False)
    fleet.run(STABLE_MS)
    fleet.running_instances[entry_id(0)] = observer
    assert not views_match(fleet)
    assert fleet.run(30_000, lambda: views_match(fleet))


def test_local_pause_expires_no_suspicion():
    # After a pause, the suspicion's end has passed although the member had no chance to refute it.
    fleet = start_fleet()
    fleet.conditions = NetworkConditions(
        is_cut=lambda sender_id, receiver_id: receiver_id == entry_id(1)
    )
    assert fleet.run(
        STABLE_MS, lambda: entry_id(1) in fleet.running_instances[entry_id(0)].state.suspected_ids
    )
    fleet.freeze(entry_id(0))
    fleet.conditions = NetworkConditions()
    fleet.run(30_000)
    fleet.counts.clear()
    fleet.resume(entry_id(0))
    fleet.run(10_000)
    assert fleet.counts[("membership", "dead")] == 0
    assert views_match(fleet)
