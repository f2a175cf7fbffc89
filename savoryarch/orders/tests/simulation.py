"""Simulates several instances in virtual time, with the pure logic of the store stand-in.

Only the interfaces are fakes: one service whose targets count the requests that they run, and links
to peers and the store, which can be cut.
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
from savoryarch_standins.store import StoreState, call_store_as_client, restore_store

TARGET_IDS = ("pedidos-1", "pedidos-2")
PROBE_INTERVAL_MS = 100.0


@dataclass(frozen=True)
class Latencies:
    """Latencies in one direction, as functions, so that tests can return random values."""

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
    """One instance; `deferred_events` holds the events that arrive while it is frozen."""

    state: object
    targets: object
    timers: dict = field(default_factory=dict)
    frozen: bool = False
    deferred_events: list = field(default_factory=list)


class Simulation:
    """Instances, the links between them, the store and the targets.

    Attributes that tests replace: `target_reply` returns the reply of a target to the run with the
    given number, and `filter_effects` returns which effects of a decision are performed.
    """

    def __init__(self, instances=("a", "b"), settings=None, latencies=None, declarations=None):
        self.settings = settings or OrdersSettings()
        self.latencies = latencies or Latencies()
        self.declarations = declarations or make_declarations()
        self.now_ms = 0.0
        self.store = StoreState()
        self.nodes = {}
        self.cut_links = set()
        self.runs = Counter()
        self.runs_by_request_id = Counter()
        self.outcomes = {}
        self.answered_at_ms = {}
        self.effects = []
        self.keys_by_request_id = {}
        self.target_reply = lambda run: RouteReturned(201, b'{"order":%d}' % run)
        self.filter_effects = lambda instance, effects: effects
        self._events = []
        self._event_numbers = count()
        self._request_numbers = count(1)
        self._incarnations = count(1)
        self._run_numbers = count(1)
        for instance in instances:
            self.start(instance)
        self.update_peers()

    def schedule(self, delay_ms, action):
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._event_numbers), action))

    def run(self, until_ms):
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = max(self.now_ms, until_ms)

    def start(self, instance):
        # The calendar time at the start of a simulation is 1e9 ms.
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
        self.schedule(PROBE_INTERVAL_MS, lambda: self._probe(instance, node))

    def update_peers(self):
        for instance in tuple(self.nodes):
            live = tuple(
                peer for peer in self.nodes if peer != instance and self._is_linked(instance, peer)
            )
            self.feed(instance, PeersChanged(live))

    def kill(self, instance):
        del self.nodes[instance]

    def freeze(self, instance):
        self.nodes[instance].frozen = True

    def thaw(self, instance):
        node = self.nodes[instance]
        node.frozen = False
        deferred_events, node.deferred_events = node.deferred_events, []
        for event in deferred_events:
            self._feed(instance, node, event)

    def send_request(self, instance, key, body=b"{}", route="order", **fields):
        request_id = f"r{next(self._request_numbers)}"
        self.keys_by_request_id[request_id] = key
        self.feed(instance, RouteRequested(request_id, route, "", key, body, **fields))
        return request_id

    def disconnect_caller(self, instance, request_id):
        self.feed(instance, CallerDisconnected(request_id))

    def feed(self, instance, event):
        node = self.nodes.get(instance)
        if node is not None:
            self._feed(instance, node, event)

    def _feed(self, instance, node, event):
        if self.nodes.get(instance) is not node:
            return
        if node.frozen:
            node.deferred_events.append(event)
            return
        node.targets = decide_targets(node.targets, event, self.now_ms).state
        decided = decide_orders(node.state, node.targets, event, self.now_ms)
        node.state, node.targets = decided.state, decided.targets
        for effect in self.filter_effects(instance, decided.effects):
            self._perform(instance, node, effect)

    def _perform(self, instance, node, effect):
        self.effects.append((self.now_ms, instance, effect))
        match effect:
            case SetTimer(timer_id=timer_id, at_ms=at_ms):
                node.timers[timer_id] = effect
                self.schedule(
                    at_ms - self.now_ms, lambda: self._expire_timer(instance, node, effect)
                )
            case ClearTimer(timer_id=timer_id):
                node.timers.pop(timer_id, None)
            case ReadKey() | SwapKey():
                self._call_store(instance, node, effect)
            case SendAttempt():
                self._send_attempt(instance, node, effect)
            case SendToPeer(peer_id=peer_id, message=message):
                self._send_to_peer(instance, peer_id, message)
            case AnswerRoute(request_id=request_id, outcome=outcome):
                self.outcomes.setdefault(request_id, []).append(outcome)
                self.answered_at_ms[request_id] = self.now_ms

    def _expire_timer(self, instance, node, timer):
        if node.timers.get(timer.timer_id) is timer:
            del node.timers[timer.timer_id]
            self._feed(instance, node, TimerFired(timer.timer_id))

    def _call_store(self, instance, node, call):
        request_ms, reply_ms = self.latencies.store_ms(), self.latencies.store_ms()
        timeout_ms = self.latencies.store_timeout_ms

        def arrive():
            self.store, reply = call_store_as_client(self.store, call, self.now_ms)
            if request_ms + reply_ms < timeout_ms:
                self.schedule(
                    reply_ms, lambda: self._feed(instance, node, StoreReplied(call.call_id, reply))
                )

        if ("store", instance) in self.cut_links:
            request_ms = timeout_ms
        else:
            self.schedule(request_ms, arrive)
        if request_ms + reply_ms >= timeout_ms:
            reply = StoreReplied(call.call_id, StoreUnreachable("timeout"))
            self.schedule(timeout_ms, lambda: self._feed(instance, node, reply))

    def _send_attempt(self, instance, node, attempt):
        def arrive():
            run = next(self._run_numbers)
            reply = self.target_reply(run)
            if has_run(reply):
                self.runs[attempt.request.route, attempt.request.idempotency_key] += 1
                self.runs_by_request_id[attempt.attempt_id.split("/")[1]] += 1
            ended = AttemptEnded(attempt.attempt_id, attempt.target_id, reply)
            self.schedule(self.latencies.target_ms(), lambda: self._feed(instance, node, ended))

        self.schedule(self.latencies.target_ms(), arrive)

    def _is_linked(self, one, other):
        return (one, other) not in self.cut_links and (other, one) not in self.cut_links

    def _send_to_peer(self, instance, peer_id, message):
        if self._is_linked(instance, peer_id):
            received = PeerMessageReceived(instance, message)
            self.schedule(self.latencies.peer_ms(), lambda: self.feed(peer_id, received))

    def set_store_faults(self, **switches):
        self.store = replace(self.store, switches=replace(self.store.switches, **switches))

    def outcome(self, request_id):
        (outcome,) = self.outcomes[request_id]
        return outcome


class FaultySimulation(Simulation):
    """A simulation with steps that also update the live peers, and with restores of the store."""

    def restore(self, revision):
        self.store = restore_store(self.store, revision)

    def kill_and_update_peers(self, instance):
        self.kill(instance)
        self.update_peers()

    def cut_link(self, pair):
        self.cut_links.add(pair)
        self.update_peers()

    def restore_link(self, pair):
        self.cut_links.discard(pair)
        self.update_peers()


def has_run(reply):
    """Return whether a target that gives this reply has run the request."""
    match reply:
        case Shed() | Draining() | NotSent() | DeadlinePassed(not_run=True):
            return False
        case _:
            return True
