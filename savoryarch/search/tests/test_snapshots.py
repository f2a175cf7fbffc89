"""Every answer comes from one snapshot, whatever happens to the indexes meanwhile."""

import pytest

from savoryarch.model import (
    LeftOutReason,
    PartReturned,
    RefusalReason,
    Refused,
    ShardMap,
    SnapshotId,
    SnapshotNotServed,
)
from savoryarch.search import SearchSettings
from savoryarch.search.tests.driver import NEW, OLD, Driver, declare, returned

SPLIT = SnapshotId(2, 1)
BEFORE = ShardMap(1, ("balcao-00", "balcao-01"))
AFTER = ShardMap(2, ("balcao-00", "balcao-01", "balcao-02"))


def serving(table):
    """What each target says it serves, by prefix of its name; the longest prefix wins."""

    def snapshots(target_id):
        matching = [prefix for prefix in table if target_id.startswith(prefix)]
        return table[max(matching, key=len)] if matching else ()

    return snapshots


def make_driver(table, script=None, **search):
    return Driver(declare(**search), script, probed=serving(table))


@pytest.mark.parametrize(
    ("served", "snapshot", "answered"),
    [
        ({"": (OLD,)}, OLD, 3),
        ({"": (OLD, NEW)}, NEW, 3),
        # one replica ahead of all the others is not enough for the newest
        ({"": (OLD,), "balcao-00-a": (OLD, NEW)}, OLD, 3),
        # one shard that lags holds the snapshot back
        ({"": (OLD, NEW), "balcao-02": (OLD,)}, OLD, 3),
        # one replica that lags does not
        ({"": (OLD, NEW), "balcao-02-c": (OLD,)}, NEW, 3),
        # a version that few replicas serve yields to one that all serve
        ({"": (OLD, NEW), "balcao-02-b": (OLD,), "balcao-02-c": (OLD,)}, OLD, 3),
        # no version is served by every shard
        ({"": (OLD,), "balcao-02": (NEW,)}, OLD, 2),
        ({"": (NEW,), "balcao-02": (OLD,)}, NEW, 2),
    ],
)
def test_the_newest_snapshot_that_every_shard_serves(served, snapshot, answered):
    driver = make_driver(served)
    driver.ask()
    driver.run()
    outcome = driver.outcome()
    assert (outcome.snapshot, outcome.coverage.answered) == (snapshot, answered)
    reasons = {left.reason for left in outcome.coverage.left_out}
    assert reasons <= {LeftOutReason.SNAPSHOT}


@pytest.mark.parametrize(
    ("served", "shards"),
    [
        ({"": (NEW,)}, BEFORE.services),
        ({"": (NEW, SPLIT)}, AFTER.services),
        ({"": (NEW, SPLIT), "balcao-02": (NEW,)}, BEFORE.services),
        ({"": (SPLIT,), "balcao-02": ()}, AFTER.services),
    ],
)
def test_the_shard_map_is_part_of_the_snapshot(served, shards):
    driver = make_driver(served, shard_maps=(BEFORE, AFTER))
    driver.ask()
    driver.run()
    outcome = driver.outcome()
    assert outcome.coverage.asked == len(shards)
    assert {part.service for part in outcome.parts} <= set(shards)
    assert outcome.snapshot.shard_map == (1 if shards == BEFORE.services else 2)


def withdrawn(at_ms, withdrawn_snapshot, reply):
    """Script: shard 0 stops to serve a snapshot; the other shards reply after 40 ms."""

    def script(send, now_ms):
        if not send.target_id.startswith("balcao-00"):
            return returned(send, 40.0)
        if send.request.snapshot == withdrawn_snapshot and now_ms >= at_ms:
            return 5.0, reply
        return returned(send, 10.0)

    return script


@pytest.mark.parametrize(
    "reply", [SnapshotNotServed(), PartReturned(OLD, b'["old"]', complete=True)]
)
@pytest.mark.parametrize(
    ("deadline_ms", "max_restarts", "snapshot", "answered"),
    [
        (500.0, 1, OLD, 3),  # time and budget are left: the whole query starts again
        (20.0, 1, NEW, 0),  # too late to start again
        (500.0, 0, NEW, 2),  # must not start again
    ],
)
def test_a_snapshot_withdrawn_while_the_query_runs(
    reply, deadline_ms, max_restarts, snapshot, answered
):
    driver = Driver(
        declare(deadline_ms=deadline_ms),
        withdrawn(0.0, NEW, reply),
        search=SearchSettings(max_restarts=max_restarts),
    )
    driver.ask()
    driver.run()
    outcome = driver.outcome()
    if answered == 0:
        assert outcome.reason is RefusalReason.COVERAGE_TOO_LOW
        return
    assert (outcome.snapshot, outcome.coverage.answered) == (snapshot, answered)
    assert all(part.records == b"[]" for part in outcome.parts)


def test_nothing_is_known_to_be_served():
    driver = make_driver({"": ()})
    driver.ask()
    outcome = driver.outcome()
    assert isinstance(outcome, Refused)
    assert (outcome.reason, outcome.not_run) == (RefusalReason.NO_SNAPSHOT, True)
    assert outcome.retry_after_ms == 500.0


def test_a_denied_snapshot_is_not_asked_again_while_health_lags():
    driver = Driver(script=withdrawn(0.0, NEW, SnapshotNotServed()))
    driver.ask()
    driver.run(until_ms=12_000.0)  # health was asked again meanwhile, and says what it said
    sent = len(driver.sends)
    driver.ask("r2")
    driver.run(until_ms=13_000.0)
    assert {send.request.snapshot for send in driver.sends[sent:]} == {OLD}
    assert len(driver.sends) - sent == 3
