"""Guards against searches that lose shards, answer late or send too much after one failure.

A target fails, sheds, drains, freezes or replies with a wrong or incomplete part, once or in all
attempts at one shard.
"""

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
from savoryarch.search import BudgetedRetries, SearchSettings
from savoryarch.search.tests.driver import NEW, OLD, Driver, make_declarations, return_part

FROZEN_MS = 1e9
NO_QUARANTINE = QuarantineSettings(crashes=100)


def reply_to_first_attempt(reply, after_ms=2.0):
    """Return a script in which the first attempt at shard 0 gets `reply`, and others a part."""
    failed = []

    def script(send, now_ms):
        if send.target_id.startswith("balcao-00") and not failed:
            failed.append(send.target_id)
            return after_ms, reply
        return return_part(send)

    return script


def reply_to_all_attempts(reply, after_ms=2.0):
    """Return a script in which each attempt at shard 0 gets `reply`, and others a part."""

    def script(send, now_ms):
        if send.target_id.startswith("balcao-00"):
            return after_ms, reply
        return return_part(send)

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
    driver = Driver(script=reply_to_first_attempt(reply))
    driver.request_search()
    driver.run()
    outcome = driver.outcome()
    assert (outcome.coverage.asked, outcome.coverage.answered) == (3, 3)
    assert outcome.snapshot == NEW
    assert all(part.records == b"[]" for part in outcome.parts)
    assert len({send.target_id for send in driver.sends}) == len(driver.sends) == 4
    assert set(driver.in_flight().values()) == {0}


@pytest.mark.parametrize(
    ("reply", "answered"),
    [(Draining(), 3), (Shed(None), 3), (Shed(20.0), 3), (ConnectionLost("reset"), 2)],
)
def test_a_refusal_is_sent_elsewhere_without_a_budget_for_retries(reply, answered):
    """Nothing has run, so that the other attempt is no extra load.

    The budget is empty after many hedges, and a target that began to drain cost a part then.
    """
    settings = SearchSettings(retries=BudgetedRetries(count=0))
    driver = Driver(script=reply_to_first_attempt(reply), search=settings)
    driver.request_search()
    driver.run()
    assert driver.outcome().coverage.answered == answered


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
    driver = Driver(script=reply_to_all_attempts(reply, after_ms), quarantine=NO_QUARANTINE)
    driver.request_search()
    driver.run()
    coverage = driver.outcome().coverage
    assert (coverage.asked, coverage.answered) == (3, 2)
    assert [(left.service, left.reason) for left in coverage.left_out] == [("balcao-00", reason)]
    assert driver.answered_at_ms["r1"] <= 501.0  # requested at 1 ms, with a deadline of 500 ms


@pytest.mark.parametrize(
    ("minimum_coverage", "refused"), [(0.0, False), (0.66, False), (0.67, True), (1.0, True)]
)
def test_a_query_below_its_minimum_coverage_is_refused(minimum_coverage, refused):
    declarations = make_declarations(minimum_coverage=minimum_coverage)
    driver = Driver(
        declarations, reply_to_all_attempts(ConnectionLost("reset")), quarantine=NO_QUARANTINE
    )
    driver.request_search()
    driver.run()
    # Of the outcomes of a search, only `Refused` has the field `not_run`.
    assert hasattr(driver.outcome(), "not_run") is refused


@pytest.mark.parametrize(("probe_answered", "answered"), [(True, 3), (False, 2)])
def test_a_shard_whose_targets_are_all_suspected_waits_for_evidence(probe_answered, answered):
    driver = Driver()
    suspected = [f"balcao-00-{zone}" for zone in "abc"]
    driver.probe_snapshots = lambda target_id: ()
    for target_id in suspected:
        driver.apply_event(TargetEvidenceReceived(target_id, TargetEvidence.CONNECTION_CLOSED))
    driver.request_search()
    evidence = TargetEvidence.PROBE_ANSWERED if probe_answered else TargetEvidence.PROBE_FAILED
    for target_id in suspected:
        driver.schedule(
            driver.now_ms + 4.0, TargetEvidenceReceived(target_id, evidence, (OLD, NEW))
        )
    driver.run(until_ms=60.0)
    assert driver.outcome().coverage.answered == answered
