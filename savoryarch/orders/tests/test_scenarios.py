"""Single failures at every step of an order.

Guards against an order that runs twice, or whose caller gets a false outcome, because an instance
dies or freezes, a call is lost or the store is unavailable at some step.

Without relays, an order takes these steps: the instance reads the bucket at 0 ms and swaps it at
4 ms. The claim is in the store at 6 ms and confirmed at 8 ms. The attempt is sent at 8 ms, runs at
18 ms and is answered at 28 ms. The outcome is recorded from 128 to 132 ms.
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
from savoryarch.orders.tests.simulation import FaultySimulation, Latencies, make_declarations

DEADLINE_MS = 500.0
BODY = b'{"plates": 1}'
OTHER = b'{"plates": 2}'


@dataclass(frozen=True)
class Step:
    """A call of a method of the simulation, by name, at a given time."""

    at_ms: float
    method: str
    arguments: tuple = ()
    keywords: tuple = ()


@dataclass(frozen=True)
class Send:
    """A request sent to an instance, and the outcome that its caller must get."""

    at_ms: float
    instance: str
    outcome: str
    body: bytes = BODY
    created_at_ms: int | None = None


@dataclass(frozen=True)
class Scenario:
    """The requests and faults of a scenario, and the number of runs that it must lead to."""

    name: str
    sends: tuple[Send, ...]
    runs: int
    steps: tuple[Step, ...] = ()
    settings: OrdersSettings = OrdersSettings(relays_claims=False)
    replies: tuple = ()
    latencies: Latencies = Latencies(store_timeout_ms=300.0)


def kill(at_ms, instance="a"):
    return Step(at_ms, "kill", (instance,))


def freeze(from_ms, until_ms, instance="a"):
    return Step(from_ms, "freeze", (instance,)), Step(until_ms, "thaw", (instance,))


def outage(from_ms, until_ms):
    down, up = (("outage", True),), (("outage", False),)
    return Step(from_ms, "set_store_faults", (), down), Step(until_ms, "set_store_faults", (), up)


def lose(at_ms, **losses):
    return (Step(at_ms, "set_store_faults", (), tuple(losses.items())),)


def cut_between(from_ms, until_ms, *pair):
    return Step(from_ms, "cut_link", (pair,)), Step(until_ms, "restore_link", (pair,))


OWNER, NOT_OWNER = "a", "b"  # owner of the bucket that holds the key "k1"
RELAYS = OrdersSettings(relays_claims=True)
RELAYS_ONE = OrdersSettings(buckets=1)  # The one bucket is owned by "b".
SHORT_RETENTION = OrdersSettings(
    relays_claims=False,
    buckets=1,
    bucket_bytes=4096,
    recorded_body_bytes=400,
    minimum_retention_ms=2000.0,
    retention_ms=3000.0,
    clock_skew_ms=0.0,
)
SLOW = Latencies(store_ms=lambda: 200.0, store_timeout_ms=300.0)
WALL_MS = 1_000_000_000  # calendar time at the start of a simulation

SCENARIOS = (
    Scenario("killed before the claim", (Send(0, "a", ""), Send(50, "b", "done")), 1, (kill(2),)),
    Scenario("killed while it claims", (Send(0, "a", ""), Send(50, "b", "unknown")), 0, (kill(5),)),
    Scenario("killed before it sends", (Send(0, "a", ""), Send(50, "b", "unknown")), 0, (kill(7),)),
    Scenario("killed after it sent", (Send(0, "a", ""), Send(50, "b", "unknown")), 1, (kill(9),)),
    Scenario("killed after it ran", (Send(0, "a", ""), Send(50, "b", "unknown")), 1, (kill(20),)),
    Scenario(
        "killed before it records", (Send(0, "a", "done"), Send(99, "b", "unknown")), 1, (kill(60),)
    ),
    Scenario(
        "killed while it records",
        (Send(0, "a", "done"), Send(150, "b", "recorded")),
        1,
        (kill(129),),
    ),
    Scenario(
        "killed after it recorded",
        (Send(0, "a", "done"), Send(400, "b", "recorded")),
        1,
        (kill(200),),
    ),
    Scenario(
        "killed and started again",
        (Send(0, "a", ""), Send(30, "a", "unknown")),
        1,
        (kill(9), Step(20, "start", ("a",))),
    ),
    Scenario(
        "started again while its claim is written",
        (Send(0, NOT_OWNER, ""), Send(5, NOT_OWNER, "unknown")),
        0,
        (kill(3, NOT_OWNER), Step(4, "start", (NOT_OWNER,)), Step(4, "update_peers")),
        RELAYS,
    ),
    Scenario(
        "an owner with an old value records an outcome",
        (
            Send(0, NOT_OWNER, "not_run overloaded"),
            Send(1000, NOT_OWNER, "done"),
            Send(1600, OWNER, "recorded"),
        ),
        1,
        cut_between(999, 1015, OWNER, NOT_OWNER),
        RELAYS,
        replies=(Shed(),) * 4,
    ),
    Scenario(
        "frozen while it claims, resumes after its deadline",
        (
            Send(0, "a", "not_run deadline_too_short"),
            Send(50, "b", "unknown"),
            Send(4000, "b", "done"),
        ),
        1,
        freeze(7, 3000),
    ),
    Scenario(
        "frozen before it reads, resumes after its deadline",
        (
            Send(0, "a", "not_run store_unavailable"),
            Send(50, "b", "done"),
            Send(4000, "a", "recorded"),
        ),
        1,
        freeze(2, 3000),
    ),
    Scenario(
        "frozen after it sent",
        (Send(0, "a", "done"), Send(50, "b", "unknown"), Send(4000, "b", "recorded")),
        1,
        freeze(9, 3000),
    ),
    Scenario(
        "frozen before it records",
        (Send(0, "a", "done"), Send(50, "b", "unknown"), Send(4000, "b", "recorded")),
        1,
        freeze(40, 3000),
    ),
    Scenario("two instances race", (Send(0, "a", "done"), Send(0, "b", "recorded")), 1),
    Scenario("two at one instance race", (Send(0, "a", "done"), Send(0, "a", "recorded")), 1),
    Scenario(
        "another body under the key",
        (Send(0, "a", "done"), Send(1, "b", "refused key_reused", OTHER)),
        1,
    ),
    Scenario(
        "the reply to the claim is lost",
        (Send(0, "a", "done"), Send(400, "b", "recorded")),
        1,
        lose(0, lose_replies=1),
    ),
    Scenario(
        "the claim is lost",
        (Send(0, "a", "done"), Send(400, "b", "recorded")),
        1,
        lose(5, lose_calls=1),
    ),
    Scenario(
        "the reply to the outcome is lost",
        (Send(0, "a", "done"), Send(1000, "b", "recorded")),
        1,
        lose(40, lose_replies=1),
    ),
    Scenario(
        "a race while the reply to the claim is lost",
        (Send(0, "a", "done"), Send(1, "b", "recorded")),
        1,
        lose(0, lose_replies=1),
    ),
    Scenario(
        "the store is down before the claim",
        (Send(0, "a", "refused store_unavailable"), Send(2000, "a", "done")),
        1,
        outage(-1, 1000),
    ),
    Scenario(
        "the store goes down while it claims",
        (Send(0, "a", "not_run store_unavailable"), Send(3000, "b", "done")),
        1,
        outage(5, 1000),
    ),
    Scenario(
        "a resend of an order that ran, while the store is down",
        (
            Send(0, "a", "done"),
            Send(400, "b", "refused store_unavailable"),
            Send(3000, "b", "recorded"),
        ),
        1,
        outage(300, 1500),
    ),
    Scenario(
        "a resend to an instance that knows the outcome, while the store is down",
        (Send(0, "a", "done"), Send(400, "a", "recorded")),
        1,
        outage(300, 1500),
    ),
    Scenario(
        "the store goes down after the send",
        (Send(0, "a", "done"), Send(4000, "b", "recorded")),
        1,
        outage(9, 2000),
    ),
    Scenario(
        "the store is down for twenty minutes after the send",
        (Send(0, "a", "done"), Send(1_203_000, "b", "recorded")),
        1,
        outage(9, 1_200_000),
    ),
    Scenario(
        "the store is slower than its timeout",
        (Send(0, "a", "not_run store_unavailable"), Send(100, "b", "refused store_unavailable")),
        0,
        latencies=replace(SLOW, store_ms=iter([1.0, 1.0, *[200.0] * 99]).__next__),
    ),
    Scenario(
        "the instance is cut off from the store, its peers are not",
        (Send(0, "a", "done"), Send(1000, "b", "recorded"), Send(2000, "a", "recorded")),
        1,
        cut_between(-1, 5000, "store", "a"),
        RELAYS,
    ),
    Scenario(
        "the other instance is cut off from the store",
        (Send(0, "a", "done"), Send(600, "b", "recorded")),
        1,
        cut_between(-1, 5000, "store", "b"),
        RELAYS,
    ),
    Scenario(
        "the instances are cut off from each other",
        (Send(0, "a", "done"), Send(800, "b", "recorded")),
        1,
        cut_between(-1, 5000, "a", "b"),
        RELAYS,
        latencies=Latencies(store_timeout_ms=300.0),
    ),
    Scenario(
        "the store is restored to before the claim, and then the owner dies",
        (Send(0, "a", "done"), Send(1500, "a", "recorded")),
        1,
        (
            Step(400, "restore", (0,)),
            Step(500, "send_request", ("a", "another")),
            Step(1000, "kill_and_update_peers", ("b",)),
        ),
        RELAYS_ONE,
    ),
    *(
        Scenario(
            f"known not to have run: {type(reply).__name__}",
            (Send(0, "a", "done"), Send(400, "b", "recorded")),
            1,
            replies=(reply,),
        )
        for reply in (Shed(), Draining(), NotSent("refused"), DeadlinePassed(not_run=True))
    ),
    *(
        Scenario(
            f"may have run: {type(reply).__name__}",
            (Send(0, "a", "unknown"), Send(200, "b", "unknown"), Send(400, "a", "unknown")),
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
        (Send(0, "a", "not_run overloaded"), Send(1500, "b", "done")),
        1,
        replies=(Shed(),) * 4,
    ),
    Scenario(
        "a resend after its outcome was dropped",
        (
            Send(0, "a", "done", created_at_ms=WALL_MS),
            Send(9000, "a", "refused key_expired", created_at_ms=WALL_MS),
        ),
        1,
        (Step(5000, "send_request", ("a", "another")), Step(9000, "send_request", ("a", "third"))),
        SHORT_RETENTION,
    ),
)
SCENARIOS_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def describe(outcomes):
    """Return the outcome of a request as text, as in the table."""
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


def run_scenario(scenario):
    """Run a scenario, and check every outcome and the number of runs."""
    simulation = FaultySimulation(
        ("a", "b"), scenario.settings, scenario.latencies, make_declarations(DEADLINE_MS)
    )
    replies = iter(scenario.replies)
    simulation.target_reply = lambda run: next(replies, RouteReturned(201, BODY))
    request_ids = {}
    for step in scenario.steps:
        action = getattr(simulation, step.method)
        simulation.schedule(
            step.at_ms,
            lambda step=step, action=action: action(*step.arguments, **dict(step.keywords)),
        )
    for send in scenario.sends:
        simulation.schedule(
            send.at_ms,
            lambda send=send: request_ids.setdefault(send, _send_request(simulation, send)),
        )
    simulation.run(max(send.at_ms for send in scenario.sends) + 2 * DEADLINE_MS)
    got = [describe(simulation.outcomes.get(request_ids[send], [])) for send in scenario.sends]
    assert got == [send.outcome for send in scenario.sends]
    assert simulation.runs["order", "k1"] == scenario.runs
    bodies = {
        outcome.body
        for outcomes in simulation.outcomes.values()
        for outcome in outcomes
        if isinstance(outcome, RouteDone)
    }
    assert bodies <= {BODY}


def _send_request(simulation, send):
    return simulation.send_request(send.instance, "k1", send.body, created_at_ms=send.created_at_ms)


@pytest.mark.parametrize("name", SCENARIOS_BY_NAME)
def test_scenario(name):
    run_scenario(SCENARIOS_BY_NAME[name])
