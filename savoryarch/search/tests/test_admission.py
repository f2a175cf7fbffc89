"""Guards against queries that start although they must wait, or that wait without end.

Both come about when capacity, a deadline, the caller, the quarantine or a stop of the instance
decides on a query before it is fanned out.
"""

import pytest

from savoryarch.admission import AdmissionSettings, FixedLimit
from savoryarch.model import (
    BroadcastToPeers,
    CallerDisconnected,
    ConnectionLost,
    PeerMessageReceived,
    PeersChanged,
    Priority,
    RefusalReason,
    Refused,
    RequestIntakeStopped,
    SendToPeer,
    ShutdownTimeExpired,
)
from savoryarch.quarantine import QuarantineDeclared, fingerprint_request
from savoryarch.search import FixedDelayHedging, SearchSettings, unfinished_requests
from savoryarch.search.tests.driver import Driver, make_declarations, return_part

ONE_AT_A_TIME = AdmissionSettings(policy=FixedLimit(3.0), urgent_headroom=0.0)
POISON = b'{"part": "poison"}'


def crash_on_poison(send, now_ms):
    if send.request.query == POISON and send.target_id.startswith("balcao-00"):
        return 2.0, ConnectionLost("reset")
    return return_part(send, 20.0)


@pytest.mark.parametrize(
    ("priorities", "order"),
    [
        ([Priority.NORMAL] * 3, ["r0", "r1", "r2"]),
        ([Priority.BATCH, Priority.BATCH, Priority.URGENT], ["r0", "r2", "r1"]),
        ([Priority.BATCH, Priority.BATCH, Priority.NORMAL], ["r0", "r2", "r1"]),
    ],
)
def test_queries_wait_for_admission_and_start_by_priority(priorities, order):
    driver = Driver(script=lambda send, now: return_part(send, 20.0), admission=ONE_AT_A_TIME)
    for number, priority in enumerate(priorities):
        driver.request_search(f"r{number}", priority=priority)
    assert sorted(unfinished_requests(driver.search)) == ["r0", "r1", "r2"]
    assert len(driver.sends) == 3
    driver.run()
    assert sorted(driver.answered_at_ms, key=driver.answered_at_ms.get) == order
    assert [driver.answered_at_ms[name] for name in order] == [21.0, 41.0, 61.0]


@pytest.mark.parametrize(
    ("deadline_ms", "reason"),
    [(30.0, RefusalReason.OVERLOADED), (2.0, RefusalReason.DEADLINE_TOO_SHORT)],
)
def test_a_query_that_cannot_meet_its_deadline_is_refused_as_not_run(deadline_ms, reason):
    driver = Driver(script=lambda send, now: return_part(send, 100.0), admission=ONE_AT_A_TIME)
    driver.request_search("r0")
    driver.request_search("r1", deadline_at_ms=driver.now_ms + deadline_ms)
    driver.run(until_ms=60.0)
    outcome = driver.outcome("r1")
    assert (outcome.reason, outcome.not_run) == (reason, True)
    assert "r1" not in driver.request_ids.values()


def test_a_waiting_query_whose_caller_disconnects_never_starts():
    driver = Driver(script=lambda send, now: return_part(send, 20.0), admission=ONE_AT_A_TIME)
    for name in ("r0", "r1", "r2"):
        driver.request_search(name)
    driver.apply_event(CallerDisconnected("r1"))
    driver.run()
    assert set(driver.answers) == {"r0", "r2"}
    assert set(driver.request_ids.values()) == {"r0", "r2"}


def test_a_stopping_instance_answers_the_queries_that_it_has_accepted():
    driver = Driver(script=lambda send, now: return_part(send, 20.0), admission=ONE_AT_A_TIME)
    driver.request_search("r0")
    driver.request_search("r1")
    driver.apply_event(RequestIntakeStopped())
    driver.request_search("r2")
    driver.run()
    refused = driver.outcome("r2")
    assert (refused.reason, refused.not_run) == (RefusalReason.STOPPING, True)
    assert not any(isinstance(driver.outcome(name), Refused) for name in ("r0", "r1"))
    assert unfinished_requests(driver.search) == ()


@pytest.mark.parametrize(
    ("request_id", "slow_shards", "outcome"),
    [
        ("r0", 3, (RefusalReason.STOPPING, False)),
        ("r0", 2, (RefusalReason.STOPPING, False)),
        ("r0", 1, 2),
        # Still waits for admission.
        ("r1", 1, (RefusalReason.STOPPING, True)),
    ],
)
@pytest.mark.parametrize("intake_stopped", [True, False])
def test_the_end_of_a_shutdown_answers_every_search(
    request_id, slow_shards, outcome, intake_stopped
):
    """Guards against searches that a planned stop cuts without an answer.

    `outcome` has the reason of a refusal and whether it says not run, or the shards in the answer.
    """
    slow = {f"balcao-{number:02}" for number in range(slow_shards)}

    def reply(send, now_ms):
        is_slow = send.target_id.rpartition("-")[0] in slow
        return return_part(send, 400.0 if is_slow else 5.0)

    driver = Driver(make_declarations(minimum_coverage=0.6), reply, admission=ONE_AT_A_TIME)
    driver.request_search("r0")
    driver.request_search("r1")
    driver.run(until_ms=50.0)
    if intake_stopped:
        driver.apply_event(RequestIntakeStopped())
    driver.apply_event(ShutdownTimeExpired())
    answer = driver.outcome(request_id)
    if isinstance(answer, Refused):
        assert (answer.reason, answer.not_run) == outcome
    else:
        assert answer.coverage.answered == outcome
    assert unfinished_requests(driver.search) == ()
    driver.request_search("r2")
    assert driver.outcome("r2").reason is RefusalReason.STOPPING


def test_a_query_that_crashes_two_targets_is_quarantined():
    # Without the quarantine, retries of the query would crash every replica of the shard.
    driver = Driver(script=crash_on_poison)
    driver.request_search("r0", POISON)
    driver.request_search("r1", b"{}")
    driver.run(until_ms=600.0)
    driver.request_search("r2", POISON)
    driver.request_search("r3", b"{}")
    driver.run()
    crashes = [send for send in driver.sends if send.request.query == POISON]
    crashed = [send.target_id for send in crashes if send.target_id.startswith("balcao-00")]
    assert len(crashed) == len(set(crashed)) == 2
    assert driver.outcome("r0").reason is RefusalReason.QUARANTINED
    assert driver.outcome("r0").not_run is False
    assert (driver.outcome("r2").reason, driver.outcome("r2").not_run) == (
        RefusalReason.QUARANTINED,
        True,
    )
    assert driver.outcome("r1").coverage.answered == driver.outcome("r3").coverage.answered == 3
    assert any(isinstance(effect, BroadcastToPeers) for effect in driver.effects)


def test_quarantines_of_peers_are_applied_and_sent_to_new_peers():
    driver = Driver(script=crash_on_poison)
    fingerprint = fingerprint_request("catalogue", POISON)
    driver.apply_event(PeerMessageReceived("entry-b", QuarantineDeclared(fingerprint, 60_000.0)))
    driver.request_search("r0", POISON)
    assert driver.outcome("r0").reason is RefusalReason.QUARANTINED
    assert driver.sends == []
    driver.apply_event(PeersChanged(("entry-c",)))
    assert SendToPeer("entry-c", QuarantineDeclared(fingerprint, 60_000.0)) in driver.effects


def test_shards_wait_for_capacity_and_urgent_ones_are_sent_first():
    driver = Driver(
        make_declarations(slots=1, replicas=1), lambda send, now: return_part(send, 20.0)
    )
    for name, priority in (("r0", None), ("r1", Priority.BATCH), ("r2", Priority.URGENT)):
        driver.request_search(name, priority=priority)
    assert max(driver.in_flight().values()) == 1
    driver.run()
    assert [driver.answered_at_ms[name] for name in ("r0", "r2", "r1")] == [21.0, 41.0, 61.0]


def test_a_query_that_waits_too_long_is_refused_by_the_admission_timer():
    # Refusals of waiting queries must not depend on other events, so no other timer is due here.
    driver = Driver(
        script=lambda send, now: return_part(send, 400.0),
        search=SearchSettings(hedging=FixedDelayHedging(1000.0)),
        admission=ONE_AT_A_TIME,
    )
    driver.request_search("r0")
    driver.request_search("r1", deadline_at_ms=driver.now_ms + 100.0)
    driver.run(until_ms=150.0)
    outcome = driver.outcome("r1")
    assert (outcome.reason, outcome.not_run) == (RefusalReason.OVERLOADED, True)
    assert driver.answered_at_ms["r1"] <= 101.0
