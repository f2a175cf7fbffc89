"""Guards against resends that run again, and against false answers.

Resends arrive at any instance, while the first request runs or long after it, with or without its
body, and after callers disconnect or instances die.
"""

from uuid import UUID

import pytest

from savoryarch.model import (
    AnswerRoute,
    Declarations,
    DeclarationsInForce,
    RefusalReason,
    Refused,
    RequestIntakeStopped,
    RouteDone,
    RouteOutcomeUnknown,
    RouteReturned,
    Shed,
    ShutdownTimeExpired,
)
from savoryarch.orders import OrdersSettings, unfinished_requests
from savoryarch.orders._ownership import owner_of
from savoryarch.orders.tests.simulation import Simulation, make_declarations
from savoryarch.orders.tests.test_scenarios import SHORT_RETENTION, WALL_MS

DONE = RouteDone(201, b'{"order":1}')
DONE_REPLY = RouteReturned(201, b'{"order":1}')
RECORDED = RouteDone(201, b'{"order":1}', recorded=True)


@pytest.mark.parametrize("relays", [True, False])
@pytest.mark.parametrize("first", ["a", "b", "c"])
@pytest.mark.parametrize("second", ["a", "b", "c"])
@pytest.mark.parametrize("pause_ms", [0.0, 3.0, 500.0])
def test_a_resend_anywhere_gets_the_recorded_outcome(relays, first, second, pause_ms):
    simulation = Simulation(("a", "b", "c"), OrdersSettings(relays_claims=relays))
    sent = simulation.send_request(first, "k1")
    simulation.run(pause_ms)
    resent = simulation.send_request(second, "k1")
    simulation.run(5000)
    assert simulation.runs == {("order", "k1"): 1}
    assert {simulation.outcome(sent), simulation.outcome(resent)} == {DONE, RECORDED}
    assert [unfinished_requests(node.state) for node in simulation.nodes.values()] == [()] * 3


@pytest.mark.parametrize(
    ("fields", "reason", "not_run"),
    [
        ({"key": "", "route": "order"}, RefusalReason.KEY_MISSING, True),
        ({"key": "k", "route": "nothing"}, RefusalReason.UNKNOWN_ROUTE, False),
        ({"key": "", "route": "nothing"}, RefusalReason.UNKNOWN_ROUTE, True),
        ({"key": "k", "deadline_at_ms": 0.0}, RefusalReason.DEADLINE_TOO_SHORT, False),
    ],
)
def test_invalid_requests_are_refused_on_arrival(fields, reason, not_run):
    simulation = Simulation(("a",))
    refused = simulation.outcome(simulation.send_request("a", **fields))
    assert (refused.reason, refused.not_run) == (reason, not_run)
    assert not simulation.runs


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (RequestIntakeStopped(), RefusalReason.STOPPING),
        (DeclarationsInForce(Declarations()), RefusalReason.NO_CONFIGURATION),
    ],
)
def test_requests_are_refused_while_none_are_accepted(event, reason):
    simulation = Simulation(("a",))
    simulation.feed("a", event)
    assert simulation.outcome(simulation.send_request("a", "k1")).reason == reason


@pytest.mark.parametrize("relays", [True, False])
@pytest.mark.parametrize("instance", ["a", "b"])
@pytest.mark.parametrize("fault", ["", "store", "targets", "held"])
@pytest.mark.parametrize("stopped_after_ms", [0.0, 1.0, 3.0, 5.0, 9.0, 15.0, 24.0, 26.0, 40.0])
def test_the_end_of_a_shutdown_answers_every_order(relays, instance, fault, stopped_after_ms):
    """Guards against orders that a planned stop cuts without an answer.

    The answer is true, and a resend at another instance does not run the order again.
    """
    simulation = Simulation(("a", "b"), OrdersSettings(relays_claims=relays))
    match fault:
        case "store":
            simulation.cut_links |= {("store", "a"), ("store", "b")}
        case "targets":
            simulation.target_reply = lambda run: Shed(20.0)
        case "held":
            simulation.send_request("b" if instance == "a" else "a", "k1")
            simulation.run(4.0)
            stopped_after_ms += 4.0
    sent = simulation.send_request(instance, "k1")
    simulation.run(stopped_after_ms)
    simulation.feed(instance, ShutdownTimeExpired())
    answer = simulation.outcome(sent)
    assert isinstance(answer, Refused | RouteOutcomeUnknown | RouteDone)
    late = simulation.outcome(simulation.send_request(instance, "k2"))
    assert late.reason is RefusalReason.STOPPING
    simulation.kill(instance)
    simulation.update_peers()
    simulation.run(stopped_after_ms + 100.0)
    runs = simulation.runs_by_request_id[sent]
    if isinstance(answer, Refused):
        assert answer.reason is RefusalReason.STOPPING
        assert not runs
    simulation.cut_links.clear()
    simulation.target_reply = lambda run: DONE_REPLY
    (other,) = simulation.nodes
    simulation.send_request(other, "k1")
    simulation.run(10_000)
    assert simulation.runs["order", "k1"] <= 1


def test_another_body_under_the_same_key_is_refused():
    simulation = Simulation(("a", "b"))
    first, second = simulation.send_request("a", "k1"), simulation.send_request(
        "b", "k1", b'{"other": 1}'
    )
    simulation.run(1000)
    refused = next(o for o in map(simulation.outcome, (first, second)) if isinstance(o, Refused))
    assert (refused.reason, refused.not_run) == (RefusalReason.KEY_REUSED, False)
    assert simulation.runs == {("order", "k1"): 1}


@pytest.mark.parametrize("body_bytes", [0, 100, 16_384, 16_385, 200_000])
def test_a_resend_says_that_a_too_large_body_was_not_recorded(body_bytes):
    simulation = Simulation(("a", "b"))
    simulation.target_reply = lambda run: RouteReturned(201, b"x" * body_bytes)
    sent = simulation.send_request("a", "k1")
    simulation.run(1000)
    resent = simulation.send_request("b", "k1")
    simulation.run(2000)
    is_recorded = body_bytes <= 16_384
    assert simulation.outcome(sent) == RouteDone(201, b"x" * body_bytes)
    assert simulation.outcome(resent) == RouteDone(
        201, b"x" * body_bytes if is_recorded else b"", recorded=True, body_kept=is_recorded
    )


@pytest.mark.parametrize("disconnected_after_ms", [0.0, 1.0, 3.0, 5.0, 9.0, 15.0, 25.0, 40.0])
def test_an_order_is_not_lost_when_its_caller_disconnects(disconnected_after_ms):
    simulation = Simulation(("a", "b"))
    sent = simulation.send_request("a", "k1")
    simulation.run(disconnected_after_ms)
    simulation.disconnect_caller("a", sent)
    simulation.run(1000)
    resent = simulation.send_request("b", "k1")
    simulation.run(4000)
    first = simulation.outcome(sent)
    assert isinstance(simulation.outcome(resent), RouteDone)
    assert simulation.runs == {("order", "k1"): 1}
    assert isinstance(first, RouteDone | Refused)
    answers = [effect for _, _, effect in simulation.effects if isinstance(effect, AnswerRoute)]
    assert len(answers) == 2


def test_the_outcome_of_a_held_key_is_unknown_at_the_deadline():
    simulation = Simulation(("a", "b"), declarations=make_declarations(deadline_ms=500.0))
    simulation.send_request("a", "k1")
    simulation.run(6.0)
    simulation.kill("a")
    simulation.update_peers()
    resent = simulation.send_request("b", "k1")
    simulation.run(2000)
    assert isinstance(simulation.outcome(resent), RouteOutcomeUnknown)
    assert simulation.runs == {("order", "k1"): 1} or not simulation.runs


@pytest.mark.parametrize(
    ("key", "outcome"),
    [
        ("k1", RouteDone),  # The age of the request is unknown, so that it counts as new.
        # A UUID of version 7 and variant 2, with the time of the first request.
        (str(UUID(int=(WALL_MS << 80) | (7 << 76) | (2 << 62))), Refused),
    ],
)
def test_a_time_ordered_key_reveals_a_resend_older_than_the_retained_claims(key, outcome):
    simulation = Simulation(
        ("a",), SHORT_RETENTION, declarations=make_declarations(deadline_ms=500.0)
    )
    simulation.send_request("a", key)
    simulation.run(5000)
    # The claims are dropped by the next write of the bucket after the retention time of 3 s.
    simulation.send_request("a", "another")
    simulation.run(9000)
    simulation.send_request("a", "third")
    simulation.run(9500)
    resent = simulation.send_request("a", key)
    simulation.run(11_000)
    assert isinstance(simulation.outcome(resent), outcome)


@pytest.mark.parametrize("instance", ["a", "b"])
def test_only_owners_retain_the_values_of_buckets(instance):
    simulation = Simulation(("a", "b"))
    simulation.cut_links.add(("a", "b"))  # Each instance writes its own claims then.
    for number in range(20):
        simulation.send_request(instance, f"k{number}")
    simulation.run(3000)
    assert sum(simulation.runs.values()) == 20
    for node in simulation.nodes.values():
        owners = {owner_of(node.state, bucket) for bucket in node.state.buckets}
        assert owners <= {node.state.instance_id}
