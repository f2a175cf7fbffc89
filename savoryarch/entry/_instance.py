"""One entry instance: feeds events to the decisions and performs their effects."""

from collections import deque
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from twisted.internet.defer import Deferred, TimeoutError

from savoryarch.codec import OUTER_NAMES, Dialect
from savoryarch.entry._log import dropped_lines, log_error, log_event, log_routine
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._reply_memory import ReplyMemory
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
    ReturnUnsent,
    RouteRequested,
    SearchRequested,
    SendAttempt,
    SendToPeer,
    SetReadiness,
    SetTimer,
    StatusRequested,
    StoreCall,
    StoreReplied,
    StoreReply,
    StoreUnreachable,
)
from savoryarch.model.forwarding import (
    AnswerForward,
    ForwardRequested,
)
from savoryarch.tier import TierState, decide_tier
from savoryarch.utils import Clock

OutcomeRequest = (
    SearchRequested | RouteRequested | ForwardRequested | ChangeRequested | StatusRequested
)

SHORTAGE_LOG_INTERVAL_MS = 1000.0

# Names of events in the counter ``faults`` and in log lines, where they differ from class names.
_FAULT_NAMES = MappingProxyType({**OUTER_NAMES.classes, ForwardRequested: "ForwardAsked"})


class EntryInstance:
    """Performs input and output for the decisions, in the one thread of the reactor.

    Parameters
    ----------
    state : TierState
        The initial state.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Monotonic clock of the process.
    metrics : Metrics
        The metrics of the process.
    exit_process : callable
        Called with the effect `Exit` when the shutdown has finished.
    dialect : Dialect, optional
        The protocol that targets speak; default is `JsonDialect`.
    reply_memory : ReplyMemory, optional
        Limit on the bytes of incomplete replies of all targets.

    Attributes
    ----------
    peers : PeerTransport or UnopenedPeers
        Sends messages to peers; set by the maker of the instance.
    store : StoreClient or AbsentStore
        Performs store calls; set by the maker of the instance.
    instance_list : InstanceListClient, AbsentInstanceList or DiscoveredInstanceList
        Reads the list of instances; set by the maker of the instance.
    on_ready, on_store_reply : callable
        Called without arguments each time the decisions set the instance ready, and before each
        reply of the store is fed.
    update_process_gauges : callable
        Called with the metrics to set the gauges of the process.
    """

    def __init__(
        self,
        state: TierState,
        reactor: Any,
        clock: Clock,
        metrics: Metrics,
        exit_process: Callable[[Exit], None],
        dialect: Dialect | None = None,
        reply_memory: ReplyMemory | None = None,
    ) -> None:
        self.state = state
        self.clock = clock
        self.metrics = metrics
        self.targets = TargetClient(reactor, clock, self.feed, dialect, reply_memory)
        self.timers = Timers(reactor, clock, self.feed)
        self.peers: Any = None
        self.store: Any = None
        self.instance_list: Any = None
        self._reactor = reactor
        self._exit_process = exit_process
        self._generation_watchers: list[Deferred] = []
        self._declarations = Declarations()
        self._ready = False
        self.on_ready: Callable[[], None] = lambda: None
        self.on_store_reply: Callable[[], None] = lambda: None
        self.update_process_gauges: Callable[[Metrics], None] = lambda metrics: None
        self._last_request_number = 0
        self._pending_outcomes: dict[str, Deferred] = {}
        self._events: deque[object] = deque()
        self._feeding = False
        self._shortage_logged_at_ms = float("-inf")

    def feed(self, event: object) -> None:
        """Decide on an event and perform the effects.

        An event that is fed while another one is handled waits until all effects of the earlier
        one have been performed.
        """
        self._events.append(event)
        if self._feeding:
            return
        self._feeding = True
        try:
            while self._events:
                self._handle_event(self._events.popleft())
        finally:
            self._feeding = False

    def submit(self, event: OutcomeRequest) -> Deferred:
        """Feed an event that has an outcome.

        Returns
        -------
        outcome : Deferred
            Fires once, with the outcome that the decisions give.
        """
        outcome: Deferred = Deferred()
        self._pending_outcomes[_request_id_of(event)] = outcome
        self.feed(event)
        return outcome

    def ignore_outcome(self, request_id: str) -> None:
        """Discard the outcome of a request when it comes; its Deferred never fires then."""
        self._pending_outcomes.pop(request_id, None)

    def next_request_id(self) -> str:
        """Return a request id that is unique over instances and their restarts."""
        self._last_request_number += 1
        settings = self.state.settings
        return f"{settings.instance_id}-{settings.incarnation:x}-{self._last_request_number}"

    def declarations(self) -> Declarations:
        """Return the declarations in force."""
        return self._declarations

    def read_state(self) -> TierState:
        """Return the current state."""
        return self.state

    def render_metrics(self) -> bytes:
        """Update the gauges and return all metrics in the Prometheus text exposition format."""
        self.update_gauges()
        return self.metrics.render()

    def update_gauges(self) -> None:
        """Set the gauges from the current state."""
        forwarding, discovery = self.state.forwarding, self.state.discovery
        waiting_count = sum(len(queue) for queue in forwarding.waiting.values())
        values = (
            ("requests", "forwarding", len(forwarding.forwards)),
            ("attempts", "forwarding", len(forwarding.attempts)),
            ("requests", "waiting_for_room", waiting_count),
            ("table_version", "in_force", forwarding.table.version if forwarding.table else 0),
            ("targets", "known", len(discovery.targets)),
            ("targets", "lapsed", len(discovery.lapsed)),
            ("store_failures_in_row", "discovery", discovery.failures),
            ("log_lines_dropped", "all", dropped_lines()),
        )
        for name, reason, value in values:
            self.metrics.set_gauge(name, reason, value)
        self.update_process_gauges(self.metrics)

    def wait_for_newer_generation(self, generation: int, wait_ms: float) -> Deferred:
        """Wait for declarations that are newer than a generation.

        Returns
        -------
        waited : Deferred
            Fires with None as soon as a newer generation is in force, or after `wait_ms`.
        """
        watcher: Deferred = Deferred()
        if self._declarations.generation > generation:
            watcher.callback(None)
            return watcher
        self._generation_watchers.append(watcher)
        watcher.addTimeout(wait_ms / 1000.0, self._reactor)
        return watcher.addErrback(lambda failure: failure.trap(TimeoutError) and None)

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this instance."""
        return self._ready

    def count_refusal(self, reason: str) -> None:
        """Count a request that was refused before it became an event."""
        self.metrics.count("refusals", reason)

    def report_shortage(self, reason: str, detail: str) -> None:
        """Count a refusal for lack of memory, and log the first one in each second."""
        self.count_refusal(reason)
        now_ms = self.clock.now_ms()
        if now_ms - self._shortage_logged_at_ms >= SHORTAGE_LOG_INTERVAL_MS:
            self._shortage_logged_at_ms = now_ms
            log_event("memory_short", (("reason", reason), ("detail", detail)))

    def _handle_event(self, event: object) -> None:
        try:
            decided = decide_tier(self.state, event, self.clock.now_ms())
        except Exception as error:
            # A fault in one decision must not stop the instance. The state stays as it was, and a
            # request that is affected ends at its deadline.
            event_name = _FAULT_NAMES.get(type(event), type(event).__name__)
            self.metrics.count("faults", event_name)
            log_error("decision_failed", (("on", event_name), ("error", f"{error!r:.500}")))
            self._fail_store_call(event, error)
            return
        self.state = decided.state
        for effect in decided.effects:
            try:
                self._perform(effect)
            except Exception as error:
                # The effects that follow belong to the new state and must be performed: one of
                # them may set the timer without which a component would stop.
                effect_name = type(effect).__name__
                self.metrics.count("faults", effect_name)
                log_error("effect_failed", (("on", effect_name), ("error", f"{error!r:.500}")))

    def _fail_store_call(self, event: object, error: Exception) -> None:
        """Let a component whose decision on a reply of the store failed treat the call as failed.

        Otherwise it would wait for the reply forever, and no longer follow the store.
        """
        match event:
            case StoreReplied(reply=StoreUnreachable()):
                pass
            case StoreReplied(call_id=call_id):
                detail = f"decision failed: {type(error).__name__}"
                self._events.append(StoreReplied(call_id, StoreUnreachable(detail)))

    def _perform(self, effect: object) -> None:
        match effect:
            case (
                SendAttempt()
                | CancelAttempt()
                | ProbeTarget()
                | OpenConnections()
                | LimitConnections()
                | ReturnUnsent()
            ):
                self.targets.perform(effect)
            case SetTimer(timer_id=timer_id, at_ms=at_ms):
                self.timers.set(timer_id, at_ms)
            case ClearTimer(timer_id=timer_id):
                self.timers.clear(timer_id)
            case AnswerSearch(request_id=request_id, outcome=outcome):
                self._answer(request_id, outcome)
            case AnswerRoute(request_id=request_id, outcome=outcome) | AnswerForward(
                request_id=request_id, outcome=outcome
            ):
                self._answer(request_id, outcome)
            case Count(counter=counter, reason=reason, by=by):
                self.metrics.count(counter, reason, by)
            case RecordHistogram(histogram=name, value_ms=value_ms, attributes=attributes):
                self.metrics.record_ms(name, value_ms, attributes)
            case LogEvent(name=name, fields=fields):
                log_event(name, fields)
            case LogRoutine(name=name, fields=fields):
                log_routine(name, fields)
            case _ if isinstance(effect, StoreCall):
                self._call_store(effect)
            case _:
                self._perform_rare_effect(effect)

    def _perform_rare_effect(self, effect: object) -> None:
        match effect:
            case AnswerChange(change_id=request_id, outcome=outcome):
                self._answer(request_id, outcome)
            case AnswerStatus(status_id=request_id, status=status):
                self._answer(request_id, status)
            case SendToPeer(peer_id=peer_id, message=message):
                self.peers.send(peer_id, message)
            case BroadcastToPeers():
                self._broadcast(effect)
            case ConnectPeer(peer_id=peer_id, host=host, port=port):
                self.peers.set_peer_address(peer_id, host, port)
            case DisconnectPeer(peer_id=peer_id):
                self.peers.remove_peer(peer_id)
            case ReadInstanceList():
                self._read_instance_list()
            case SetReadiness(ready=ready):
                self._ready = ready
                if ready:
                    self.on_ready()
            case DeclarationsInForce(declarations=declarations):
                self._apply_declarations(declarations)
            case Exit():
                self._exit_process(effect)
            case _:
                raise TypeError(f"got effect {type(effect).__name__}, which nothing performs")

    def _apply_declarations(self, declarations: Declarations) -> None:
        self._declarations = declarations
        self.targets.declare(declarations)
        watchers, self._generation_watchers = self._generation_watchers, []
        for watcher in watchers:
            if not watcher.called:
                watcher.callback(None)

    def _answer(self, request_id: str, outcome: object) -> None:
        pending = self._pending_outcomes.pop(request_id, None)
        if pending is not None:
            pending.callback(outcome)

    def _call_store(self, call: StoreCall) -> None:
        performed = self.store.perform(call)
        performed.addCallback(self._handle_store_reply, call.call_id)

    def _handle_store_reply(self, reply: StoreReply, call_id: str) -> None:
        if not isinstance(reply, StoreUnreachable):
            self.on_store_reply()
        self.feed(StoreReplied(call_id, reply))

    def _broadcast(self, broadcast: BroadcastToPeers) -> None:
        for peer_id in self.live_peer_ids():
            self.peers.send(peer_id, broadcast.message)

    def live_peer_ids(self) -> tuple[str, ...]:
        """Return the instance ids of the live peers."""
        return live_peer_ids(self.state.membership)

    def handle_peer_message(self, peer_id: str, message: object) -> None:
        """Feed a message from a peer."""
        self.feed(PeerMessageReceived(peer_id, message))

    def _read_instance_list(self) -> None:
        read = self.instance_list.read()
        read.addCallbacks(
            lambda instances: self.feed(InstancesListed(instances)),
            lambda failure: self.feed(InstanceListFailed(failure.getErrorMessage())),
        )


def _request_id_of(event: OutcomeRequest) -> str:
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
