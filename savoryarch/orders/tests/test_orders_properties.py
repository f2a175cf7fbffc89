"""Random interleavings of requests and faults on two to four instances.

Guards against a non-idempotent request that runs twice and against false outcomes, which come about
when instances are killed or frozen, links are cut, or the store loses calls and replies, between
any two effects of a decision.
"""

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
from savoryarch.orders.tests.simulation import Latencies, Simulation, make_declarations

KEYS = ("k1", "k2", "k3")
BODIES = (b'{"plate": 1}', b'{"plate": 2}')
EVENTS_END_MS = 1500.0  # requests are sent and faults begin before this time
# When each key is resent. All faults are removed a second before.
FINAL_RESENDS_AT_MS = 6000.0
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
class SentRequest:
    """A request, and whether its key had run before it was sent."""

    key: str
    body: bytes
    ran_before: bool


class Chaos:
    """A simulation with random faults, which all end before the final resends."""

    def __init__(self, seed):
        rng = self.rng = Random(seed)
        self.faults_ended = False
        self.instances = ("a", "b", "c", "d")[: rng.randint(2, 4)]
        has_slow_store = rng.random() < 0.4
        latencies = Latencies(
            store_ms=lambda: rng.uniform(1, 400) if has_slow_store and self._occurs(0.3) else 2.0,
            peer_ms=lambda: rng.uniform(0.2, 30),
            target_ms=lambda: rng.uniform(1, 60),
            store_timeout_ms=300.0,
        )
        orders = OrdersSettings(buckets=2, relays_claims=rng.random() < 0.7)
        self.simulation = Simulation(
            self.instances, orders, latencies, make_declarations(DEADLINE_MS)
        )
        self.simulation.target_reply = self._reply
        self.simulation.filter_effects = self._interrupt
        self.sent_requests = {}
        self.killed = False
        for _ in range(rng.randint(6, 16)):
            self.simulation.schedule(rng.uniform(0, EVENTS_END_MS), self._send_random_request)
        for _ in range(rng.randint(0, 8)):
            fault = rng.choice(
                [
                    self._kill,
                    self._freeze,
                    self._cut_link,
                    self._start_outage,
                    self._lose_calls_and_replies,
                ]
            )
            self.simulation.schedule(rng.uniform(0, EVENTS_END_MS), fault)
        for _ in range(4):
            self.simulation.schedule(rng.uniform(0, EVENTS_END_MS), self.simulation.update_peers)

    def _reply(self, run):
        reply = "returned" if self.faults_ended else self.rng.choice(REPLIES)
        return RouteReturned(201, b"%d" % run) if reply == "returned" else reply

    def _occurs(self, share):
        """Return whether a fault of this probability occurs now; none does after the faults end."""
        return not self.faults_ended and self.rng.random() < share

    def send_request(self, instance, key, body, **fields):
        ran_before = self.simulation.runs["order", key] > 0
        request_id = self.simulation.send_request(instance, key, body, **fields)
        self.sent_requests[request_id] = SentRequest(key, body, ran_before)
        return request_id

    def _send_random_request(self):
        rng = self.rng
        instance = rng.choice(sorted(self.simulation.nodes) or [""])
        if not instance:
            return
        body = BODIES[0] if rng.random() < 0.8 else BODIES[1]
        request_id = self.send_request(instance, rng.choice(KEYS), body)
        if rng.random() < 0.2:
            disconnect = lambda: self.simulation.disconnect_caller(  # noqa: E731
                instance, request_id
            )
            self.simulation.schedule(rng.uniform(0, 200), disconnect)

    def _interrupt(self, instance, effects):
        """Kill or freeze an instance between two effects of a decision, in 2% of the decisions."""
        if not effects or not self._occurs(0.02):
            return effects
        performed = self.rng.randint(0, len(effects))
        if self.rng.random() < 0.5:
            self._kill_and_restart_later(instance)
            return effects[:performed]
        node, remaining = self.simulation.nodes[instance], effects[performed:]
        node.frozen = True

        def thaw():
            if self.simulation.nodes.get(instance) is node:
                for effect in remaining:
                    self.simulation._perform(instance, node, effect)
                self.simulation.thaw(instance)

        self.simulation.schedule(self.rng.uniform(1, 1200), thaw)
        return effects[:performed]

    def _kill_and_restart_later(self, instance):
        self.killed = True
        self.simulation.kill(instance)
        self.simulation.schedule(self.rng.uniform(1, 400), lambda: self._restart(instance))

    def _restart(self, instance):
        if instance not in self.simulation.nodes:
            self.simulation.start(instance)

    def _kill(self):
        if self.simulation.nodes:
            self._kill_and_restart_later(self.rng.choice(sorted(self.simulation.nodes)))

    def _freeze(self):
        instance = self.rng.choice(self.instances)
        node = self.simulation.nodes.get(instance)
        if node is None or node.frozen:
            return
        node.frozen = True

        def thaw():
            if self.simulation.nodes.get(instance) is node:
                self.simulation.thaw(instance)

        self.simulation.schedule(self.rng.uniform(1, 1200), thaw)

    def _cut_link(self):
        one = self.rng.choice(self.instances)
        pair = (self.rng.choice(["store", *self.instances]), one)
        self.simulation.cut_links.add(pair)
        self.simulation.schedule(
            self.rng.uniform(10, 800), lambda: self.simulation.cut_links.discard(pair)
        )

    def _start_outage(self):
        self.simulation.set_store_faults(outage=True)
        self.simulation.schedule(
            self.rng.uniform(10, 800), lambda: self.simulation.set_store_faults(outage=False)
        )

    def _lose_calls_and_replies(self):
        self.simulation.set_store_faults(
            lose_replies=self.rng.randint(1, 3), lose_calls=self.rng.randint(0, 2)
        )

    def run(self):
        self.simulation.run(FINAL_RESENDS_AT_MS - 1000.0)
        self.faults_ended = True
        self.simulation.cut_links.clear()
        self.simulation.set_store_faults(outage=False, lose_replies=0, lose_calls=0)
        for instance in self.instances:
            self._restart(instance)
        self.simulation.update_peers()
        self.simulation.run(FINAL_RESENDS_AT_MS)
        self.resends = {key: self.send_request("a", key, BODIES[0]) for key in KEYS}
        self.simulation.run(FINAL_RESENDS_AT_MS + 3000.0)


def check(chaos):
    """Check that no order ran twice, and that each request got at most one, true outcome."""
    simulation = chaos.simulation
    outcomes_per_key = defaultdict(set)
    for key in KEYS:
        assert (
            simulation.runs["order", key] <= 1
        ), f"{key} ran {simulation.runs['order', key]} times"
    sent = {
        e.attempt_id.split("/")[1] for _, _, e in simulation.effects if isinstance(e, SendAttempt)
    }
    for request_id, request in chaos.sent_requests.items():
        outcomes = simulation.outcomes.get(request_id, [])
        assert len(outcomes) <= 1, f"{request_id} got {outcomes}"
        assert outcomes or chaos.killed, f"{request_id} got no outcome"
        for outcome in outcomes:
            check_outcome(simulation, request_id, request, outcome, sent)
            if isinstance(outcome, RouteDone):
                outcomes_per_key[request.key].add(replace(outcome, recorded=False))
    for key, request_id in chaos.resends.items():
        assert len(outcomes_per_key[key]) <= 1, f"{key} has outcomes {outcomes_per_key[key]}"
        check_resend(chaos, key, simulation.outcomes[request_id][0])


def check_outcome(simulation, request_id, request, outcome, sent):
    """Check that an outcome agrees with the runs at the targets."""
    match outcome:
        case Refused(not_run=True):
            assert not request.ran_before, f"{request_id}: {outcome}, but {request.key} ran before"
            assert (
                simulation.runs_by_request_id[request_id] == 0
            ), f"{request_id}: {outcome}, but it ran"
        case RouteDone(recorded=False):
            assert simulation.runs_by_request_id[request_id] == 1
        case RouteDone():
            assert simulation.runs["order", request.key] == 1
        case RouteOutcomeUnknown() | Refused():
            pass


def check_resend(chaos, key, outcome):
    """Check that a resend after all faults gets the known outcome of its key."""
    earlier = [
        chaos.simulation.outcomes.get(request_id, [None])[0]
        for request_id, request in chaos.sent_requests.items()
        if request.key == key and request_id != chaos.resends[key]
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
