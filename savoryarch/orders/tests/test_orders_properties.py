"""Random interleavings, losses, deaths and freezes of two to four instances."""

from collections import defaultdict
from dataclasses import dataclass, replace
from random import Random

from hypothesis import given, settings, strategies

from savoryarch.model import (
    ConnectionLost,
    DeadlinePassed,
    Draining,
    NotSent,
    Refused,
    RouteDone,
    RouteOutcomeUnknown,
    RouteReturned,
    SendAttempt,
    Shed,
    TargetFailed,
    TimedOut,
)
from savoryarch.orders import OrdersSettings
from savoryarch.orders.tests.world import Latencies, World, make_declarations

KEYS = ("k1", "k2", "k3")
BODIES = (b'{"plate": 1}', b'{"plate": 2}')
SPAN_MS = 1500.0
HEALED_MS = 6000.0
DEADLINE_MS = 700.0
REPLIES = (
    *(["returned"] * 6),
    Shed(),
    Draining(),
    NotSent("refused"),
    DeadlinePassed(not_run=True),
    DeadlinePassed(not_run=False),
    ConnectionLost("reset"),
    TimedOut(),
    TargetFailed(500, "failed"),
)


@dataclass(frozen=True)
class Asked:
    """What was true when a request was asked."""

    key: str
    body: bytes
    ran_before: bool


class Chaos:
    """A world in which anything may go wrong for a while, and then heals."""

    def __init__(self, seed):
        draw = self.draw = Random(seed)
        self.calm = False
        self.instances = ("a", "b", "c", "d")[: draw.randint(2, 4)]
        slow = draw.random() < 0.4
        latencies = Latencies(
            store_ms=lambda: draw.uniform(1, 400) if slow and self._strikes(0.3) else 2.0,
            peer_ms=lambda: draw.uniform(0.2, 30),
            target_ms=lambda: draw.uniform(1, 60),
            store_timeout_ms=300.0,
        )
        orders = OrdersSettings(buckets=2, relays_claims=draw.random() < 0.7)
        self.world = World(self.instances, orders, latencies, make_declarations(DEADLINE_MS))
        self.world.target_reply = self._reply
        self.world.on_effects = self._interrupt
        self.asked = {}
        self.killed = False
        for _ in range(draw.randint(6, 16)):
            self.world.at(draw.uniform(0, SPAN_MS), self._ask)
        for _ in range(draw.randint(0, 8)):
            fault = draw.choice([self._kill, self._freeze, self._cut, self._outage, self._lose])
            self.world.at(draw.uniform(0, SPAN_MS), fault)
        for _ in range(4):
            self.world.at(draw.uniform(0, SPAN_MS), self.world.announce)

    def _reply(self, run):
        drawn = "returned" if self.calm else self.draw.choice(REPLIES)
        return RouteReturned(201, b"%d" % run) if drawn == "returned" else drawn

    def _strikes(self, share):
        return not self.calm and self.draw.random() < share

    def ask(self, instance, key, body, **fields):
        ran = self.world.runs["order", key] > 0
        request_id = self.world.ask(instance, key, body, **fields)
        self.asked[request_id] = Asked(key, body, ran)
        return request_id

    def _ask(self):
        draw = self.draw
        instance = draw.choice(sorted(self.world.nodes) or [""])
        if not instance:
            return
        body = BODIES[0] if draw.random() < 0.8 else BODIES[1]
        request_id = self.ask(instance, draw.choice(KEYS), body)
        if draw.random() < 0.2:
            leave = lambda: self.world.leave(instance, request_id)  # noqa: E731
            self.world.at(draw.uniform(0, 200), leave)

    def _interrupt(self, instance, effects):
        """Let an instance die or freeze between any two effects of one decision."""
        if not effects or not self._strikes(0.02):
            return effects
        done = self.draw.randint(0, len(effects))
        if self.draw.random() < 0.5:
            self._end(instance)
            return effects[:done]
        node, rest = self.world.nodes[instance], effects[done:]
        node.frozen = True

        def thaw():
            if self.world.nodes.get(instance) is node:
                for effect in rest:
                    self.world._perform(instance, node, effect)
                self.world.thaw(instance)

        self.world.at(self.draw.uniform(1, 1200), thaw)
        return effects[:done]

    def _end(self, instance):
        self.killed = True
        self.world.kill(instance)
        self.world.at(self.draw.uniform(1, 400), lambda: self._restart(instance))

    def _restart(self, instance):
        if instance not in self.world.nodes:
            self.world.start(instance)

    def _kill(self):
        if self.world.nodes:
            self._end(self.draw.choice(sorted(self.world.nodes)))

    def _freeze(self):
        instance = self.draw.choice(self.instances)
        node = self.world.nodes.get(instance)
        if node is None or node.frozen:
            return
        node.frozen = True

        def thaw():
            if self.world.nodes.get(instance) is node:
                self.world.thaw(instance)

        self.world.at(self.draw.uniform(1, 1200), thaw)

    def _cut(self):
        one = self.draw.choice(self.instances)
        pair = (self.draw.choice(["store", *self.instances]), one)
        self.world.cut.add(pair)
        self.world.at(self.draw.uniform(10, 800), lambda: self.world.cut.discard(pair))

    def _outage(self):
        self.world.switch(outage=True)
        self.world.at(self.draw.uniform(10, 800), lambda: self.world.switch(outage=False))

    def _lose(self):
        self.world.switch(lose_replies=self.draw.randint(1, 3), lose_calls=self.draw.randint(0, 2))

    def run(self):
        self.world.run(HEALED_MS - 1000.0)
        self.calm = True
        self.world.cut.clear()
        self.world.switch(outage=False, lose_replies=0, lose_calls=0)
        for instance in self.instances:
            self._restart(instance)
        self.world.announce()
        self.world.run(HEALED_MS)
        self.resends = {key: self.ask("a", key, BODIES[0]) for key in KEYS}
        self.world.run(HEALED_MS + 3000.0)


def check(chaos):
    world = chaos.world
    per_key = defaultdict(set)
    for key in KEYS:
        assert world.runs["order", key] <= 1, f"{key} ran {world.runs['order', key]} times"
    sent = {e.attempt_id.split("/")[1] for _, _, e in world.effects if isinstance(e, SendAttempt)}
    for request_id, asked in chaos.asked.items():
        outcomes = world.outcomes.get(request_id, [])
        assert len(outcomes) <= 1, f"{request_id} got {outcomes}"
        assert outcomes or chaos.killed, f"{request_id} got no outcome"
        for outcome in outcomes:
            check_outcome(world, request_id, asked, outcome, sent)
            if isinstance(outcome, RouteDone):
                per_key[asked.key].add(replace(outcome, recorded=False))
    for key, request_id in chaos.resends.items():
        assert len(per_key[key]) <= 1, f"{key} has outcomes {per_key[key]}"
        check_resend(chaos, key, world.outcomes[request_id][0])


def check_outcome(world, request_id, asked, outcome, sent):
    match outcome:
        case Refused(not_run=True):
            assert not asked.ran_before, f"{request_id}: {outcome}, but {asked.key} ran before"
            assert world.runs_by[request_id] == 0, f"{request_id}: {outcome}, but it ran"
        case RouteDone(recorded=False):
            assert world.runs_by[request_id] == 1
        case RouteDone():
            assert world.runs["order", asked.key] == 1
        case RouteOutcomeUnknown() | Refused():
            pass


def check_resend(chaos, key, outcome):
    """After everything healed, a resend is told what is known."""
    earlier = [
        chaos.world.outcomes.get(request_id, [None])[0]
        for request_id, asked in chaos.asked.items()
        if asked.key == key and request_id != chaos.resends[key]
    ]
    done = [item for item in earlier if isinstance(item, RouteDone)]
    if done and not chaos.killed:
        same_body = isinstance(outcome, RouteDone) and outcome.body == done[0].body
        reused = isinstance(outcome, Refused) and outcome.reason.value == "key_reused"
        assert same_body or reused, f"{key}: {done} and then {outcome}"
    if any(isinstance(item, RouteOutcomeUnknown) for item in earlier):
        assert not (isinstance(outcome, Refused) and outcome.not_run), f"{key}: {outcome}"


@settings(derandomize=True, max_examples=150, deadline=None, database=None)
@given(strategies.integers(0, 2**32))
def test_orders_run_at_most_once_and_outcomes_are_true(seed):
    chaos = Chaos(seed)
    chaos.run()
    check(chaos)
