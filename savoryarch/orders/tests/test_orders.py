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
)
from savoryarch.orders import OrdersSettings, unfinished_requests
from savoryarch.orders._ownership import owner_of
from savoryarch.orders.tests.test_scenarios import TINY, WALL_MS
from savoryarch.orders.tests.world import World, make_declarations

DONE = RouteDone(201, b'{"order":1}')
RECORDED = RouteDone(201, b'{"order":1}', recorded=True)


@pytest.mark.parametrize("relays", [True, False])
@pytest.mark.parametrize("first", ["a", "b", "c"])
@pytest.mark.parametrize("second", ["a", "b", "c"])
@pytest.mark.parametrize("pause_ms", [0.0, 3.0, 500.0])
def test_a_resend_anywhere_gets_the_recorded_outcome(relays, first, second, pause_ms):
    world = World(("a", "b", "c"), OrdersSettings(relays_claims=relays))
    sent = world.ask(first, "k1")
    world.run(pause_ms)
    resent = world.ask(second, "k1")
    world.run(5000)
    assert world.runs == {("order", "k1"): 1}
    assert {world.outcome(sent), world.outcome(resent)} == {DONE, RECORDED}
    assert [unfinished_requests(node.state) for node in world.nodes.values()] == [()] * 3


@pytest.mark.parametrize(
    ("fields", "reason", "not_run"),
    [
        ({"key": "", "route": "order"}, RefusalReason.KEY_MISSING, True),
        ({"key": "k", "route": "nothing"}, RefusalReason.UNKNOWN_ROUTE, False),
        ({"key": "", "route": "nothing"}, RefusalReason.UNKNOWN_ROUTE, True),
        ({"key": "k", "deadline_at_ms": 0.0}, RefusalReason.DEADLINE_TOO_SHORT, False),
    ],
)
def test_requests_that_are_refused_at_once(fields, reason, not_run):
    world = World(("a",))
    refused = world.outcome(world.ask("a", **fields))
    assert (refused.reason, refused.not_run) == (reason, not_run)
    assert not world.runs


@pytest.mark.parametrize(
    ("event", "reason"),
    [
        (RequestIntakeStopped(), RefusalReason.STOPPING),
        (DeclarationsInForce(Declarations()), RefusalReason.NO_CONFIGURATION),
    ],
)
def test_requests_are_refused_in_a_state_that_takes_none(event, reason):
    world = World(("a",))
    world.feed("a", event)
    assert world.outcome(world.ask("a", "k1")).reason == reason


def test_another_body_under_the_same_key_is_refused():
    world = World(("a", "b"))
    first, second = world.ask("a", "k1"), world.ask("b", "k1", b'{"other": 1}')
    world.run(1000)
    refused = next(o for o in map(world.outcome, (first, second)) if isinstance(o, Refused))
    assert (refused.reason, refused.not_run) == (RefusalReason.KEY_REUSED, False)
    assert world.runs == {("order", "k1"): 1}


@pytest.mark.parametrize("body_bytes", [0, 100, 16_384, 16_385, 200_000])
def test_a_body_that_is_too_large_to_record_is_said_to_be_missing(body_bytes):
    world = World(("a", "b"))
    world.target_reply = lambda run: RouteReturned(201, b"x" * body_bytes)
    sent = world.ask("a", "k1")
    world.run(1000)
    resent = world.ask("b", "k1")
    world.run(2000)
    kept = body_bytes <= 16_384
    assert world.outcome(sent) == RouteDone(201, b"x" * body_bytes)
    assert world.outcome(resent) == RouteDone(
        201, b"x" * body_bytes if kept else b"", recorded=True, body_kept=kept
    )


@pytest.mark.parametrize("gone_after_ms", [0.0, 1.0, 3.0, 5.0, 9.0, 15.0, 25.0, 40.0])
def test_a_caller_that_is_gone_loses_no_order(gone_after_ms):
    world = World(("a", "b"))
    sent = world.ask("a", "k1")
    world.run(gone_after_ms)
    world.leave("a", sent)
    world.run(1000)
    resent = world.ask("b", "k1")
    world.run(4000)
    first = world.outcome(sent)
    assert isinstance(world.outcome(resent), RouteDone)
    assert world.runs == {("order", "k1"): 1}
    assert isinstance(first, RouteDone | Refused)
    answers = [effect for _, _, effect in world.effects if isinstance(effect, AnswerRoute)]
    assert len(answers) == 2


def test_a_held_key_is_unknown_at_the_deadline():
    world = World(("a", "b"), declarations=make_declarations(deadline_ms=500.0))
    world.ask("a", "k1")
    world.run(6.0)
    world.kill("a")
    world.announce()
    resent = world.ask("b", "k1")
    world.run(2000)
    assert isinstance(world.outcome(resent), RouteOutcomeUnknown)
    assert world.runs == {("order", "k1"): 1} or not world.runs


@pytest.mark.parametrize(
    ("key", "outcome"),
    [
        ("k1", RouteDone),  # nothing tells that it is a resend
        (str(UUID(int=(WALL_MS << 80) | (7 << 76) | (2 << 62))), Refused),
    ],
)
def test_a_time_ordered_key_tells_that_it_is_older_than_what_is_kept(key, outcome):
    world = World(("a",), TINY, declarations=make_declarations(deadline_ms=500.0))
    world.ask("a", key)
    world.run(5000)
    world.ask("a", "another")
    world.run(9000)
    world.ask("a", "third")
    world.run(9500)
    resent = world.ask("a", key)
    world.run(11_000)
    assert isinstance(world.outcome(resent), outcome)


@pytest.mark.parametrize("asker", ["a", "b"])
def test_only_owners_keep_the_values_of_buckets(asker):
    world = World(("a", "b"))
    world.cut.add(("a", "b"))  # so that claims are written by the instance that was asked
    for number in range(20):
        world.ask(asker, f"k{number}")
    world.run(3000)
    assert sum(world.runs.values()) == 20
    for node in world.nodes.values():
        owners = {owner_of(node.state, bucket) for bucket in node.state.buckets}
        assert owners <= {node.state.instance_id}
