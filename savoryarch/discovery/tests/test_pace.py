"""How often the store is looked at by a fleet, and how soon all of it knows of a change."""

import pytest

from savoryarch.discovery import StoreRevisionAdvanced
from savoryarch.discovery._decide import CHANGES_CALL, POLL_TIMER
from savoryarch.discovery.tests.test_discovery import World
from savoryarch.model import (
    BroadcastToPeers,
    KeysChanged,
    PeerMessageReceived,
    PeersChanged,
    SetTimer,
    StoreReplied,
    TimerFired,
    WatchKeys,
)

INTERVAL_MS = 400.0


def make_world(instances):
    world = World()
    world.start(table=b"1", t_a=b"live")
    world.feed(PeersChanged(tuple(f"entry-{number}" for number in range(instances - 1))))
    return world


def poll_delay_ms(world, effects):
    (timer,) = [item for item in effects if isinstance(item, SetTimer)]
    assert timer.timer_id == POLL_TIMER
    return timer.at_ms - world.now_ms


@pytest.mark.parametrize(
    ("instances", "mean_ms"),
    [(1, INTERVAL_MS), (4, INTERVAL_MS), (8, 2 * INTERVAL_MS), (35, 2000.0), (740, 2000.0)],
)
def test_a_large_fleet_looks_at_the_store_less_often(instances, mean_ms):
    world = make_world(instances)
    delays_ms = [poll_delay_ms(world, world.change()) for _ in range(200)]
    assert 0.95 * mean_ms < sum(delays_ms) / len(delays_ms) < 1.05 * mean_ms
    assert 0.75 * mean_ms <= min(delays_ms) <= max(delays_ms) <= 1.25 * mean_ms


@pytest.mark.parametrize(
    ("instances", "changes", "revision", "told"),
    [
        (35, [("table", b"2")], 12, [StoreRevisionAdvanced(12)]),
        (35, [("t/a", b"draining")], 12, [StoreRevisionAdvanced(12)]),
        (35, [("t/a", None)], 12, [StoreRevisionAdvanced(12)]),
        (35, [("t/a", b"broken")], 12, [StoreRevisionAdvanced(12)]),
        (35, [("t/b", b"live")], 12, []),
        (35, [], 10, []),
        (4, [("table", b"2")], 12, []),
    ],
)
def test_whoever_finds_urgent_changes_tells_a_fleet_that_looks_less_often(
    instances, changes, revision, told
):
    world = make_world(instances)
    effects = world.change(*changes, revision=revision)
    assert [item.message for item in effects if isinstance(item, BroadcastToPeers)] == told


@pytest.mark.parametrize(("revision", "soon"), [(9, False), (10, False), (11, True)])
def test_an_instance_that_is_told_of_changes_looks_at_once_and_tells_nobody(revision, soon):
    world = make_world(35)
    world.change(revision=10)
    effects = world.feed(PeerMessageReceived("entry-1", StoreRevisionAdvanced(revision)))
    assert bool(effects) is soon
    if soon:
        assert poll_delay_ms(world, effects) <= 1000.0
        effects = world.change(("t/b", b"live"), revision=revision)
        assert not [item for item in effects if isinstance(item, BroadcastToPeers)]
        assert poll_delay_ms(world, effects) >= 1500.0


def test_a_look_that_is_under_way_when_news_come_is_followed_by_another():
    world = make_world(35)
    world.feed(TimerFired(POLL_TIMER))
    assert world.feed(PeerMessageReceived("entry-1", StoreRevisionAdvanced(30))) == ()
    effects = world.feed(StoreReplied(CHANGES_CALL, KeysChanged((), 20)))
    assert poll_delay_ms(world, effects) <= 1000.0
    assert world.feed(TimerFired(POLL_TIMER)) == (WatchKeys(CHANGES_CALL, "", 20, 1.0),)


def test_a_store_that_went_back_is_not_asked_without_end():
    world = make_world(35)
    world.feed(PeerMessageReceived("entry-1", StoreRevisionAdvanced(1000)))
    assert poll_delay_ms(world, world.change(revision=20)) <= 1000.0
    assert poll_delay_ms(world, world.change(revision=20)) >= 1500.0


def test_a_row_of_news_does_not_put_the_next_look_off():
    world = make_world(35)
    world.change(revision=10)
    looks_ms = []
    for number in range(50):
        effects = world.feed(PeerMessageReceived("entry-1", StoreRevisionAdvanced(11 + number)))
        looks_ms += [world.now_ms + poll_delay_ms(world, effects)] if effects else []
    assert looks_ms == sorted(looks_ms, reverse=True)
    assert looks_ms[-1] <= 1000.0
