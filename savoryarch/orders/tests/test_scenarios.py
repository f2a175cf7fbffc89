"""Failures one by one, at every step of an order.

Without relays an order reads its bucket at 0 ms, swaps at 4, the claim is in the store at 6 and
known at 8; it is sent at 8, runs at 18, is answered at 28, and its outcome is recorded from 128 to
132 ms.
"""

from dataclasses import dataclass, replace

import pytest

from savoryarch.model import (
    ConnectionLost,
    DeadlinePassed,
    Draining,
    MalformedReply,
    NotSent,
    Refused,
    RouteDone,
    RouteReturned,
    Shed,
    TargetFailed,
    TimedOut,
)
from savoryarch.orders import OrdersSettings
from savoryarch.orders.tests.world import Latencies, Stage, make_declarations

DEADLINE_MS = 500.0
BODY = b'{"plates": 1}'
OTHER = b'{"plates": 2}'


@dataclass(frozen=True)
class Do:
    """Something that happens to the world, a method of it by name."""

    at_ms: float
    what: str
    arguments: tuple = ()
    switches: tuple = ()


@dataclass(frozen=True)
class Ask:
    """A request, and the outcome that it must get."""

    at_ms: float
    instance: str
    outcome: str
    body: bytes = BODY
    created_at_ms: int | None = None


@dataclass(frozen=True)
class Scenario:
    """What happens, what is asked, and how often the order may have run."""

    name: str
    asks: tuple[Ask, ...]
    runs: int
    does: tuple[Do, ...] = ()
    settings: OrdersSettings = OrdersSettings(relays_claims=False)
    replies: tuple = ()
    latencies: Latencies = Latencies(store_timeout_ms=300.0)


def kill(at_ms, instance="a"):
    return Do(at_ms, "kill", (instance,))


def frozen(from_ms, until_ms, instance="a"):
    return Do(from_ms, "freeze", (instance,)), Do(until_ms, "thaw", (instance,))


def outage(from_ms, until_ms):
    down, up = (("outage", True),), (("outage", False),)
    return Do(from_ms, "switch", (), down), Do(until_ms, "switch", (), up)


def lost(at_ms, **what):
    return (Do(at_ms, "switch", (), tuple(what.items())),)


def unplugged(from_ms, until_ms, *pair):
    return Do(from_ms, "unplug", (pair,)), Do(until_ms, "plug", (pair,))


OWNER, NOT_OWNER = "a", "b"  # of the bucket of the key
RELAYS = OrdersSettings(relays_claims=True)
RELAYS_ONE = OrdersSettings(buckets=1)  # owned by "b"
TINY = OrdersSettings(
    relays_claims=False,
    buckets=1,
    bucket_bytes=4096,
    recorded_body_bytes=400,
    minimum_retention_ms=2000.0,
    retention_ms=3000.0,
    clock_skew_ms=0.0,
)
SLOW = Latencies(store_ms=lambda: 200.0, store_timeout_ms=300.0)
WALL_MS = 1_000_000_000  # calendar time of the start of a world

SCENARIOS = (
    Scenario("killed before the claim", (Ask(0, "a", ""), Ask(50, "b", "done")), 1, (kill(2),)),
    Scenario("killed while it claims", (Ask(0, "a", ""), Ask(50, "b", "unknown")), 0, (kill(5),)),
    Scenario("killed before it sends", (Ask(0, "a", ""), Ask(50, "b", "unknown")), 0, (kill(7),)),
    Scenario("killed after it sent", (Ask(0, "a", ""), Ask(50, "b", "unknown")), 1, (kill(9),)),
    Scenario("killed after it ran", (Ask(0, "a", ""), Ask(50, "b", "unknown")), 1, (kill(20),)),
    Scenario(
        "killed before it records", (Ask(0, "a", "done"), Ask(99, "b", "unknown")), 1, (kill(60),)
    ),
    Scenario(
        "killed while it records", (Ask(0, "a", "done"), Ask(150, "b", "recorded")), 1, (kill(129),)
    ),
    Scenario(
        "killed after it recorded",
        (Ask(0, "a", "done"), Ask(400, "b", "recorded")),
        1,
        (kill(200),),
    ),
    Scenario(
        "killed and started again",
        (Ask(0, "a", ""), Ask(30, "a", "unknown")),
        1,
        (kill(9), Do(20, "start", ("a",))),
    ),
    Scenario(
        "started again while its claim is written",
        (Ask(0, NOT_OWNER, ""), Ask(5, NOT_OWNER, "unknown")),
        0,
        (kill(3, NOT_OWNER), Do(4, "start", (NOT_OWNER,)), Do(4, "announce")),
        RELAYS,
    ),
    Scenario(
        "an owner with an old value records an outcome",
        (
            Ask(0, NOT_OWNER, "not_run overloaded"),
            Ask(1000, NOT_OWNER, "done"),
            Ask(1600, OWNER, "recorded"),
        ),
        1,
        unplugged(999, 1015, OWNER, NOT_OWNER),
        RELAYS,
        replies=(Shed(),) * 4,
    ),
    Scenario(
        "frozen while it claims, resumes after its deadline",
        (
            Ask(0, "a", "not_run deadline_too_short"),
            Ask(50, "b", "unknown"),
            Ask(4000, "b", "done"),
        ),
        1,
        frozen(7, 3000),
    ),
    Scenario(
        "frozen before it reads, resumes after its deadline",
        (
            Ask(0, "a", "not_run store_unavailable"),
            Ask(50, "b", "done"),
            Ask(4000, "a", "recorded"),
        ),
        1,
        frozen(2, 3000),
    ),
    Scenario(
        "frozen after it sent",
        (Ask(0, "a", "done"), Ask(50, "b", "unknown"), Ask(4000, "b", "recorded")),
        1,
        frozen(9, 3000),
    ),
    Scenario(
        "frozen before it records",
        (Ask(0, "a", "done"), Ask(50, "b", "unknown"), Ask(4000, "b", "recorded")),
        1,
        frozen(40, 3000),
    ),
    Scenario("two instances race", (Ask(0, "a", "done"), Ask(0, "b", "recorded")), 1),
    Scenario("two at one instance race", (Ask(0, "a", "done"), Ask(0, "a", "recorded")), 1),
    Scenario(
        "another body under the key",
        (Ask(0, "a", "done"), Ask(1, "b", "refused key_reused", OTHER)),
        1,
    ),
    Scenario(
        "the reply to the claim is lost",
        (Ask(0, "a", "done"), Ask(400, "b", "recorded")),
        1,
        lost(0, lose_replies=1),
    ),
    Scenario(
        "the claim is lost",
        (Ask(0, "a", "done"), Ask(400, "b", "recorded")),
        1,
        lost(5, lose_calls=1),
    ),
    Scenario(
        "the reply to the outcome is lost",
        (Ask(0, "a", "done"), Ask(1000, "b", "recorded")),
        1,
        lost(40, lose_replies=1),
    ),
    Scenario(
        "a race while the reply to the claim is lost",
        (Ask(0, "a", "done"), Ask(1, "b", "recorded")),
        1,
        lost(0, lose_replies=1),
    ),
    Scenario(
        "the store is down before the claim",
        (Ask(0, "a", "refused store_unavailable"), Ask(2000, "a", "done")),
        1,
        outage(-1, 1000),
    ),
    Scenario(
        "the store goes down while it claims",
        (Ask(0, "a", "not_run store_unavailable"), Ask(3000, "b", "done")),
        1,
        outage(5, 1000),
    ),
    Scenario(
        "a resend of an order that ran, while the store is down",
        (
            Ask(0, "a", "done"),
            Ask(400, "b", "refused store_unavailable"),
            Ask(3000, "b", "recorded"),
        ),
        1,
        outage(300, 1500),
    ),
    Scenario(
        "a resend to an instance that knows the outcome, while the store is down",
        (Ask(0, "a", "done"), Ask(400, "a", "recorded")),
        1,
        outage(300, 1500),
    ),
    Scenario(
        "the store goes down after the send",
        (Ask(0, "a", "done"), Ask(4000, "b", "recorded")),
        1,
        outage(9, 2000),
    ),
    Scenario(
        "the store is down for twenty minutes after the send",
        (Ask(0, "a", "done"), Ask(1_203_000, "b", "recorded")),
        1,
        outage(9, 1_200_000),
    ),
    Scenario(
        "the store is slower than its timeout",
        (Ask(0, "a", "not_run store_unavailable"), Ask(100, "b", "refused store_unavailable")),
        0,
        latencies=replace(SLOW, store_ms=iter([1.0, 1.0, *[200.0] * 99]).__next__),
    ),
    Scenario(
        "the instance is cut off from the store, its peers are not",
        (Ask(0, "a", "done"), Ask(1000, "b", "recorded"), Ask(2000, "a", "recorded")),
        1,
        unplugged(-1, 5000, "store", "a"),
        RELAYS,
    ),
    Scenario(
        "the other instance is cut off from the store",
        (Ask(0, "a", "done"), Ask(600, "b", "recorded")),
        1,
        unplugged(-1, 5000, "store", "b"),
        RELAYS,
    ),
    Scenario(
        "the instances are cut off from each other",
        (Ask(0, "a", "done"), Ask(800, "b", "recorded")),
        1,
        unplugged(-1, 5000, "a", "b"),
        RELAYS,
        latencies=Latencies(store_timeout_ms=300.0),
    ),
    Scenario(
        "the store is restored to before the claim, and then the owner dies",
        (Ask(0, "a", "done"), Ask(1500, "a", "recorded")),
        1,
        (Do(400, "restore", (0,)), Do(500, "ask", ("a", "another")), Do(1000, "end", ("b",))),
        RELAYS_ONE,
    ),
    *(
        Scenario(
            f"known not to have run: {type(reply).__name__}",
            (Ask(0, "a", "done"), Ask(400, "b", "recorded")),
            1,
            replies=(reply,),
        )
        for reply in (Shed(), Draining(), NotSent("refused"), DeadlinePassed(not_run=True))
    ),
    *(
        Scenario(
            f"may have run: {type(reply).__name__}",
            (Ask(0, "a", "unknown"), Ask(200, "b", "unknown"), Ask(400, "a", "unknown")),
            1,
            replies=(reply,),
        )
        for reply in (
            ConnectionLost("reset"),
            TimedOut(),
            TargetFailed(500, "failed"),
            MalformedReply("another attempt"),
            DeadlinePassed(not_run=False),
        )
    ),
    Scenario(
        "every attempt is shed, and then one is not",
        (Ask(0, "a", "not_run overloaded"), Ask(1500, "b", "done")),
        1,
        replies=(Shed(),) * 4,
    ),
    Scenario(
        "a resend after its outcome was dropped",
        (
            Ask(0, "a", "done", created_at_ms=WALL_MS),
            Ask(9000, "a", "refused key_expired", created_at_ms=WALL_MS),
        ),
        1,
        (Do(5000, "ask", ("a", "another")), Do(9000, "ask", ("a", "third"))),
        TINY,
    ),
)
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def describe(outcomes):
    """Put an outcome in the words of the table."""
    if not outcomes:
        return ""
    (outcome,) = outcomes
    match outcome:
        case RouteDone(recorded=recorded):
            return "recorded" if recorded else "done"
        case Refused(reason=reason, not_run=not_run):
            return f"{'not_run' if not_run else 'refused'} {reason.value}"
        case _:
            return "unknown"


def play(scenario):
    """Play a scenario and compare every outcome and the number of runs."""
    stage = Stage(("a", "b"), scenario.settings, scenario.latencies, make_declarations(DEADLINE_MS))
    replies = iter(scenario.replies)
    stage.target_reply = lambda run: next(replies, RouteReturned(201, BODY))
    request_ids = {}
    for do in scenario.does:
        action = getattr(stage, do.what)
        stage.at(do.at_ms, lambda do=do, action=action: action(*do.arguments, **dict(do.switches)))
    for ask in scenario.asks:
        stage.at(ask.at_ms, lambda ask=ask: request_ids.setdefault(ask, _ask(stage, ask)))
    stage.run(max(ask.at_ms for ask in scenario.asks) + 2 * DEADLINE_MS)
    got = [describe(stage.outcomes.get(request_ids[ask], [])) for ask in scenario.asks]
    assert got == [ask.outcome for ask in scenario.asks]
    assert stage.runs["order", "k1"] == scenario.runs
    bodies = {
        outcome.body
        for outcomes in stage.outcomes.values()
        for outcome in outcomes
        if isinstance(outcome, RouteDone)
    }
    assert bodies <= {BODY}


def _ask(stage, ask):
    return stage.ask(ask.instance, "k1", ask.body, created_at_ms=ask.created_at_ms)


@pytest.mark.parametrize("name", BY_NAME)
def test_scenario(name):
    play(BY_NAME[name])
