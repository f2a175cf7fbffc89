"""One failure at a time: what the caller gets, and what it costs."""

import pytest

from savoryarch.model import (
    ConnectionLost,
    Draining,
    LeftOutReason,
    MalformedReply,
    NotSent,
    PartReturned,
    Shed,
    SnapshotNotServed,
    TargetEvidence,
    TargetEvidenceReceived,
    TargetFailed,
)
from savoryarch.quarantine import QuarantineSettings
from savoryarch.search.tests.driver import NEW, OLD, Driver, declare, returned

FROZEN_MS = 1e9
NEVER = QuarantineSettings(crashes=100)


def first_only(reply, after_ms=2.0):
    """Script: the first attempt of shard 0 gets `reply`, everything else is answered."""
    failed = []

    def script(send, now_ms):
        if send.target_id.startswith("balcao-00") and not failed:
            failed.append(send.target_id)
            return after_ms, reply
        return returned(send)

    return script


def always(reply, after_ms=2.0):
    """Script: shard 0 always gets `reply`."""

    def script(send, now_ms):
        if send.target_id.startswith("balcao-00"):
            return after_ms, reply
        return returned(send)

    return script


@pytest.mark.parametrize(
    "reply",
    [
        ConnectionLost("reset"),
        NotSent("refused"),
        TargetFailed(500, "error"),
        MalformedReply("no JSON"),
        Draining(),
        Shed(20.0),
        Shed(None),
        SnapshotNotServed(),
        PartReturned(NEW, b"[1]", complete=False),
        PartReturned(OLD, b"[1]", complete=True),
    ],
)
def test_another_replica_answers_after_one_failure(reply):
    driver = Driver(script=first_only(reply))
    driver.ask()
    driver.run()
    outcome = driver.outcome()
    assert (outcome.coverage.asked, outcome.coverage.answered) == (3, 3)
    assert outcome.snapshot == NEW
    assert all(part.records == b"[]" for part in outcome.parts)
    assert len({send.target_id for send in driver.sends}) == len(driver.sends) == 4
    assert set(driver.in_flight().values()) == {0}


@pytest.mark.parametrize(
    ("reply", "after_ms", "reason"),
    [
        (ConnectionLost("reset"), 2.0, LeftOutReason.LOST),
        (MalformedReply("no JSON"), 2.0, LeftOutReason.MALFORMED),
        (Shed(20.0), 2.0, LeftOutReason.REFUSED),
        (Draining(), 2.0, LeftOutReason.REFUSED),
        (PartReturned(NEW, b"[1]", complete=False), 2.0, LeftOutReason.CUT_SHORT),
        (PartReturned(NEW, b"[1]", complete=True), FROZEN_MS, LeftOutReason.LATE),
    ],
)
def test_a_shard_that_cannot_answer_is_left_out_with_the_reason(reply, after_ms, reason):
    driver = Driver(script=always(reply, after_ms), quarantine=NEVER)
    driver.ask()
    driver.run()
    coverage = driver.outcome().coverage
    assert (coverage.asked, coverage.answered) == (3, 2)
    assert [(left.service, left.reason) for left in coverage.left_out] == [("balcao-00", reason)]
    assert driver.answered_at_ms["r1"] <= 501.0


@pytest.mark.parametrize(
    ("minimum_coverage", "refused"), [(0.0, False), (0.66, False), (0.67, True), (1.0, True)]
)
def test_minimum_coverage(minimum_coverage, refused):
    declarations = declare(minimum_coverage=minimum_coverage)
    driver = Driver(declarations, always(ConnectionLost("reset")), quarantine=NEVER)
    driver.ask()
    driver.run()
    assert hasattr(driver.outcome(), "not_run") is refused


@pytest.mark.parametrize(("heard_again", "answered"), [(True, 3), (False, 2)])
def test_a_shard_whose_targets_are_all_in_doubt_waits_for_the_next_sign(heard_again, answered):
    driver = Driver()
    doubted = [f"balcao-00-{zone}" for zone in "abc"]
    driver.probe_snapshots = lambda target_id: ()
    for target_id in doubted:
        driver.offer(TargetEvidenceReceived(target_id, TargetEvidence.CONNECTION_CLOSED))
    driver.ask()
    sign = TargetEvidence.PROBE_ANSWERED if heard_again else TargetEvidence.PROBE_FAILED
    for target_id in doubted:
        driver.at(driver.now_ms + 4.0, TargetEvidenceReceived(target_id, sign, (OLD, NEW)))
    driver.run(until_ms=60.0)
    assert driver.outcome().coverage.answered == answered
