"""One entry instance: feeds events to the decisions and carries out their effects."""

from collections import deque
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from twisted.internet.defer import Deferred, TimeoutError

from savoryarch.codec import OUTER_NAMES, Dialect
from savoryarch.entry._log import dropped_lines, log_error, log_event, log_routine
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._target_client import TargetClient
from savoryarch.entry._timers import Timers
from savoryarch.membership import live_peer_ids
from savoryarch.model import (
    AnswerChange,
    AnswerRoute,
    AnswerSearch,
    AnswerStatus,
    BroadcastToPeers,
    CancelAttempt,
    ChangeRequested,
    ClearTimer,
    ConnectPeer,
    Count,
    Declarations,
    DeclarationsInForce,
    DisconnectPeer,
    Exit,
    InstanceListFailed,
    InstancesListed,
    LimitConnections,
    LogEvent,
    LogRoutine,
    OpenConnections,
    PeerMessageReceived,
    ProbeTarget,
    ReadInstanceList,
    RecordHistogram,
    RouteRequested,
    SearchRequested,
    SendAttempt,
    SendToPeer,
    SetReadiness,
    SetTimer,
    StatusRequested,
    StoreCall,
    StoreReplied,
)
from savoryarch.model.forwarding import (
    AnswerForward,
    ForwardRequested,
)
from savoryarch.tier import TierState, decide_tier
from savoryarch.utils import Clock

Asked = SearchRequested | RouteRequested | ForwardRequested | ChangeRequested | StatusRequested

# Names of events in the counter ``faults`` and in log lines, where they differ from the code.
_FAULT_NAMES = MappingProxyType({**OUTER_NAMES.classes, ForwardRequested: "ForwardAsked"})


class EntryInstance:
    """The shell around the decisions; everything happens in the reactor's one thread.

    Parameters
    ----------
    state : TierState
        The state to start from.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Clock of the process.
    metrics : Metrics
        Counters.
    exit_process : callable
        Called with the exit code when the shutdown is over.
    dialect : Dialect, optional
        The protocol that targets speak; the project's own if absent.
    """

    def __init__(
        self,
        state: TierState,
        reactor: Any,
        clock: Clock,
        metrics: Metrics,
        exit_process: Callable[[int], None],
        dialect: Dialect | None = None,
    ) -> None:
        self.state = state
        self.clock = clock
        self.metrics = metrics
        self.targets = TargetClient(reactor, clock, self.feed, dialect)
        self.timers = Timers(reactor, clock, self.feed)
        self.peers: Any = None
        self.store: Any = None
        self.instance_list: Any = None
        self._reactor = reactor
        self._exit_process = exit_process
        self._watching: list[Deferred] = []
        self._declarations = Declarations()
        self._ready = False
        self.when_ready: Callable[[], None] = lambda: None
        self._next_number = 0
        self._asked: dict[str, Deferred] = {}
        self._events: deque[object] = deque()
        self._feeding = False

    def feed(self, event: object) -> None:
        """Decide on an event and carry out the effects, after those of earlier events."""
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                self._decide(self._events.popleft())
        finally:
            self._feeding = False

    def submit(self, event: Asked) -> Deferred:
        """Feed an event; fires with its one outcome."""
        outcome: Deferred = Deferred()
        self._asked[_id_of(event)] = outcome
        self.feed(event)
        return outcome

    def withdraw(self, request_id: str) -> None:
        """Forget who waits for an outcome."""
        self._asked.pop(request_id, None)

    def next_request_id(self) -> str:
        """Return an id that no other start of an instance gives."""
        self._next_number += 1
        settings = self.state.settings
        return f"{settings.instance_id}-{settings.incarnation:x}-{self._next_number}"

    def declarations(self) -> Declarations:
        """Return the declarations in force."""
        return self._declarations

    def read_state(self) -> TierState:
        """Return the state as it is now."""
        return self.state

    def render_metrics(self) -> bytes:
        """Return every metric in the text exposition format."""
        self.set_gauges()
        return self.metrics.render()

    def set_gauges(self) -> None:
        """Take the values that go up and down from the state."""
        forwarding, discovery = self.state.forwarding, self.state.discovery
        waiting = sum(len(queue) for queue in forwarding.waiting.values())
        values = (
            ("requests", "forwarding", len(forwarding.forwards)),
            ("attempts", "forwarding", len(forwarding.attempts)),
            ("requests", "waiting_for_room", waiting),
            ("table_version", "in_force", forwarding.table.version if forwarding.table else 0),
            ("targets", "known", len(discovery.targets)),
            ("targets", "lapsed", len(discovery.lapsed)),
            ("store_failures_in_row", "discovery", discovery.failures),
            ("log_lines_dropped", "all", dropped_lines()),
        )
        for name, reason, value in values:
            self.metrics.set_gauge(name, reason, value)

    def wait_for_newer_generation(self, generation: int, wait_ms: float) -> Deferred:
        """Fire as soon as a newer generation is in force, or when the wait ends."""
        waiting: Deferred = Deferred()
        if self._declarations.generation > generation:
            waiting.callback(None)
            return waiting
        self._watching.append(waiting)
        waiting.addTimeout(wait_ms / 1000.0, self._reactor)
        return waiting.addErrback(lambda failure: failure.trap(TimeoutError) and None)

    def is_ready(self) -> bool:
        """Return whether the balancer may send requests."""
        return self._ready

    def count_refusal(self, reason: str) -> None:
        """Count a request that was refused before any decision."""
        self.metrics.count("refusals", reason)

    def _decide(self, event: object) -> None:
        try:
            decided = decide_tier(self.state, event, self.clock.now_ms())
        except Exception as error:
            # A fault of one decision must not end the others; its request runs into its deadline.
            kind = _FAULT_NAMES.get(type(event), type(event).__name__)
            self.metrics.count("faults", kind)
            log_error("decision_failed", (("on", kind), ("error", repr(error))))
            return
        self.state = decided.state
        for effect in decided.effects:
            self._perform(effect)

    def _perform(self, effect: object) -> None:
        match effect:
            case (
                SendAttempt()
                | CancelAttempt()
                | ProbeTarget()
                | OpenConnections()
                | LimitConnections()
            ):
                self.targets.perform(effect)
            case SetTimer(timer_id=timer_id, at_ms=at_ms):
                self.timers.set(timer_id, at_ms)
            case ClearTimer(timer_id=timer_id):
                self.timers.clear(timer_id)
            case AnswerSearch(request_id=asked_id, outcome=outcome):
                self._answer(asked_id, outcome)
            case AnswerRoute(request_id=asked_id, outcome=outcome) | AnswerForward(
                request_id=asked_id, outcome=outcome
            ):
                self._answer(asked_id, outcome)
            case Count(counter=counter, reason=reason, by=by):
                self.metrics.count(counter, reason, by)
            case _ if isinstance(effect, StoreCall):
                self._call_store(effect)
            case RecordHistogram(histogram=name, value_ms=value_ms, attributes=attributes):
                self.metrics.record_ms(name, value_ms, dict(attributes))
            case LogEvent(name=name, fields=fields):
                log_event(name, fields)
            case LogRoutine(name=name, fields=fields):
                log_routine(name, fields)
            case _:
                self._perform_rarely(effect)

    def _perform_rarely(self, effect: object) -> None:
        match effect:
            case AnswerChange(change_id=asked_id, outcome=outcome):
                self._answer(asked_id, outcome)
            case AnswerStatus(status_id=asked_id, status=status):
                self._answer(asked_id, status)
            case SendToPeer(peer_id=peer_id, message=message):
                self.peers.send(peer_id, message)
            case BroadcastToPeers():
                self._tell_peers(effect)
            case ConnectPeer(peer_id=peer_id, host=host, port=port):
                self.peers.set_peer_address(peer_id, host, port)
            case DisconnectPeer(peer_id=peer_id):
                self.peers.remove_peer(peer_id)
            case ReadInstanceList():
                self._read_instance_list()
            case SetReadiness(ready=ready):
                self._ready = ready
                if ready:
                    self.when_ready()
            case DeclarationsInForce(declarations=declarations):
                self._declare(declarations)
            case Exit(exit_code=exit_code):
                self._exit_process(exit_code)
            case _:
                raise TypeError(f"got effect {type(effect).__name__}, which nothing carries out")

    def _declare(self, declarations: Declarations) -> None:
        self._declarations = declarations
        self.targets.declare(declarations)
        watching, self._watching = self._watching, []
        for waiting in watching:
            if not waiting.called:
                waiting.callback(None)

    def _answer(self, asked_id: str, outcome: object) -> None:
        waiting = self._asked.pop(asked_id, None)
        if waiting is not None:
            waiting.callback(outcome)

    def _call_store(self, call: StoreCall) -> None:
        replied = self.store.perform(call)
        replied.addCallback(lambda reply: self.feed(StoreReplied(call.call_id, reply)))

    def _tell_peers(self, tell: BroadcastToPeers) -> None:
        for peer_id in self.live_peers():
            self.peers.send(peer_id, tell.message)

    def live_peers(self) -> tuple[str, ...]:
        """Return the instance ids of the live peers."""
        return live_peer_ids(self.state.membership)

    def hear(self, peer_id: str, message: object) -> None:
        """Take a message of a peer."""
        self.feed(PeerMessageReceived(peer_id, message))

    def _read_instance_list(self) -> None:
        read = self.instance_list.read()
        read.addCallbacks(
            lambda instances: self.feed(InstancesListed(instances)),
            lambda failure: self.feed(InstanceListFailed(failure.getErrorMessage())),
        )


def _id_of(event: Asked) -> str:
    match event:
        case ChangeRequested(change_id=change_id):
            return change_id
        case StatusRequested(status_id=status_id):
            return status_id
        case (
            SearchRequested(request_id=request_id)
            | RouteRequested(request_id=request_id)
            | ForwardRequested(request_id=request_id)
        ):
            return request_id
