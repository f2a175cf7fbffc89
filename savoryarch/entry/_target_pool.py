"""The connections of this instance to one target, and the operations that wait for one."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

from savoryarch.codec import Dialect, HttpReply
from savoryarch.entry._log import log_error
from savoryarch.entry._operations import (
    AttemptOperation,
    CancelOperation,
    ProbeOperation,
    TargetOperation,
)
from savoryarch.entry._reconnect_pause import ReconnectPause
from savoryarch.entry._reply_memory import ReplyMemory
from savoryarch.entry._target_connection import TargetConnection
from savoryarch.model import (
    NO_ADVICE,
    Cancelled,
    NotSent,
    SendAttempt,
    Target,
    TargetAdvised,
    TargetEvidence,
    TargetEvidenceReceived,
    TimedOut,
)
from savoryarch.utils import Clock

DEFAULT_CONNECTION_LIMIT = 2
# Targets state their idle timeout in whole seconds and may close a connection earlier than that, so
# a non-idempotent request is not sent on a connection that has been idle for longer than this.
MAX_NON_IDEMPOTENT_IDLE_MS = 500.0
_MS_PER_S = 1000.0


class _ConnectionFactory(ClientFactory):
    """Makes the protocol of one connection, without the wrapper of Twisted's endpoints."""

    noisy = False

    def __init__(self, connection: TargetConnection) -> None:
        self._connection = connection

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        return self._connection

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._connection.connect_failed()


class TargetPool:
    """Opens, reuses and closes the connections to one target.

    Parameters
    ----------
    target : Target
        The target, with its host and port.
    reactor : IReactorTCP and IReactorTime provider
        Twisted's reactor.
    clock : Clock
        Monotonic clock of the process.
    feed : callable
        Called with the events `AttemptEnded` and `TargetEvidenceReceived`.
    dialect : Dialect
        The protocol that the target speaks.
    reply_memory : ReplyMemory, optional
        Limit on the bytes of incomplete replies, shared with the pools of other targets.
    """

    def __init__(
        self,
        target: Target,
        reactor: Any,
        clock: Clock,
        feed: Callable[[object], None],
        dialect: Dialect,
        reply_memory: ReplyMemory | None = None,
    ) -> None:
        self.target = target
        self._reply_memory = reply_memory or ReplyMemory()
        self.reactor = reactor
        self.clock = clock
        self.feed = feed
        self.dialect = dialect
        self._limit = DEFAULT_CONNECTION_LIMIT
        # Whether the next connection is opened to find out whether the target accepts one.
        self._probe_wanted = False
        self._open: set[TargetConnection] = set()
        self._connecting: set[TargetConnection] = set()
        self._idle: list[TargetConnection] = []
        self._waiting: deque[TargetOperation] = deque()
        self._attempts: dict[str, AttemptOperation] = {}
        # Cancellations by the connection of the attempt that they cancel.
        self._cancels: dict[TargetConnection, CancelOperation] = {}
        # Time for which the target keeps idle connections, by its last reply.
        self._max_idle_ms = dialect.default_max_idle_ms
        self._pause = ReconnectPause()
        self._pause_timer: Any = None

    @property
    def host(self) -> str:
        """Value of the ``host`` header of requests to the target."""
        return f"{self.target.host}:{self.target.port}"

    def connection_count(self) -> int:
        """Return the number of connections, opening and open, that count against the limit."""
        return len(self._open)

    def send(self, effect: SendAttempt) -> None:
        """Send an attempt as soon as a connection is free.

        Exactly one `AttemptEnded` is fed for it, at its deadline at the latest.
        """
        attempt = AttemptOperation(self, effect)
        self._attempts[effect.attempt_id] = attempt
        self._submit(attempt)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; an id that is unknown or has ended is ignored."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        connection = attempt.connection
        if connection is None:
            self._waiting.remove(attempt)
            attempt.on_failure(NotSent("cancelled before a connection was free"))
            return
        connection.abandon()
        attempt.on_failure(Cancelled())
        cancellation = self.dialect.encode_cancel(attempt_id, self.host)
        if cancellation and (self._idle or len(self._open) < self._limit):
            cancel = CancelOperation(self, cancellation)
            self._cancels[connection] = cancel
            self._submit(cancel)
        # Without a free connection, the target notices the cancellation when the connection of
        # the attempt is closed at the end of its grace period.

    def probe(self) -> None:
        """Request the health endpoint, or only connect if the dialect probes that way.

        The outcome is fed as `TargetEvidenceReceived`.
        """
        if not self.dialect.probes_by_connecting:
            self._submit(ProbeOperation(self))
        elif not self._connecting:
            # A connection that is already open is no evidence: the target may have stopped
            # responding on it. An idle one is closed if the limit leaves no other way to connect.
            self._probe_wanted = True
            if self._idle and len(self._open) >= self._limit:
                self._retire(self._idle[0])
            else:
                self._connect_if_allowed()

    def keep_open(self, count: int) -> None:
        """Open connections until there are `count`, unless the limit or a pause prevents it."""
        while len(self._open) < min(count, self._limit) and not self._is_paused():
            self._connect()

    def limit(self, count: int) -> None:
        """Set the connection limit and close idle connections above it."""
        self._limit = count
        while self._idle and len(self._open) > count:
            self._retire(self._idle[0])

    def close(self) -> None:
        """Close the idle connections and end the operations that wait for one.

        Busy connections close once they are idle, because the limit is zero from now on.
        """
        self._limit = 0
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        while self._waiting:
            self._waiting.popleft().on_failure(NotSent("target is not declared any more"))
        while self._idle:
            self._retire(self._idle[0])

    def return_unsent(self, detail: str) -> None:
        """End the attempts that wait for a connection; probes and cancellations still wait."""
        for operation in [item for item in self._waiting if isinstance(item, AttemptOperation)]:
            self._waiting.remove(operation)
            operation.on_failure(NotSent(detail))

    def remove_attempt(self, attempt_id: str) -> None:
        """Remove an attempt that has ended."""
        self._attempts.pop(attempt_id, None)

    def time_out(self, operation: TargetOperation) -> None:
        """End an operation whose deadline has passed."""
        if operation.connection is None:
            self._waiting.remove(operation)
            operation.on_failure(NotSent("no connection was free by the deadline"))
            return
        operation.connection.abandon()
        operation.on_failure(TimedOut())

    def connection_idle(self, connection: TargetConnection) -> None:
        """Reuse a connection that has become idle, or close it if it is above the limit."""
        self._drop_cancel(connection)
        self._retire_stale()
        connection.idle_since_ms = self.clock.now_ms()
        self._idle.append(connection)
        if len(self._open) > self._limit:
            self._retire(connection)
        elif (operation := self._first_waiting(connection)) is not None:
            self._waiting.remove(operation)
            self._assign(operation, connection)
        elif self._waiting and len(self._open) >= self._limit:
            # What waits may not be sent on this connection, only on one that replaces it.
            self._retire(connection)

    def connection_opened(self, connection: TargetConnection) -> None:
        """Record that the target accepted a connection, and feed that as evidence."""
        self._connecting.discard(connection)
        connection.opened_at_ms = self.clock.now_ms()
        self.feed(TargetEvidenceReceived(self.target.target_id, TargetEvidence.CONNECTED))

    def connection_unusable(self, connection: TargetConnection, detail: str) -> None:
        """Log that a target sent bytes that belong to no request, and do not reuse the connection.

        Its transport ends later, so it would still count as idle until then.
        """
        if connection in self._idle:
            self._idle.remove(connection)
        fields = (("target", self.target.target_id), ("detail", detail))
        log_error("connection_unusable", fields)

    def connection_closed(
        self, connection: TargetConnection, evidence: TargetEvidence | None
    ) -> None:
        """Remove a connection; waiting operations get another one, or end as not sent.

        Parameters
        ----------
        connection : TargetConnection
            The connection whose transport has ended.
        evidence : TargetEvidence or None
            What the end shows about the target; None if this side closed the connection.
        """
        self._drop_cancel(connection)
        self._open.discard(connection)
        self._connecting.discard(connection)
        if evidence is TargetEvidence.CONNECTION_CLOSED:
            self._pause.record_close(
                connection.served, connection.opened_at_ms, self.clock.now_ms()
            )
            if self._is_idle_timeout(connection):
                evidence = None
        if connection in self._idle:
            self._idle.remove(connection)
        if evidence is not None and self._is_reportable(evidence):
            self.feed(TargetEvidenceReceived(self.target.target_id, evidence))
        if evidence is TargetEvidence.CONNECTION_REFUSED:
            self._fail_waiting("the target refused a connection")
        elif self._waiting or self._probe_wanted:
            self._connect_if_allowed()

    def reply_received(self, reply: HttpReply) -> None:
        """Feed what the target states about itself in a reply."""
        advice = self.dialect.decode_advice(reply)
        if advice is not NO_ADVICE:
            self.feed(TargetAdvised(self.target.target_id, advice))

    def update_held_bytes(self, connection: TargetConnection, held_bytes: int) -> None:
        """Account for the bytes that a connection holds of an incomplete reply."""
        self._reply_memory.update(connection, held_bytes)

    def idle_until_ms(self, reply: HttpReply) -> float:
        """Return the time, on the process's clock, until which a connection may be reused."""
        self._max_idle_ms = self.dialect.max_idle_ms(reply)
        return self.clock.now_ms() + self._max_idle_ms

    def now_ms(self) -> float:
        """Return the time on the process's clock."""
        return self.clock.now_ms()

    def _is_idle_timeout(self, connection: TargetConnection) -> bool:
        """Return whether the target has closed a connection because it was idle for long.

        That is no evidence of its state. If it counted as a lost connection, each target without
        requests would be probed, and connected to, once per idle timeout by every instance.
        """
        if connection not in self._idle:
            return False
        now_ms = self.clock.now_ms()
        if connection.served:
            return now_ms >= connection.idle_until_ms
        return now_ms - connection.opened_at_ms >= self._max_idle_ms

    def _is_reportable(self, evidence: TargetEvidence) -> bool:
        # A healthy target closes idle connections as well, whereas a crash closes all of them.
        is_last = not self._open
        return (
            evidence is not TargetEvidence.CONNECTION_CLOSED
            or self.dialect.reports_every_close
            or is_last
        )

    def _retire_stale(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in [item for item in self._idle if item.idle_until_ms <= now_ms]:
            self._retire(connection)

    def _submit(self, operation: TargetOperation) -> None:
        self._retire_stale()
        connection = self._find_idle(operation)
        if connection is not None:
            self._assign(operation, connection)
            return
        if self._idle and len(self._open) >= self._limit:
            self._retire(self._idle[0])
        self._waiting.append(operation)
        if len(self._connecting) < len(self._waiting):
            self._connect_if_allowed()

    def _find_idle(self, operation: TargetOperation) -> TargetConnection | None:
        """Return the idle connection on which an operation is sent now; None if there is none."""
        # The most recently used connection is the least likely to be stale.
        for connection in reversed(self._idle):
            if not operation.repeatable and not self._is_fresh(connection):
                return None
            if connection.may_carry(operation.shared_reply_id):
                return connection
        return None

    def _first_waiting(self, connection: TargetConnection) -> TargetOperation | None:
        """Return the operation that has waited longest among those that a connection may carry."""
        for operation in self._waiting:
            if connection.may_carry(operation.shared_reply_id):
                return operation
        return None

    def _is_fresh(self, connection: TargetConnection) -> bool:
        return self.clock.now_ms() - connection.idle_since_ms <= MAX_NON_IDEMPOTENT_IDLE_MS

    def _drop_cancel(self, connection: TargetConnection) -> None:
        # The connection has finished with the cancelled request, so the cancellation need not be
        # sent any more.
        cancel = self._cancels.pop(connection, None)
        if cancel is not None and cancel in self._waiting:
            self._waiting.remove(cancel)
            cancel.on_failure(NotSent("the cancelled request is over"))

    def _assign(self, operation: TargetOperation, connection: TargetConnection) -> None:
        self._idle.remove(connection)
        operation.start(connection)
        connection.assign(operation)

    def _retire(self, connection: TargetConnection) -> None:
        self._idle.remove(connection)
        connection.retire()

    def _is_paused(self) -> bool:
        """Return whether no connection may be opened now, and schedule the end of the pause."""
        remaining_ms = self._pause.remaining_ms(self.clock.now_ms())
        if remaining_ms <= 0.0 or self._limit == 0:
            return False
        if self._pause_timer is None:
            self._pause_timer = self.reactor.callLater(remaining_ms / _MS_PER_S, self._end_pause)
        return True

    def _end_pause(self) -> None:
        self._pause_timer = None
        if self._waiting or self._probe_wanted or not self._open:
            self._connect_if_allowed()

    def _connect_if_allowed(self) -> None:
        if self._is_paused():
            self._fail_waiting("the target turns connections away")
        elif len(self._open) < self._limit:
            self._connect()
        elif not self._open:
            self._fail_waiting("no connection to the target is allowed")

    def _connect(self) -> None:
        self._probe_wanted = False
        connection = TargetConnection(self, self.reactor)
        self._open.add(connection)
        self._connecting.add(connection)
        timeout_s = self.dialect.connect_timeout_ms / _MS_PER_S
        factory = _ConnectionFactory(connection)
        try:
            self.reactor.connectTCP(self.target.host, self.target.port, factory, timeout_s)
        except (OSError, OverflowError, ValueError) as error:
            fields = (("target", self.target.target_id), ("error", str(error)))
            log_error("connect_failed", fields)
            connection.connect_failed()

    def _fail_waiting(self, detail: str) -> None:
        # As long as one connection is open, it serves the waiting operations when it is idle.
        if self._open - self._connecting:
            return
        waiting, self._waiting = self._waiting, deque()
        for operation in waiting:
            operation.on_failure(NotSent(detail))
