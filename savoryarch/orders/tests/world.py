"""Drives the decisions of several instances in virtual time against the pure store.

Fakes at the interfaces only: the store stand-in's logic, one fake service whose targets count
what they run, and peer messages that can be cut.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field, replace
from itertools import count

from immutables import Map

from savoryarch.model import (
    AnswerRoute,
    AttemptEnded,
    CallerDisconnected,
    ClearTimer,
    DeadlinePassed,
    Declarations,
    DeclarationsInForce,
    Draining,
    NotSent,
    PeerMessageReceived,
    PeersChanged,
    ReadKey,
    Route,
    RouteRequested,
    RouteReturned,
    SendAttempt,
    SendToPeer,
    Service,
    SetTimer,
    Shed,
    StoreReplied,
    StoreUnreachable,
    SwapKey,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
    TimerFired,
)
from savoryarch.orders import OrdersSettings, decide_orders, make_orders_state
from savoryarch.targets import TargetsSettings, decide_targets, make_targets_state
from savoryarch_standins.store import StoreState, ask_store, restore_store

TARGET_IDS = ("pedidos-1", "pedidos-2")
PROBE_INTERVAL_MS = 100.0


@dataclass(frozen=True)
class Latencies:
    """One-way times, as functions of nothing, so that a test can draw them."""

    store_ms: object = lambda: 2.0
    peer_ms: object = lambda: 0.5
    target_ms: object = lambda: 10.0
    store_timeout_ms: float = 1000.0


def make_declarations(deadline_ms=2000.0, slots=64):
    targets = tuple(Target(name, "pedidos", "za", "127.0.0.1", 1) for name in TARGET_IDS)
    routes = Map(
        {
            "order": Route("order", "pedidos", deadline_ms),
            "read": Route("read", "pedidos", deadline_ms, idempotent=True),
        }
    )
    service = Service("pedidos", "pedidos", slots, 1000, targets)
    return Declarations(1, Map({"pedidos": service}), Map(), routes, Map())


@dataclass
class Node:
    """One instance; `inbox` holds what reaches it while it is frozen."""

    state: object
    targets: object
    timers: dict = field(default_factory=dict)
    frozen: bool = False
    inbox: list = field(default_factory=list)


class World:
    """Instances, their peers, the store and the targets."""

    def __init__(self, instances=("a", "b"), settings=None, latencies=None, declarations=None):
        self.settings = settings or OrdersSettings()
        self.latencies = latencies or Latencies()
        self.declarations = declarations or make_declarations()
        self.now_ms = 0.0
        self.store = StoreState()
        self.nodes = {}
        self.cut = set()
        self.runs = Counter()
        self.runs_by = Counter()
        self.outcomes = {}
        self.answered_at_ms = {}
        self.effects = []
        self.keys = {}
        self.target_reply = lambda run: RouteReturned(201, b'{"order":%d}' % run)
        self.on_effects = lambda instance, effects: effects
        self._events = []
        self._tick = count()
        self._requests = count(1)
        self._incarnations = count(1)
        self._run_numbers = count(1)
        for instance in instances:
            self.start(instance)
        self.announce()

    def at(self, delay_ms, action):
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._tick), action))

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = max(self.now_ms, until_ms)

    def start(self, instance):
        state = make_orders_state(self.settings, instance, next(self._incarnations), 1e9)
        targets = make_targets_state(TargetsSettings(availability_zone="za", entry_instances=1))
        node = self.nodes[instance] = Node(state, targets)
        self._feed(instance, node, DeclarationsInForce(self.declarations))
        self._probe(instance, node)

    def _probe(self, instance, node):
        if self.nodes.get(instance) is not node:
            return
        for target_id in TARGET_IDS:
            self._feed(
                instance, node, TargetEvidenceReceived(target_id, TargetEvidence.PROBE_ANSWERED)
            )
        self.at(PROBE_INTERVAL_MS, lambda: self._probe(instance, node))

    def announce(self):
        for instance in tuple(self.nodes):
            live = tuple(
                peer for peer in self.nodes if peer != instance and self._linked(instance, peer)
            )
            self.feed(instance, PeersChanged(live))

    def kill(self, instance):
        del self.nodes[instance]

    def freeze(self, instance):
        self.nodes[instance].frozen = True

    def thaw(self, instance):
        node = self.nodes[instance]
        node.frozen = False
        waiting, node.inbox = node.inbox, []
        for event in waiting:
            self._feed(instance, node, event)

    def ask(self, instance, key, body=b"{}", route="order", **fields):
        request_id = f"r{next(self._requests)}"
        self.keys[request_id] = key
        self.feed(instance, RouteRequested(request_id, route, "", key, body, **fields))
        return request_id

    def leave(self, instance, request_id):
        self.feed(instance, CallerDisconnected(request_id))

    def feed(self, instance, event):
        node = self.nodes.get(instance)
        if node is not None:
            self._feed(instance, node, event)

    def _feed(self, instance, node, event):
        if self.nodes.get(instance) is not node:
            return
        if node.frozen:
            node.inbox.append(event)
            return
        node.targets = decide_targets(node.targets, event, self.now_ms).state
        decided = decide_orders(node.state, node.targets, event, self.now_ms)
        node.state, node.targets = decided.state, decided.targets
        for effect in self.on_effects(instance, decided.effects):
            self._perform(instance, node, effect)

    def _perform(self, instance, node, effect):
        self.effects.append((self.now_ms, instance, effect))
        match effect:
            case SetTimer(timer_id=timer_id, at_ms=at_ms):
                node.timers[timer_id] = effect
                self.at(at_ms - self.now_ms, lambda: self._fire(instance, node, effect))
            case ClearTimer(timer_id=timer_id):
                node.timers.pop(timer_id, None)
            case ReadKey() | SwapKey():
                self._call(instance, node, effect)
            case SendAttempt():
                self._send(instance, node, effect)
            case SendToPeer(peer_id=peer_id, message=message):
                self._tell(instance, peer_id, message)
            case AnswerRoute(request_id=request_id, outcome=outcome):
                self.outcomes.setdefault(request_id, []).append(outcome)
                self.answered_at_ms[request_id] = self.now_ms

    def _fire(self, instance, node, timer):
        if node.timers.get(timer.timer_id) is timer:
            del node.timers[timer.timer_id]
            self._feed(instance, node, TimerFired(timer.timer_id))

    def _call(self, instance, node, call):
        there_ms, back_ms = self.latencies.store_ms(), self.latencies.store_ms()
        timeout_ms = self.latencies.store_timeout_ms

        def reach():
            self.store, reply = ask_store(self.store, call, self.now_ms)
            if there_ms + back_ms < timeout_ms:
                self.at(
                    back_ms, lambda: self._feed(instance, node, StoreReplied(call.call_id, reply))
                )

        if ("store", instance) in self.cut:
            there_ms = timeout_ms
        else:
            self.at(there_ms, reach)
        if there_ms + back_ms >= timeout_ms:
            reply = StoreReplied(call.call_id, StoreUnreachable("timeout"))
            self.at(timeout_ms, lambda: self._feed(instance, node, reply))

    def _send(self, instance, node, attempt):
        def reach():
            run = next(self._run_numbers)
            reply = self.target_reply(run)
            if ran(reply):
                self.runs[attempt.request.route, attempt.request.idempotency_key] += 1
                self.runs_by[attempt.attempt_id.split("/")[1]] += 1
            ended = AttemptEnded(attempt.attempt_id, attempt.target_id, reply)
            self.at(self.latencies.target_ms(), lambda: self._feed(instance, node, ended))

        self.at(self.latencies.target_ms(), reach)

    def _linked(self, one, other):
        return (one, other) not in self.cut and (other, one) not in self.cut

    def _tell(self, instance, peer_id, message):
        if self._linked(instance, peer_id):
            said = PeerMessageReceived(instance, message)
            self.at(self.latencies.peer_ms(), lambda: self.feed(peer_id, said))

    def switch(self, **switches):
        self.store = replace(self.store, switches=replace(self.store.switches, **switches))

    def outcome(self, request_id):
        (outcome,) = self.outcomes[request_id]
        return outcome


class Stage(World):
    """A world in which links can be unplugged."""

    def restore(self, revision):
        self.store = restore_store(self.store, revision)

    def end(self, instance):
        self.kill(instance)
        self.announce()

    def unplug(self, pair):
        self.cut.add(pair)
        self.announce()

    def plug(self, pair):
        self.cut.discard(pair)
        self.announce()


def ran(reply):
    """Whether a target that gives this reply has run the request."""
    match reply:
        case Shed() | Draining() | NotSent() | DeadlinePassed(not_run=True):
            return False
        case _:
            return True
