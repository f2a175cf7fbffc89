"""Outcomes of forwarded requests, by their routes and by the replies of their targets."""

import pytest

from savoryarch.forwarding import merge_records
from savoryarch.forwarding.tests.driver import SHARDS, Driver, returned
from savoryarch.model import (
    Cancelled,
    ConnectionLost,
    MalformedReply,
    Misdirected,
    NotSent,
    ProbeTarget,
    RefusalReason,
    Refused,
    RequestIntakeStopped,
    Shed,
    ShutdownTimeExpired,
    TargetEvidence,
    TimedOut,
)
from savoryarch.model.forwarding import ShardsAnswered, TargetAnswered, Unanswered

LOST = ConnectionLost("reset")
NOT_SENT = NotSent("refused")


def summary(outcome):
    match outcome:
        case TargetAnswered(status=status):
            return status
        case ShardsAnswered(missing_shards=missing):
            return f"{missing} missing"
        case Refused(reason=reason):
            assert outcome.not_run
            return reason.value
        case Unanswered(timed_out=timed_out):
            return "timed out" if timed_out else "failed"
        case None:
            return None


@pytest.mark.parametrize(
    ("path", "services", "outcome"),
    [
        ("/read/1", {"shop"}, None),
        ("/read/1?q=/read/deep/", {"shop"}, None),
        ("/read/deep/1", {"depot"}, None),
        ("/find/1", set(SHARDS), None),
        ("/read", set(), "unknown_route"),
        ("/other/1", set(), "unknown_route"),
    ],
)
def test_the_longest_prefix_selects_the_route(path, services, outcome):
    driver = Driver()
    driver.send_request(path)
    assert {driver.service_of(send) for send in driver.sends()} == services
    assert summary(driver.outcome()) == outcome


def test_a_split_distributes_requests_by_weight():
    driver = Driver(slots=100)
    for _ in range(400):
        driver.send_request("/split/1")
        for send in driver.sends()[-1:]:
            driver.end_attempt(send, returned())
    counts = [driver.service_of(send) for send in driver.sends()]
    assert counts.count("shop") == 300
    assert counts.count("depot") == 100


@pytest.mark.parametrize(
    ("path", "replies", "sends", "outcome"),
    [
        ("/read/1", [returned()], 1, 200),
        ("/read/1", [returned(404)], 1, 404),
        ("/read/1", [returned(500), returned()], 2, 200),
        ("/read/1", [LOST, returned()], 2, 200),
        ("/read/1", [LOST, LOST], 2, "failed"),
        ("/read/1", [MalformedReply("x"), returned()], 2, 200),
        ("/read/1", [Shed(), returned()], 2, 200),
        ("/read/1", [Misdirected(), returned()], 2, 200),
        ("/read/1", [NOT_SENT, NOT_SENT, NOT_SENT], 3, "no_target"),
        ("/order/1", [returned()], 1, 200),
        ("/order/1", [returned(500)], 1, 500),
        ("/order/1", [LOST], 1, "failed"),
        ("/order/1", [TimedOut()], 1, "failed"),
        ("/order/1", [Cancelled()], 1, "failed"),
        ("/order/1", [MalformedReply("x")], 1, "failed"),
        ("/order/1", [Shed(), returned()], 2, 200),
        ("/order/1", [Misdirected(), returned()], 2, 200),
        ("/order/1", [Shed(), LOST], 2, "failed"),
        ("/order/1", [NOT_SENT, LOST], 2, "failed"),
        ("/order/1", [NOT_SENT, NOT_SENT, NOT_SENT], 3, "no_target"),
    ],
)
def test_only_idempotent_requests_are_retried_after_they_may_have_run(
    path, replies, sends, outcome
):
    driver = Driver()
    driver.send_request(path)
    sent = 0
    for reply in replies:
        (send,) = driver.pop_sends()
        sent += 1
        driver.end_attempt(send, reply)
    assert driver.pop_sends() == []
    assert sent == sends
    assert summary(driver.outcome()) == outcome


@pytest.mark.parametrize(
    ("reply", "probed"), [(LOST, True), (NOT_SENT, False), (TimedOut(), False), (returned(), False)]
)
def test_a_target_whose_connection_was_lost_is_probed_immediately(reply, probed):
    driver = Driver()
    driver.send_request("/read/1")
    (send,) = driver.pop_sends()
    effects = driver.end_attempt(send, reply)
    probes = [item.target_id for item in effects if isinstance(item, ProbeTarget)]
    assert probes == ([send.target_id] if probed else [])


@pytest.mark.parametrize(
    ("path", "replies", "targets"),
    [
        ("/order/1", [returned()], 1),
        ("/read/1", [returned()], 1),
        ("/read/1", [LOST, returned()], 2),
        ("/read/1", [NOT_SENT, returned()], 1),
    ],
)
def test_the_log_line_of_a_request_names_the_targets_that_it_reached(path, replies, targets):
    driver = Driver()
    driver.send_request(path)
    for reply in replies:
        driver.end_attempt(driver.sends()[-1], reply)
    (line,) = [item for item in driver.effects if getattr(item, "name", "") == "request_ended"]
    target_ids = dict(line.fields)["targets"].split(",")
    assert len(target_ids) == targets
    assert driver.sends()[-1].target_id in target_ids


@pytest.mark.parametrize(("path", "max_targets"), [("/read/1", 2), ("/find/1", 2)])
def test_a_request_reaches_no_more_targets_than_its_route_allows(path, max_targets):
    driver = Driver()
    driver.send_request(path)
    for _ in range(20):
        for send in driver.sends()[-10:]:
            driver.end_attempt(send, Shed())
        driver.advance(driver.now_ms - 1000.0 + 30.0)
    reached = {}
    for send in driver.sends():
        reached.setdefault(driver.service_of(send), set()).add(send.target_id)
    assert max(map(len, reached.values())) == max_targets


@pytest.mark.parametrize(
    ("answered", "at_ms", "outcome"),
    [
        (10, 10.0, "0 missing"),
        (9, 80.0, None),
        (9, 90.0, "1 missing"),
        (8, 90.0, None),
        (8, 1600.0, "timed out"),
    ],
)
def test_an_answer_waits_for_all_shards_until_its_objective(answered, at_ms, outcome):
    driver = Driver().with_settings(extra_ratio=0.0, extra_requests=0.0)
    driver.send_request("/find/1")
    for send in driver.pop_sends()[:answered]:
        driver.end_attempt(send, returned())
    driver.advance(at_ms)
    assert summary(driver.outcome()) == outcome


def test_a_request_past_its_objective_is_answered_once_enough_shards_replied():
    driver = Driver().with_settings(extra_ratio=0.0, extra_requests=0.0)
    driver.send_request("/find/1")
    sends = driver.pop_sends()
    for send in sends[:8]:
        driver.end_attempt(send, returned())
    driver.advance(200.0)
    assert driver.outcome() is None
    driver.end_attempt(sends[8], returned())
    assert summary(driver.outcome()) == "1 missing"
    assert driver.cancelled() == [sends[9].attempt_id]


@pytest.mark.parametrize(
    ("unavailable", "outcome", "sends"), [(1, None, 9), (2, "no_target", 0), (10, "no_target", 0)]
)
def test_a_request_without_enough_available_shards_is_refused_immediately(
    unavailable, outcome, sends
):
    driver = Driver()
    driver.refuse_connections(*SHARDS[:unavailable])
    driver.send_request("/find/1")
    assert summary(driver.outcome()) == outcome
    assert len(driver.sends()) == sends


def test_a_request_that_may_have_run_is_not_reported_as_not_run():
    """Two of ten shards lose every connection after the request was sent."""
    driver = Driver()
    driver.send_request("/find/1")
    for _ in range(4):
        for send in driver.pop_sends():
            if driver.service_of(send) in SHARDS[:2]:
                driver.end_attempt(send, LOST)
    assert summary(driver.outcome()) == "failed"


@pytest.mark.parametrize(
    ("path", "hedged"), [("/read/1", True), ("/find/1", True), ("/order/1", False)]
)
def test_a_slow_attempt_is_hedged_if_its_route_is_idempotent(path, hedged):
    driver = Driver()
    driver.send_request(path)
    first = {driver.service_of(send): send for send in driver.pop_sends()}
    driver.advance(36.0)
    second = driver.pop_sends()
    assert bool(second) == hedged
    for send in second:
        assert send.target_id != first[driver.service_of(send)].target_id
        driver.end_attempt(send, returned())
    assert (driver.outcome() is not None) == hedged


@pytest.mark.parametrize(
    ("ratio", "extra", "least", "most"),
    [(0.2, 0.0, 10, 20), (0.0, 40.0, 5, 10), (0.2, 40.0, 15, 30), (0.0, 0.0, 0, 0)],
)
def test_hedges_stay_within_the_budget_of_the_service(ratio, extra, least, most):
    """One of four instances sends 100 requests within a window, and each attempt is slow."""
    driver = Driver().with_settings(extra_ratio=ratio, extra_requests=extra)
    sent = 0
    for number in range(100):
        driver.send_request(f"/read/{number}")
        driver.advance(number * 50.0 + 40.0)
        sends = driver.pop_sends()
        sent += len(sends)
        for send in sends:
            driver.end_attempt(send, returned())
        driver.advance(number * 50.0 + 50.0)
    assert least <= sent - 100 <= most


@pytest.mark.parametrize(
    ("table_age_ms", "listed", "hedged"),
    [(0.0, 4, 1), (2500.0, 4, 2), (10_000.0, 4, 5), (10_000.0, 20, 1), (10_000.0, 41, 0)],
)
def test_an_instance_uses_only_its_share_of_the_budget_also_after_a_restart(
    table_age_ms, listed, hedged
):
    """All requests arrive at once, so that only the share of the fixed allowance is available."""
    driver = Driver(table_age_ms=table_age_ms, slots=20)
    driver.advance(2500.0)
    driver.with_settings(extra_ratio=0.0, extra_requests=40.0)
    driver.list_instances(listed)
    driver.list_instances(2)
    for number in range(10):
        driver.send_request(f"/read/{number}")
    first = len(driver.pop_sends())
    driver.advance(2536.0)
    assert first == 10
    assert len(driver.pop_sends()) == hedged


@pytest.mark.parametrize(("path", "cancels"), [("/read/1", 1), ("/find/1", 10), ("/order/1", 0)])
def test_a_disconnected_client_cancels_only_idempotent_requests(path, cancels):
    driver = Driver()
    driver.send_request(path)
    driver.disconnect_client()
    assert len(driver.cancelled()) == cancels
    for send in driver.sends():
        driver.end_attempt(send, returned())
    assert driver.outcome() is None
    assert not driver.state.attempts


@pytest.mark.parametrize(
    ("prepare", "reason"),
    [
        (lambda driver: driver.feed(RequestIntakeStopped()), "stopping"),
        (lambda driver: driver.refuse_connections("shop"), "no_target"),
    ],
)
def test_retry_times_of_refusals_spread_within_a_third_of_the_remaining_time(prepare, reason):
    driver = Driver()
    prepare(driver)
    retry_after_ms = []
    for number in range(50):
        name = driver.send_request("/read/1", remaining_ms=600.0, request_id=f"id-{number}")
        outcome = driver.outcome(name)
        assert outcome.reason is RefusalReason(reason)
        retry_after_ms.append(outcome.retry_after_ms)
    assert max(retry_after_ms) <= 200.0
    assert min(retry_after_ms) >= 50.0
    assert max(retry_after_ms) - min(retry_after_ms) > 100.0


@pytest.mark.parametrize(("priority", "path"), [(1, "/read/1"), (5, "/slow/1")])
def test_a_burst_is_refused_immediately_and_the_least_urgent_first(priority, path):
    driver = Driver()
    admitted = 0
    while summary(driver.outcome(driver.send_request(path))) != "overloaded":
        admitted += 1
    # Four instances share three targets with two slots each, so the share of this one is 1.5.
    assert admitted == {1: 6, 5: 3}[priority]


def test_a_burst_on_too_many_shards_refuses_complete_searches():
    driver = Driver()
    outcomes = [summary(driver.outcome(driver.send_request("/find/1"))) for _ in range(12)]
    assert "overloaded" in outcomes
    assert outcomes == sorted(outcomes, key=lambda outcome: outcome is not None)


def test_a_waiting_request_is_sent_when_a_slot_is_free():
    """The third request is sent before the second one, whose route is less urgent."""
    driver = Driver(replicas=1, slots=1).with_settings(overload_ratio=100.0)
    driver.send_request("/read/1")
    driver.send_request("/slow/2")
    driver.send_request("/read/3")
    (first,) = driver.pop_sends()
    driver.end_attempt(first, returned())
    (second,) = driver.pop_sends()
    assert second.request.path == b"/read/3"


def test_a_request_that_finds_no_capacity_in_time_is_refused():
    driver = Driver(replicas=1, slots=1).with_settings(overload_ratio=100.0)
    driver.send_request("/read/1")
    driver.send_request("/read/2")
    driver.advance(24.0)
    assert driver.outcome("q2") is None
    driver.advance(26.0)
    assert summary(driver.outcome("q2")) == "overloaded"


def test_a_request_that_crashes_targets_is_quarantined():
    driver = Driver()
    for attempt in range(3):
        driver.send_request("/read/1", body=b"poison", request_id=f"again-{attempt}")
        for send in driver.pop_sends():
            driver.end_attempt(send, LOST)
            driver.report_evidence(send.target_id, TargetEvidence.CONNECTION_REFUSED)
        for send in driver.pop_sends():
            driver.end_attempt(send, LOST)
        driver.advance(2000.0 * (attempt + 1))
    name = driver.send_request("/read/1", body=b"poison")
    assert summary(driver.outcome(name)) == "quarantined"
    assert summary(driver.outcome(driver.send_request("/read/2"))) is None


@pytest.mark.parametrize(
    ("bodies", "top", "merged"),
    [
        ([], 2, b""),
        ([b"a" * 16], 2, b"a" * 16),
        ([b"a" * 16 + b"c" * 16, b"b" * 16], 2, b"c" * 16 + b"b" * 16),
        ([b"a" * 16, b"a" * 16], 2, b"a" * 32),
        ([b"z" * 15, b"a" * 16 + b"z" * 3], 5, b"a" * 16),
    ],
)
def test_merged_records_are_the_greatest_of_all_shards(bodies, top, merged):
    assert merge_records(bodies, top) == merged


@pytest.mark.parametrize(
    ("path", "requests_before", "answered", "outcome"),
    [
        ("/order/1", 0, 0, "failed"),
        ("/read/1", 0, 0, "failed"),
        ("/find/1", 0, 0, "failed"),
        ("/find/1", 0, 9, "1 missing"),
        # The targets are full and nothing was sent, so that the client may be told so.
        ("/order/1", 3, 0, "stopping"),
        ("/find/1", 3, 0, "stopping"),
    ],
)
@pytest.mark.parametrize("intake_stopped", [True, False])
def test_the_end_of_a_shutdown_answers_every_request(
    path, requests_before, answered, outcome, intake_stopped
):
    """Guards against requests that a planned stop passes on and then cuts without an answer."""
    driver = Driver(slots=2)
    for _ in range(requests_before):
        driver.send_request(path)
    name = driver.send_request(path)
    for send in driver.sends()[:answered]:
        driver.end_attempt(send, returned(body=b""))
    if intake_stopped:
        driver.feed(RequestIntakeStopped())
    driver.feed(ShutdownTimeExpired())
    assert summary(driver.outcome(name)) == outcome
    assert not driver.state.forwards
    name = driver.send_request(path)
    assert summary(driver.outcome(name)) == "stopping"


@pytest.mark.parametrize("status", [300, 302, 400, 404, 409, 429, 500, 504])
@pytest.mark.parametrize("failing", [1, 2])
def test_a_reply_of_a_shard_that_is_no_success_is_no_part(status, failing):
    """Guards against a success that holds the digest of a target's failure.

    One of ten shards may be missing; all replicas of the failing shards reply with the status.
    """
    driver = Driver()
    driver.send_request("/find/1")
    ended = 0
    while ended < len(driver.sends()):
        send = driver.sends()[ended]
        is_failing = driver.service_of(send) in SHARDS[:failing]
        reply = returned(status, digest="bad") if is_failing else returned(body=b"")
        driver.end_attempt(send, reply)
        ended += 1
    driver.advance(1600.0)
    outcome = driver.outcome()
    if failing == 1:
        assert summary(outcome) == "1 missing"
        assert "bad" not in outcome.digests
    else:
        assert summary(outcome) in ("failed", "timed out")
