"""One connection to a target, driven by the chart ``connection.ini``."""

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol

from savoryarch.charts import load_chart
from savoryarch.codec import HttpReply, HttpReplyParser
from savoryarch.exceptions import CodecError
from savoryarch.front import ByteSender
from savoryarch.model import AttemptReply, ConnectionLost, MalformedReply, TargetEvidence

# How long the reply to an abandoned request is awaited, so that its connection can be reused.
ABANDONED_GRACE_S = 0.25
# A connection that has carried the replies to so many requests that are not over is not reused.
MAX_UNFINISHED_IDS = 256

ACTIONS = frozenset(
    {
        "close",
        "deliver_loss",
        "deliver_protocol_error",
        "deliver_reply",
        "report_closed",
        "report_connected",
        "report_idle",
        "report_refused",
        "report_unusable",
        "start_grace",
        "stop_grace",
        "write_request",
    }
)
CHART = load_chart("connection", ACTIONS)


class Exchange(Protocol):
    """One request on a connection, and the callbacks for its outcome."""

    request: bytes
    shared_reply_id: str
    expires_at_ms: float

    def may_be_repeated(self, reply: HttpReply) -> bool:
        """Return whether another request with the same reply id may follow the reply."""

    def owns_reply(self, reply: HttpReply) -> bool:
        """Return whether the reply belongs to this request."""

    def on_reply(self, reply: HttpReply) -> None:
        """Handle the complete reply."""

    def on_failure(self, reply: AttemptReply) -> None:
        """Handle the end of the request without a usable reply."""


class ConnectionOwner(Protocol):
    """Functions of a pool that its connections use."""

    def connection_idle(self, connection: "TargetConnection") -> None:
        """Handle that the connection is idle and may be reused."""

    def connection_unusable(self, connection: "TargetConnection", detail: str) -> None:
        """Handle that an idle connection must not be reused; its end is reported later."""

    def connection_closed(
        self, connection: "TargetConnection", evidence: TargetEvidence | None
    ) -> None:
        """Handle the end of the connection; `evidence` is what it shows about the target."""

    def connection_opened(self, connection: "TargetConnection") -> None:
        """Handle that the target accepted the connection."""

    def reply_received(self, reply: HttpReply) -> None:
        """Handle what the target states about itself in a reply, before the reply is delivered."""

    def update_held_bytes(self, connection: "TargetConnection", held_bytes: int) -> None:
        """Handle a change of the bytes that the connection holds of a request and its reply."""

    def idle_until_ms(self, reply: HttpReply) -> float:
        """Return the time, on the process's clock, until which the connection may be reused."""

    def now_ms(self) -> float:
        """Return the time on the process's clock."""


class TargetConnection(TwistedProtocol):
    """One connection to a target; at most one request is outstanding on it.

    Parameters
    ----------
    owner : ConnectionOwner
        The pool that opened the connection.
    reactor : IReactorTime provider
        Schedules the end of the grace period after a request is abandoned.

    Attributes
    ----------
    idle_until_ms : float
        Time until which the connection may be reused; infinite before its first reply.
    idle_since_ms : float
        Time since which the connection is idle; set by the pool.
    opened_at_ms : float
        Time at which the target accepted the connection; set by the pool.
    served : bool
        Whether the connection has carried a reply.
    """

    transport: Any = None
    idle_until_ms = float("inf")
    idle_since_ms = 0.0
    opened_at_ms = float("-inf")
    served = False

    def __init__(self, owner: ConnectionOwner, reactor: Any) -> None:
        self._owner = owner
        self._reactor = reactor
        self._parser = HttpReplyParser()
        self._exchange: Exchange | None = None
        self._abandoned: Exchange | None = None
        self._reply: HttpReply | None = None
        # Ids of replies whose requests may be sent again, with the time at which they are over.
        self._unfinished_ids: dict[str, float] = {}
        self._held_bytes = 0
        self._sender: Any = None
        self._failure_detail = ""
        self._grace_timer: Any = None
        self._closed = False
        self._close_notified = False
        self._state = CHART.initial
        self._actions: dict[str, Callable[[], None]] = {
            name: getattr(self, f"_{name}") for name in ACTIONS
        }

    def assign(self, exchange: Exchange) -> None:
        """Send a request on this idle connection."""
        self._exchange, self._abandoned = exchange, None
        self._step("assigned")

    def may_carry(self, reply_id: str) -> bool:
        """Return whether a request may be sent on this connection.

        A target may send a second copy of a reply later. If the same request were sent again here,
        that copy would be taken for the reply to its new attempt.
        """
        return reply_id not in self._unfinished_ids

    def abandon(self) -> None:
        """Ignore the reply to the outstanding request.

        The connection becomes idle if the reply comes within `ABANDONED_GRACE_S`, and is closed
        otherwise.
        """
        self._exchange, self._abandoned = None, self._exchange
        self._step("abandoned")

    def retire(self) -> None:
        """Close this idle connection."""
        self._step("retired")

    def connect_failed(self) -> None:
        """Handle that the connection could not be opened."""
        if not self._closed:
            self._step("lost")
        self._notify_closed(None)

    def connectionMade(self) -> None:  # noqa: N802
        """Start using the connection, unless it was retired while opening; called by Twisted."""
        self._sender = ByteSender(self.transport, self._update_held_bytes)
        if self._closed:
            self._close()
            return
        self.transport.setTcpNoDelay(True)
        self._step("connected")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes from the target and handle complete replies; called by Twisted."""
        if self._closed:
            return
        if self._is_idle():
            # The first bytes of a reply would stay in the parser and be read as the beginning of
            # the reply to the next request.
            self._handle_protocol_error("got bytes without a request")
            return
        try:
            replies = self._parser.feed(data)
        except CodecError as error:
            self._handle_protocol_error(str(error))
            return
        self._update_held_bytes()
        if replies:
            self._handle_reply(replies[0], is_last=self._parser.has_surplus)

    def _handle_reply(self, reply: HttpReply, is_last: bool) -> None:
        """Deliver the reply to the outstanding request, and close the connection if it is last."""
        awaited = self._exchange or self._abandoned
        if awaited is not None and not awaited.owns_reply(reply):
            self._handle_protocol_error("got the reply to another request")
            return
        self._reply = reply
        self.served = True
        self._owner.reply_received(reply)
        self.idle_until_ms = self._owner.idle_until_ms(reply)
        if is_last:
            self._owner.connection_unusable(self, "got bytes after a complete reply")
        if awaited is not None and awaited.may_be_repeated(reply):
            self._record_unfinished(awaited)
        if reply.keep_alive and not is_last and len(self._unfinished_ids) < MAX_UNFINISHED_IDS:
            self._step("replied")
        else:
            self._step("replied_last")
        # An idle connection must not hold its last request and reply, which may be large.
        self._reply = None

    def _record_unfinished(self, exchange: Exchange) -> None:
        if len(self._unfinished_ids) >= MAX_UNFINISHED_IDS // 2:
            now_ms = self._owner.now_ms()
            self._unfinished_ids = {
                reply_id: at_ms
                for reply_id, at_ms in self._unfinished_ids.items()
                if at_ms > now_ms
            }
        self._unfinished_ids[exchange.shared_reply_id] = exchange.expires_at_ms

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Handle the end of the connection; called by Twisted."""
        if not self._closed and reason is not None and reason.check(ConnectionDone):
            self._end_reply()
        if not self._closed:
            self._failure_detail = reason.getErrorMessage() if reason else "lost"
            self._step("lost")
        self._notify_closed(None)
        # The bound methods refer to the connection, so that without this it would stay until the
        # next garbage collection, with the bytes that its transport has not sent.
        self._sender.close()
        self._actions = {}

    def fail_reply(self, detail: str) -> None:
        """Close the connection, because incomplete replies hold too much memory."""
        self._held_bytes = 0
        self._handle_protocol_error(detail)

    def _update_held_bytes(self) -> None:
        """Report the bytes of an incomplete reply, and of a request that is not read."""
        held_bytes = self._parser.held_bytes + self._sender.unsent_bytes
        if held_bytes != self._held_bytes and not self._closed:
            self._held_bytes = held_bytes
            self._owner.update_held_bytes(self, held_bytes)

    def _end_reply(self) -> None:
        """Deliver a reply whose body is delimited by the end of the connection."""
        self._reply = self._parser.finish()
        exchange = self._exchange
        if self._reply is None or exchange is None or not exchange.owns_reply(self._reply):
            return
        self._owner.reply_received(self._reply)
        self._step("replied_last")

    def _is_idle(self) -> bool:
        return self._exchange is None and self._grace_timer is None

    def _handle_protocol_error(self, detail: str) -> None:
        self._failure_detail = detail
        if not self._closed:
            self._step("protocol_error")

    def _step(self, event: str) -> None:
        transition = CHART.step(self._state, event)
        # The state is set before the actions run, because an action may step the chart again.
        self._state = transition.next_state
        for action in transition.actions:
            self._actions[action]()

    def _write_request(self) -> None:
        exchange = self._exchange
        assert exchange is not None
        # A copy for each attempt would stay until its reply comes.
        request, exchange.request = exchange.request, b""
        self._sender.send(request)

    def _deliver_reply(self) -> None:
        exchange, reply = self._pop_exchange(), self._reply
        self._reply = None
        if exchange and reply:
            exchange.on_reply(reply)

    def _deliver_protocol_error(self) -> None:
        if exchange := self._pop_exchange():
            exchange.on_failure(MalformedReply(self._failure_detail))

    def _deliver_loss(self) -> None:
        if exchange := self._pop_exchange():
            exchange.on_failure(ConnectionLost(self._failure_detail))

    def _pop_exchange(self) -> Exchange | None:
        exchange, self._exchange = self._exchange, None
        return exchange

    def _report_idle(self) -> None:
        self._owner.connection_idle(self)

    def _report_connected(self) -> None:
        self._owner.connection_opened(self)

    def _report_refused(self) -> None:
        self._closed = True
        self._notify_closed(TargetEvidence.CONNECTION_REFUSED)

    def _report_unusable(self) -> None:
        self._owner.connection_unusable(self, self._failure_detail)

    def _report_closed(self) -> None:
        self._closed = True
        self._notify_closed(TargetEvidence.CONNECTION_CLOSED)

    def _drop_held_bytes(self) -> None:
        self._parser.close()
        if self._held_bytes:
            self._held_bytes = 0
            self._owner.update_held_bytes(self, 0)

    def _notify_closed(self, evidence: TargetEvidence | None) -> None:
        # The connection counts against the target's limit until its transport has ended.
        if not self._close_notified:
            self._close_notified = True
            self._abandoned = None
            self._drop_held_bytes()
            self._owner.connection_closed(self, evidence)

    def _close(self) -> None:
        self._closed = True
        self._drop_held_bytes()
        if self.transport is not None:
            self.transport.abortConnection()

    def _start_grace(self) -> None:
        self._grace_timer = self._reactor.callLater(ABANDONED_GRACE_S, self._end_grace)

    def _end_grace(self) -> None:
        self._grace_timer = None
        self._step("grace_ended")

    def _stop_grace(self) -> None:
        self._abandoned = None
        if self._grace_timer is not None:
            self._grace_timer.cancel()
            self._grace_timer = None
