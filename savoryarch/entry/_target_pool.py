"""The connections of this instance to one target, and the attempts that wait for one."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from savoryarch.codec import Dialect, HttpReply
from savoryarch.entry._operations import (
    AttemptOperation,
    CancelOperation,
    ProbeOperation,
    TargetOperation,
)
from savoryarch.entry._target_connection import TargetConnection
from savoryarch.model import (
    Cancelled,
    NotSent,
    SendAttempt,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
    TimedOut,
)
from savoryarch.utils import Clock

DEFAULT_CONNECTION_LIMIT = 2
# Targets state idle timeouts in whole seconds and may drop a connection sooner than that.
MAX_UNREPEATABLE_IDLE_MS = 500.0
# A target that resets a connection so soon after it was opened has too many of them.
TURNED_AWAY_MS = 250.0
FIRST_PAUSE_MS, MAX_PAUSE_MS = 100.0, 1600.0  # before the next connection; doubles each time
_MS_PER_S = 1000.0


class TargetPool:
    """The connections to one target.

    Parameters
    ----------
    target : Target
        Where to connect.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Clock of the process.
    feed : callable
        Takes the events `AttemptEnded` and `TargetEvidenceReceived`.
    dialect : Dialect
        The protocol that the target speaks.
    """

    def __init__(
        self,
        target: Target,
        reactor: Any,
        clock: Clock,
        feed: Callable[[object], None],
        dialect: Dialect,
    ) -> None:
        self.target = target
        self.reactor = reactor
        self.clock = clock
        self.feed = feed
        self.dialect = dialect
        self._limit = DEFAULT_CONNECTION_LIMIT
        self._spare = 0
        self._probing = False  # whether a connection is wanted to see whether the target is there
        self._open: set[TargetConnection] = set()
        self._connecting: set[TargetConnection] = set()
        self._idle: list[TargetConnection] = []
        self._waiting: deque[TargetOperation] = deque()
        self._attempts: dict[str, AttemptOperation] = {}
        self._cancels: dict[TargetConnection, CancelOperation] = {}
        self._pause_ms = 0.0
        self._paused_until_ms = float("-inf")
        self._resume: Any = None

    @property
    def host(self) -> str:
        """Value of the host header."""
        return f"{self.target.host}:{self.target.port}"

    def connection_count(self) -> int:
        """Return the number of connections that count against the target's limit."""
        return len(self._open)

    def send(self, send: SendAttempt) -> None:
        """Send an attempt as soon as a connection is free; ends with one `AttemptEnded`."""
        attempt = AttemptOperation(self, send)
        self._attempts[send.attempt_id] = attempt
        self._submit(attempt)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; unknown and ended ones are ignored."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        connection = attempt.connection
        if connection is None:
            self._waiting.remove(attempt)
            attempt.failed(NotSent("cancelled before a connection was free"))
            return
        connection.abandon()
        attempt.failed(Cancelled())
        cancellation = self.dialect.encode_cancel(attempt_id, self.host)
        if cancellation and (self._idle or len(self._open) < self._limit):
            cancel = CancelOperation(self, cancellation)
            self._cancels[connection] = cancel
            self._submit(cancel)
        # Without a connection to spare the target learns of it when the grace period closes
        # this one.

    def probe(self) -> None:
        """Ask the health endpoint, or just connect; ends with one `TargetEvidenceReceived`."""
        if not self.dialect.probes_by_connecting:
            self._submit(ProbeOperation(self))
        elif not self._connecting:
            # An open connection proves nothing: it may be silent for good.
            self._probing = True
            if self._idle and len(self._open) >= self._limit:
                self._retire(self._idle[0])
            else:
                self._connect_if_allowed()

    def keep_open(self, count: int) -> None:
        """Keep at least `count` connections open, within the limit."""
        self._spare = count
        while len(self._open) < min(count, self._limit) and not self._is_paused():
            self._connect()

    def limit(self, count: int) -> None:
        """Never hold more than `count` connections; closes idle ones above it."""
        self._limit = count
        while self._idle and len(self._open) > count:
            self._retire(self._idle[0])

    def close(self) -> None:
        """Close every idle connection and end what waits for one."""
        self._limit = 0
        if self._resume is not None:
            self._resume.cancel()
            self._resume = None
        while self._waiting:
            self._waiting.popleft().failed(NotSent("target is not declared any more"))
        while self._idle:
            self._retire(self._idle[0])

    def forget(self, attempt_id: str) -> None:
        """Drop an ended attempt."""
        self._attempts.pop(attempt_id, None)

    def time_out(self, errand: TargetOperation) -> None:
        """End an errand whose deadline has passed."""
        if errand.connection is None:
            self._waiting.remove(errand)
            errand.failed(NotSent("no connection was free by the deadline"))
            return
        errand.connection.abandon()
        errand.failed(TimedOut())

    def offer(self, connection: TargetConnection) -> None:
        """Take an idle connection from the connection itself."""
        self._drop_cancel(connection)
        self._drop_stale()
        connection.idle_since_ms = self.clock.now_ms()
        self._idle.append(connection)
        if len(self._open) > self._limit:
            self._retire(connection)
        elif self._waiting:
            self._assign(self._waiting.popleft())

    def connection_opened(self, connection: TargetConnection) -> None:
        """Note that the target accepted a connection."""
        self._connecting.discard(connection)
        connection.opened_at_ms = self.clock.now_ms()
        self.feed(TargetEvidenceReceived(self.target.target_id, TargetEvidence.CONNECTED))

    def connection_closed(self, connection: TargetConnection, sign: TargetEvidence | None) -> None:
        """Forget a connection; what waits for one gets another or fails."""
        self._drop_cancel(connection)
        self._open.discard(connection)
        self._connecting.discard(connection)
        if sign is TargetEvidence.CONNECTION_CLOSED:
            self._note_end(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        if sign is not None and self._is_telling(sign):
            self.feed(TargetEvidenceReceived(self.target.target_id, sign))
        if sign is TargetEvidence.CONNECTION_REFUSED:
            self._fail_waiting("the target refused a connection")
        elif self._waiting or self._probing:
            self._connect_if_allowed()

    def idle_until_ms(self, reply: HttpReply) -> float:
        """Return until when a connection may be reused after a reply."""
        return self.clock.now_ms() + self.dialect.max_idle_ms(reply)

    def _is_telling(self, sign: TargetEvidence) -> bool:
        # Targets close idle connections in ordinary times; a crash closes all of them.
        last = not self._open
        return (
            sign is not TargetEvidence.CONNECTION_CLOSED or self.dialect.reports_every_close or last
        )

    def _drop_stale(self) -> None:
        now_ms = self.clock.now_ms()
        for connection in [item for item in self._idle if item.idle_until_ms <= now_ms]:
            self._retire(connection)

    def _submit(self, errand: TargetOperation) -> None:
        self._drop_stale()
        if self._idle and (errand.repeatable or self._is_fresh(self._idle[-1])):
            self._assign(errand)
            return
        if self._idle and len(self._open) >= self._limit:
            self._retire(self._idle[0])
        self._waiting.append(errand)
        if len(self._connecting) < len(self._waiting):
            self._connect_if_allowed()

    def _is_fresh(self, connection: TargetConnection) -> bool:
        return self.clock.now_ms() - connection.idle_since_ms <= MAX_UNREPEATABLE_IDLE_MS

    def _drop_cancel(self, connection: TargetConnection) -> None:
        # The cancelled request is over, so that its cancellation need not be sent any more.
        cancel = self._cancels.pop(connection, None)
        if cancel is not None and cancel in self._waiting:
            self._waiting.remove(cancel)
            cancel.failed(NotSent("the cancelled request is over"))

    def _assign(self, errand: TargetOperation) -> None:
        # The most recently used connection is the least likely to be stale.
        connection = self._idle.pop()
        errand.start(connection)
        connection.assign(errand)

    def _retire(self, connection: TargetConnection) -> None:
        self._idle.remove(connection)
        connection.retire()

    def _note_end(self, connection: TargetConnection) -> None:
        """Pause after a connection that was reset at once; each one costs the target a little."""
        if connection.served:
            self._pause_ms = 0.0
        elif self.clock.now_ms() - connection.opened_at_ms <= TURNED_AWAY_MS:
            self._pause_ms = min(MAX_PAUSE_MS, max(FIRST_PAUSE_MS, 2.0 * self._pause_ms))
            self._paused_until_ms = self.clock.now_ms() + self._pause_ms

    def _is_paused(self) -> bool:
        """Return whether no connection is opened now; one is opened at the end of the pause."""
        left_ms = self._paused_until_ms - self.clock.now_ms()
        if left_ms <= 0.0 or self._limit == 0:
            return False
        if self._resume is None:
            self._resume = self.reactor.callLater(left_ms / _MS_PER_S, self._end_pause)
        return True

    def _end_pause(self) -> None:
        self._resume = None
        if self._waiting or self._probing or not self._open:
            self._connect_if_allowed()

    def _connect_if_allowed(self) -> None:
        if self._is_paused():
            self._fail_waiting("the target turns connections away")
        elif len(self._open) < self._limit:
            self._connect()
        elif not self._open:
            self._fail_waiting("no connection to the target is allowed")

    def _connect(self) -> None:
        self._probing = False
        connection = TargetConnection(self, self.reactor)
        self._open.add(connection)
        self._connecting.add(connection)
        endpoint = TCP4ClientEndpoint(
            self.reactor,
            self.target.host,
            self.target.port,
            self.dialect.connect_timeout_ms / _MS_PER_S,
        )
        connectProtocol(endpoint, connection).addErrback(self._connect_failed, connection)

    def _connect_failed(self, failure: Failure, connection: TargetConnection) -> None:
        failure.trap(ConnectError)
        connection.connect_failed()

    def _fail_waiting(self, detail: str) -> None:
        # Connections that are still open take what waits; without one nothing will.
        if self._open - self._connecting:
            return
        waiting, self._waiting = self._waiting, deque()
        for errand in waiting:
            errand.failed(NotSent(detail))
