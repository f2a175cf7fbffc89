"""Requests under load while targets leave or ask for a pause.

Load pattern: many requests arrive while the targets of a service refuse with a pause, or leave.
Requests that cannot be served in time are refused at once, truthfully, and their clients return
when a target takes requests again, not all at the same moment.
"""

import pytest

from savoryarch.forwarding.tests.driver import SHARDS, Driver, returned
from savoryarch.model import (
    AttemptEnded,
    Declarations,
    DeclarationsInForce,
    NotSent,
    RefusalReason,
    Refused,
    Shed,
    TargetAdvice,
    TargetAdvised,
    TargetEvidence,
)
from savoryarch.model.forwarding import ShardsAnswered, TargetAnswered
from savoryarch.utils import replace


def advise(driver, advice, *services, count=None):
    """Let `count` targets (default: all) of each service state `advice`."""
    for service in services:
        for target_id in driver.targets.services[service].target_ids[:count]:
            driver.feed(TargetAdvised(target_id, advice))


def pause(ms):
    return TargetAdvice(hold_ms=ms)


LEAVES = TargetAdvice(leaving=True)


@pytest.mark.parametrize(
    ("path", "services", "advice", "reason"),
    [
        ("/read/1", ["shop"], pause(1000.0), RefusalReason.OVERLOADED),
        ("/order/1", ["shop"], pause(1000.0), RefusalReason.OVERLOADED),
        ("/read/1", ["shop"], LEAVES, RefusalReason.NO_TARGET),
        ("/order/1", ["shop"], LEAVES, RefusalReason.NO_TARGET),
        ("/find/1", SHARDS[:2], pause(1000.0), RefusalReason.OVERLOADED),
        ("/find/1", SHARDS[:2], LEAVES, RefusalReason.NO_TARGET),
        # One shard of ten may be missing, and a pause that ends in time is awaited.
        ("/find/1", SHARDS[:1], pause(1000.0), None),
        ("/find/1", SHARDS[:1], LEAVES, None),
        ("/read/1", ["shop"], pause(20.0), None),
        ("/read/1", ["depot"], pause(1000.0), None),
    ],
)
def test_what_cannot_be_served_in_time_is_refused_at_once(path, services, advice, reason):
    driver = Driver()
    advise(driver, advice, *services)
    driver.send_request(path)
    outcome = driver.outcome()
    if reason is None:
        assert outcome is None
        return
    assert isinstance(outcome, Refused) and outcome.not_run
    assert outcome.reason is reason
    assert driver.sends() == []


def test_the_retry_is_suggested_for_when_the_first_target_takes_requests_again():
    driver = Driver()
    ends_ms = (700.0, 900.0, 1100.0)
    for target_id, hold_ms in zip(driver.targets.services["shop"].target_ids, ends_ms, strict=True):
        driver.feed(TargetAdvised(target_id, pause(hold_ms)))
    names = [driver.send_request("/read/1", remaining_ms=3000.0) for _ in range(50)]
    retries_ms = [driver.outcome(name).retry_after_ms for name in names]
    assert min(retries_ms) >= min(ends_ms)
    assert max(retries_ms) <= min(ends_ms) + 1000.0
    assert max(retries_ms) - min(retries_ms) > 300.0
    assert len({round(ms) for ms in retries_ms}) > 40


def test_a_search_returns_when_enough_shards_take_requests_again():
    driver = Driver()
    for number, shard in enumerate(SHARDS[:4]):
        advise(driver, pause(1000.0 + 100.0 * number), shard)
    driver.send_request("/find/1", remaining_ms=9000.0)
    # Nine of ten shards are needed, so that the third of the four pauses has to end.
    assert driver.outcome().retry_after_ms >= 1200.0


@pytest.mark.parametrize("advice", [pause(5000.0), LEAVES])
def test_requests_that_wait_for_a_service_are_refused_as_soon_as_it_cannot_serve_them(advice):
    driver = Driver(replicas=1, slots=1)
    driver.send_request("/read/1", remaining_ms=6000.0)
    waiting = [driver.send_request("/read/1", remaining_ms=6000.0) for _ in range(2)]
    (running,) = driver.pop_sends()
    assert [driver.outcome(name) for name in waiting] == [None, None]
    advise(driver, advice, "shop")
    for name in waiting:
        assert isinstance(driver.outcome(name), Refused)
    driver.end_attempt(running, returned())
    assert isinstance(driver.outcome("q1"), TargetAnswered)


@pytest.mark.parametrize("path", ["/read/1", "/order/1"])
@pytest.mark.parametrize("advice", [pause(5000.0), LEAVES])
def test_a_refusal_with_advice_is_retried_at_another_target(path, advice):
    driver = Driver()
    driver.send_request(path)
    (first,) = driver.pop_sends()
    driver.feed(TargetAdvised(first.target_id, advice))
    driver.end_attempt(first, Shed())
    (second,) = driver.pop_sends()
    assert second.target_id != first.target_id
    driver.end_attempt(second, returned())
    assert isinstance(driver.outcome(), TargetAnswered)


@pytest.mark.parametrize("path", ["/read/1", "/order/1"])
def test_attempts_returned_unsent_go_to_other_targets_or_are_refused_truthfully(path):
    driver = Driver()
    driver.send_request(path)
    for _ in range(3):
        (send,) = driver.pop_sends()
        driver.feed(TargetAdvised(send.target_id, LEAVES))
        driver.end_attempt(send, NotSent("the target gets no more requests"))
    outcome = driver.outcome()
    assert isinstance(outcome, Refused) and outcome.not_run


def test_a_new_target_serves_as_soon_as_it_is_known():
    driver = Driver(replicas=1)
    advise(driver, LEAVES, "shop")
    driver.send_request("/read/1")
    assert isinstance(driver.outcome(), Refused)
    services = driver.targets.declared_services
    service = services["shop"]
    target = type(service.targets[0])("shop-new", "shop", "zone-a", "127.0.0.1", 2)
    service = type(service)(
        service.name, service.group, service.slots, service.connection_limit, (target,)
    )
    driver.feed(DeclarationsInForce(Declarations(2, services=services.set("shop", service))))
    driver.report_evidence("shop-new", TargetEvidence.CONNECTED)
    driver.send_request("/read/1")
    (send,) = driver.pop_sends()
    assert send.target_id == "shop-new"


def test_under_load_a_paused_target_gets_nothing_and_the_others_serve():
    """A thousand requests in two seconds, while one of three targets asks for pauses of 0.5 s."""
    driver = Driver(slots=4)
    paused_until_ms, paused_id = 0.0, driver.targets.services["shop"].target_ids[0]
    served = 0
    for number in range(1000):
        driver.advance(2.0 * number)
        name = driver.send_request("/read/1")
        for send in driver.pop_sends():
            if send.target_id == paused_id:
                assert driver.now_ms >= paused_until_ms
                paused_until_ms = driver.now_ms + 500.0
                driver.feed(TargetAdvised(paused_id, pause(500.0)))
                driver.end_attempt(send, Shed())
            else:
                driver.end_attempt(send, returned())
        for send in driver.pop_sends():
            driver.end_attempt(send, returned())
        served += isinstance(driver.outcome(name), TargetAnswered)
    assert served == 1000


def test_a_shard_that_pauses_during_a_search_is_left_out_and_the_answer_says_so():
    driver = Driver()
    driver.send_request("/find/1")
    sends = driver.pop_sends()
    advise(driver, pause(5000.0), SHARDS[0])
    for send in sends:
        reply = Shed() if driver.service_of(send) == SHARDS[0] else returned()
        driver.end_attempt(send, reply)
    outcome = driver.outcome()
    assert isinstance(outcome, ShardsAnswered) and outcome.missing_shards == 1


def run_load(driver, requests_per_s, others_in_flight, for_ms=2000.0, work_ms=15.0):
    """Send reads for a while to a service whose targets report the load of other instances.

    Each attempt is answered after `work_ms`, with the requests that the target has then:
    those of this instance and `others_in_flight`, None if the targets report nothing. Returns the
    share of the requests that were refused.
    """
    names, running = [], []
    for number in range(int(for_ms / 1000.0 * requests_per_s)):
        driver.advance(number * 1000.0 / requests_per_s)
        names.append(driver.send_request("/read/1"))
        running += [(driver.now_ms + work_ms, send) for send in driver.pop_sends()]
        for item in [item for item in running if item[0] <= driver.now_ms]:
            running.remove(item)
            in_flight = driver.targets.usages[item[1].target_id].in_flight
            reported = None if others_in_flight is None else in_flight + others_in_flight
            driver.feed(
                AttemptEnded(
                    item[1].attempt_id, item[1].target_id, returned(), target_in_flight=reported
                )
            )
            running += [(driver.now_ms + work_ms, send) for send in driver.pop_sends()]
    return sum(isinstance(driver.outcome(name), Refused) for name in names) / len(names)


@pytest.mark.parametrize(
    ("others_in_flight", "most_refused", "least_refused"),
    [
        (0, 0.02, 0.0),  # the other instances are idle: all slots may be used
        (None, 1.0, 0.1),  # nothing is known of them: this instance keeps to its share
        (40, 1.0, 0.1),  # they use the targets to the bound: it keeps to its share
    ],
)
def test_one_instance_that_gets_all_requests_uses_what_the_others_leave_free(
    others_in_flight, most_refused, least_refused
):
    """Six instances are listed, and the targets could serve 800 requests a second.

    The load balancer sends all requests to one instance until the others have answered its checks.
    """
    driver = Driver(slots=4)
    driver.targets = replace(driver.targets, live_instances=6)
    refused = run_load(driver, 600.0, others_in_flight)
    assert least_refused <= refused <= most_refused


@pytest.mark.parametrize("gone", [0, 1])
def test_an_overloaded_search_is_refused_also_if_a_shard_is_not_declared(gone):
    """The log of the load must not fail on a service without targets: no answer would be sent."""
    driver = Driver(slots=1)
    services = driver.targets.declared_services
    for shard in SHARDS[:gone]:
        services = services.delete(shard)
    driver.feed(DeclarationsInForce(Declarations(2, services=services)))
    names = [driver.send_request("/find/1") for _ in range(30)]
    refusals = [item for name in names if isinstance(item := driver.outcome(name), Refused)]
    assert refusals
    assert {refusal.reason for refusal in refusals} == {RefusalReason.OVERLOADED}
    assert len(refusals) + len(driver.state.forwards) == len(names)
