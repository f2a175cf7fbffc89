"""Guards against searches that wait for slow replicas, and against hedges that overload others.

Replicas are slow for a time, frozen or lost, so that hedges, retries and trials add to the load.
"""

import pytest

from savoryarch.model import (
    CallerDisconnected,
    CancelAttempt,
    ConnectionLost,
    SendAttempt,
    TargetFailed,
)
from savoryarch.quarantine import QuarantineSettings
from savoryarch.search import (
    BudgetedRetries,
    FixedDelayHedging,
    FixedRetries,
    NoHedging,
    QuantileHedging,
    SearchSettings,
)
from savoryarch.search.tests.driver import NEW, OLD, Driver, make_declarations, return_part
from savoryarch.targets import is_slow

FROZEN_MS = 1e9


def slow_target(target_id, slow_ms, from_ms=0.0, until_ms=1e12):
    """Return a script in which one target is slow for a time, and all others reply after 5 ms."""

    def script(send, now_ms):
        is_slow_now = send.target_id == target_id and from_ms <= now_ms < until_ms
        return return_part(send, slow_ms if is_slow_now else 5.0)

    return script


def request_many(driver, count, gap_ms=10.0, name="r"):
    """Send requests at regular intervals, and run until the last one is answered."""
    start_ms = driver.now_ms
    for number in range(count):
        driver.run(until_ms=start_ms + number * gap_ms)
        driver.request_search(f"{name}{number}")
    driver.run(until_ms=start_ms + count * gap_ms + 600.0)


@pytest.mark.parametrize(
    ("hedging", "sent", "answered_after_ms"),
    [
        (NoHedging(), 3, 100.0),
        (FixedDelayHedging(20.0), 4, 25.0),
        (FixedDelayHedging(0.0), 6, 5.0),
        (QuantileHedging(first_delay_ms=30.0), 4, 35.0),
    ],
)
def test_a_slow_attempt_is_hedged_by_the_policy(hedging, sent, answered_after_ms):
    script = slow_target("balcao-00-a", 100.0)
    driver = Driver(script=script, search=SearchSettings(hedging=hedging))
    driver.request_search()  # at 1 ms
    driver.run(until_ms=300.0)
    assert len(driver.sends) == sent
    assert driver.answered_at_ms["r1"] == 1.0 + answered_after_ms
    cancelled = {send.attempt_id for send in driver.sends if send.attempt_id in driver.cancelled}
    assert len(cancelled) == sent - 3
    assert set(driver.in_flight().values()) == {0}


def test_a_second_hedge_is_sent_when_the_first_is_overdue_as_well():
    def script(send, now_ms):
        return return_part(send, 5.0 if send.target_id[-1] == "c" else FROZEN_MS)

    driver = Driver(make_declarations(shards=1), script)
    driver.request_search()
    driver.run()
    assert [send.target_id[-1] for send in driver.sends] == ["a", "b", "c"]
    assert driver.outcome().coverage.answered == 1


@pytest.mark.parametrize(
    ("share", "burst", "max_extra_share"), [(0.05, 5, 0.05), (0.2, 5, 0.2), (0.0, 5, 0.0)]
)
def test_hedges_and_retries_share_one_budget(share, burst, max_extra_share):
    def script(send, now_ms):
        number = int(send.attempt_id.partition("/")[2])
        if number % 3 == 0:
            return 3.0, TargetFailed(500, "error")
        return return_part(send, FROZEN_MS if number % 3 == 1 else 5.0)

    driver = Driver(
        make_declarations(shards=3, deadline_ms=80.0, extra_load_share=share),
        script,
        search=SearchSettings(extra_load_burst=burst, hedging=QuantileHedging(10.0)),
    )
    request_many(driver, 100, gap_ms=100.0)
    first_attempts = 100 * 3
    assert len({request_id for _, request_id in sends_with_requests(driver)}) == 100
    extra = len(driver.sends) - first_attempts
    assert burst <= extra <= first_attempts * max_extra_share + burst


def sends_with_requests(driver):
    return [(send, driver.request_ids[send.attempt_id]) for send in driver.sends]


@pytest.mark.parametrize(
    ("retries", "sent"), [(FixedRetries(0), 1), (FixedRetries(1), 2), (BudgetedRetries(2), 3)]
)
def test_a_failing_shard_is_retried_by_the_policy(retries, sent):
    driver = Driver(
        make_declarations(shards=1),
        lambda send, now_ms: (2.0, ConnectionLost("reset")),
        search=SearchSettings(retries=retries),
        quarantine=QuarantineSettings(crashes=100),
    )
    driver.request_search()
    driver.run(until_ms=400.0)
    assert len(driver.sends) == sent


@pytest.mark.parametrize("slow_ms", [100.0, FROZEN_MS])
def test_new_work_avoids_a_slow_target_until_trials_show_that_it_has_recovered(slow_ms):
    # A target that gets no work has no new latencies, so that only trials can show its recovery.
    driver = Driver(script=slow_target("balcao-00-a", slow_ms, 2000.0, 6000.0))
    request_many(driver, 100, name="before")
    driver.run(until_ms=2000.0)
    request_many(driver, 100, name="slow")
    assert is_slow(driver.targets.usages["balcao-00-a"])
    # Without a slow attempt, an answer takes 5 ms.
    late = [
        name for name in driver.answers if name.startswith("slow") and duration_ms(driver, name) > 8
    ]
    assert len(late) <= 4
    driver.run(until_ms=6000.0)
    request_many(driver, 200, name="after")
    assert not is_slow(driver.targets.usages["balcao-00-a"])
    assert all(outcome.coverage.answered == 3 for (outcome,) in driver.answers.values())


def duration_ms(driver, request_id):
    return driver.answered_at_ms[request_id] - driver.requested_at_ms[request_id]


def test_the_loss_of_a_zone_costs_no_coverage_and_little_extra_load():
    # Retries of all requests to the lost zone must not overload the other zones.
    def script(send, now_ms):
        if send.target_id.endswith("a") and now_ms >= 1000.0:
            return 1.0, ConnectionLost("cut")
        return return_part(send)

    driver = Driver(make_declarations(shards=5), script)
    driver.probe_snapshots = lambda target_id: (
        () if target_id.endswith("a") and driver.now_ms >= 1000.0 else (OLD, NEW)
    )
    request_many(driver, 200)
    assert all(outcome.coverage.answered == 5 for (outcome,) in driver.answers.values())
    to_lost_zone = [send for send in driver.sends if send.target_id.endswith("a")]
    assert len(driver.sends) <= 200 * 5 * 1.05
    # Half of the 200 searches of 5 shards are sent before the loss of the zone.
    assert len(to_lost_zone) <= 100 * 5 + 10


def test_the_attempts_of_a_caller_that_disconnects_are_cancelled():
    driver = Driver(script=lambda send, now_ms: return_part(send, FROZEN_MS))
    driver.request_search()
    driver.apply_event(CallerDisconnected("r1"))
    sent = {effect.attempt_id for effect in driver.effects if isinstance(effect, SendAttempt)}
    cancelled = {
        effect.attempt_id for effect in driver.effects if isinstance(effect, CancelAttempt)
    }
    assert sent == cancelled
    driver.run()
    assert driver.answers == {}
    assert set(driver.in_flight().values()) == {0}
