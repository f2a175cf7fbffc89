"""Guards against answers with parts of several snapshots, and against poorly chosen snapshots.

Both come about when the targets of a search change their indexes one after another, and when health
endpoints still list a snapshot that a target has withdrawn.
"""

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
from savoryarch.search.tests.driver import NEW, OLD, Driver, make_declarations, return_part

SPLIT = SnapshotId(2, 1)
OLD_MAP = ShardMap(1, ("balcao-00", "balcao-01"))
SPLIT_MAP = ShardMap(2, ("balcao-00", "balcao-01", "balcao-02"))


def make_probe(snapshots_by_prefix):
    """Return the snapshots that each target reports, by the longest matching prefix of its id."""

    def probe_snapshots(target_id):
        matching = [prefix for prefix in snapshots_by_prefix if target_id.startswith(prefix)]
        return snapshots_by_prefix[max(matching, key=len)] if matching else ()

    return probe_snapshots


def make_driver(snapshots_by_prefix, script=None, **search):
    return Driver(
        make_declarations(**search), script, probe_snapshots=make_probe(snapshots_by_prefix)
    )


@pytest.mark.parametrize(
    ("served", "snapshot", "answered"),
    [
        ({"": (OLD,)}, OLD, 3),
        ({"": (OLD, NEW)}, NEW, 3),
        # Only one replica of one shard serves the newest snapshot.
        ({"": (OLD,), "balcao-00-a": (OLD, NEW)}, OLD, 3),
        # One shard does not serve the newest snapshot.
        ({"": (OLD, NEW), "balcao-02": (OLD,)}, OLD, 3),
        # One replica does not serve the newest snapshot, and its shard has two others.
        ({"": (OLD, NEW), "balcao-02-c": (OLD,)}, NEW, 3),
        # One shard has no spare replica at the newest snapshot.
        ({"": (OLD, NEW), "balcao-02-b": (OLD,), "balcao-02-c": (OLD,)}, OLD, 3),
        # No snapshot is served by all shards.
        ({"": (OLD,), "balcao-02": (NEW,)}, OLD, 2),
        ({"": (NEW,), "balcao-02": (OLD,)}, NEW, 2),
    ],
)
def test_a_query_gets_the_newest_snapshot_that_every_shard_serves(served, snapshot, answered):
    driver = make_driver(served)
    driver.request_search()
    driver.run()
    outcome = driver.outcome()
    assert (outcome.snapshot, outcome.coverage.answered) == (snapshot, answered)
    reasons = {left.reason for left in outcome.coverage.left_out}
    assert reasons <= {LeftOutReason.SNAPSHOT}


@pytest.mark.parametrize(
    ("served", "shards"),
    [
        ({"": (NEW,)}, OLD_MAP.services),
        ({"": (NEW, SPLIT)}, SPLIT_MAP.services),
        ({"": (NEW, SPLIT), "balcao-02": (NEW,)}, OLD_MAP.services),
        ({"": (SPLIT,), "balcao-02": ()}, SPLIT_MAP.services),
    ],
)
def test_an_answer_covers_the_shard_map_of_its_snapshot(served, shards):
    driver = make_driver(served, shard_maps=(OLD_MAP, SPLIT_MAP))
    driver.request_search()
    driver.run()
    outcome = driver.outcome()
    assert outcome.coverage.asked == len(shards)
    assert {part.service for part in outcome.parts} <= set(shards)
    assert outcome.snapshot.shard_map == (1 if shards == OLD_MAP.services else 2)


def withdraw_snapshot(at_ms, withdrawn_snapshot, reply):
    """Return a script in which shard 0 stops serving a snapshot, and others reply after 40 ms."""

    def script(send, now_ms):
        if not send.target_id.startswith("balcao-00"):
            return return_part(send, 40.0)
        if send.request.snapshot == withdrawn_snapshot and now_ms >= at_ms:
            return 5.0, reply
        return return_part(send, 10.0)

    return script


@pytest.mark.parametrize(
    "reply", [SnapshotNotServed(), PartReturned(OLD, b'["old"]', complete=True)]
)
@pytest.mark.parametrize(
    ("deadline_ms", "max_restarts", "snapshot", "answered"),
    [
        (500.0, 1, OLD, 3),  # enough time and budget are left for a restart
        (20.0, 1, NEW, 0),  # too little time is left
        (500.0, 0, NEW, 2),  # restarts are not allowed
    ],
)
def test_a_query_restarts_if_its_snapshot_is_withdrawn(
    reply, deadline_ms, max_restarts, snapshot, answered
):
    driver = Driver(
        make_declarations(deadline_ms=deadline_ms),
        withdraw_snapshot(0.0, NEW, reply),
        search=SearchSettings(max_restarts=max_restarts),
    )
    driver.request_search()
    driver.run()
    outcome = driver.outcome()
    if answered == 0:
        assert outcome.reason is RefusalReason.COVERAGE_TOO_LOW
        return
    assert (outcome.snapshot, outcome.coverage.answered) == (snapshot, answered)
    assert all(part.records == b"[]" for part in outcome.parts)


def test_a_query_is_refused_if_no_served_snapshot_is_known():
    driver = make_driver({"": ()})
    driver.request_search()
    outcome = driver.outcome()
    assert isinstance(outcome, Refused)
    assert (outcome.reason, outcome.not_run) == (RefusalReason.NO_SNAPSHOT, True)
    assert outcome.retry_after_ms == 500.0


def test_a_denied_snapshot_is_not_requested_again_while_health_endpoints_lag():
    # A probe that still lists the snapshot must not restore it after a reply has denied it.
    driver = Driver(script=withdraw_snapshot(0.0, NEW, SnapshotNotServed()))
    driver.request_search()
    driver.run(until_ms=12_000.0)  # long enough for further probes, which report the same
    sent = len(driver.sends)
    driver.request_search("r2")
    driver.run(until_ms=13_000.0)
    assert {send.request.snapshot for send in driver.sends[sent:]} == {OLD}
    assert len(driver.sends) - sent == 3
