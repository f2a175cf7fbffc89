"""Poll intervals of a fleet, and announcements of urgent changes between its instances."""

import pytest

from savoryarch.discovery import StoreRevisionAdvanced
from savoryarch.discovery._decide import CHANGES_CALL, POLL_TIMER
from savoryarch.discovery.tests.test_discovery import Driver
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


def make_driver(instances):
    driver = Driver()
    driver.start(table=b"1", t_a=b"live")
    driver.feed(PeersChanged(tuple(f"entry-{number}" for number in range(instances - 1))))
    return driver


def poll_delay_ms(driver, effects):
    (timer,) = [item for item in effects if isinstance(item, SetTimer)]
    assert timer.timer_id == POLL_TIMER
    return timer.at_ms - driver.now_ms


@pytest.mark.parametrize(
    ("instances", "mean_ms"),
    [(1, INTERVAL_MS), (4, INTERVAL_MS), (8, 2 * INTERVAL_MS), (35, 2000.0), (740, 2000.0)],
)
def test_a_large_fleet_polls_the_store_less_often(instances, mean_ms):
    driver = make_driver(instances)
    delays_ms = [poll_delay_ms(driver, driver.change()) for _ in range(200)]
    assert 0.95 * mean_ms < sum(delays_ms) / len(delays_ms) < 1.05 * mean_ms
    assert 0.75 * mean_ms <= min(delays_ms) <= max(delays_ms) <= 1.25 * mean_ms


@pytest.mark.parametrize(
    ("instances", "changes", "revision", "announced"),
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
def test_urgent_changes_are_announced_to_a_fleet_that_polls_less_often(
    instances, changes, revision, announced
):
    driver = make_driver(instances)
    effects = driver.change(*changes, revision=revision)
    assert [item.message for item in effects if isinstance(item, BroadcastToPeers)] == announced


@pytest.mark.parametrize(("revision", "soon"), [(9, False), (10, False), (11, True)])
def test_an_announcement_leads_to_a_poll_soon_and_is_not_repeated(revision, soon):
    driver = make_driver(35)
    driver.change(revision=10)
    effects = driver.feed(PeerMessageReceived("entry-1", StoreRevisionAdvanced(revision)))
    assert bool(effects) is soon
    if soon:
        assert poll_delay_ms(driver, effects) <= 1000.0
        effects = driver.change(("t/b", b"live"), revision=revision)
        assert not [item for item in effects if isinstance(item, BroadcastToPeers)]
        assert poll_delay_ms(driver, effects) >= 1500.0


def test_a_poll_in_flight_during_an_announcement_is_followed_by_another():
    """The reply of the poll in flight may precede the announced changes."""
    driver = make_driver(35)
    driver.feed(TimerFired(POLL_TIMER))
    assert driver.feed(PeerMessageReceived("entry-1", StoreRevisionAdvanced(30))) == ()
    effects = driver.feed(StoreReplied(CHANGES_CALL, KeysChanged((), 20)))
    assert poll_delay_ms(driver, effects) <= 1000.0
    assert driver.feed(TimerFired(POLL_TIMER)) == (WatchKeys(CHANGES_CALL, "", 20, 1.0),)


def test_a_store_restored_to_an_older_revision_is_not_polled_forever():
    """No poll reaches the announced revision, so each would lead to another one within a second."""
    driver = make_driver(35)
    driver.feed(PeerMessageReceived("entry-1", StoreRevisionAdvanced(1000)))
    assert poll_delay_ms(driver, driver.change(revision=20)) <= 1000.0
    assert poll_delay_ms(driver, driver.change(revision=20)) >= 1500.0


def test_repeated_announcements_do_not_postpone_the_next_poll():
    """Each announcement would otherwise set the timer of the poll to a later time."""
    driver = make_driver(35)
    driver.change(revision=10)
    poll_times_ms = []
    for number in range(50):
        effects = driver.feed(PeerMessageReceived("entry-1", StoreRevisionAdvanced(11 + number)))
        poll_times_ms += [driver.now_ms + poll_delay_ms(driver, effects)] if effects else []
    assert poll_times_ms == sorted(poll_times_ms, reverse=True)
    assert poll_times_ms[-1] <= 1000.0
