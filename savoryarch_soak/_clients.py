"""Clients of forwarded requests, with persistent connections."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol

from savoryarch.codec import HttpReply, HttpReplyParser
from savoryarch.exceptions import CodecError
from savoryarch.platform import (
    DEADLINE_HEADER,
    MISSING_PARTS_HEADER,
    PART_DIGESTS_HEADER,
    REQUEST_ID_HEADER,
)
from savoryarch.utils import Clock
from savoryarch_soak._journal import Exchange
from savoryarch_standins.harness import Address

ROUTE_HOST = "soak.example"
CLIENT_DEADLINE_MS = 1500.0  # sent with each request
CLIENT_MARGIN_MS = 1500.0  # from the deadline until the client closes the connection
CONNECT_TIMEOUT_S = 1.0
_MS_PER_S = 1000.0


class Clients:
    """The clients of one entry instance.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Steady clock of the machine.
    address : Address
        Address of the instance.
    on_exchange_ended : callable
        Called with each `Exchange` when it has ended.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        address: Address,
        on_exchange_ended: Callable[[Exchange], None],
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self._address = address
        self._on_exchange_ended = on_exchange_ended
        self._idle: list[ClientConnection] = []

    def send(self, exchange: Exchange) -> None:
        """Send a request on an idle connection, or on a new one if there is none."""
        if self._idle:
            self._idle.pop().send(exchange)
            return
        address = self._address
        endpoint = TCP4ClientEndpoint(self.reactor, address.host, address.port, CONNECT_TIMEOUT_S)
        connecting = connectProtocol(endpoint, ClientConnection(self))
        connecting.addCallbacks(
            lambda connection: connection.send(exchange),
            lambda failure: self.record_end(replace(exchange, failure="refused")),
        )

    def hold_incomplete_request(self) -> None:
        """Open a connection, send an incomplete request, and leave the connection open.

        A planned stop of the instance must not wait for the rest of the request.
        """
        address = self._address
        endpoint = TCP4ClientEndpoint(self.reactor, address.host, address.port, CONNECT_TIMEOUT_S)
        # A failure is ignored: an instance that is not running has no planned stop to obstruct.
        connectProtocol(endpoint, IncompleteRequestProtocol()).addErrback(lambda failure: None)

    def record_end(self, exchange: Exchange) -> None:
        """Report an exchange with the present time as its end."""
        self._on_exchange_ended(replace(exchange, ended_at_ms=self.clock.now_ms()))

    def add_idle(self, connection: "ClientConnection") -> None:
        """Make a connection available to the next request."""
        self._idle.append(connection)

    def remove_idle(self, connection: "ClientConnection") -> None:
        """Remove a closed connection."""
        if connection in self._idle:
            self._idle.remove(connection)


class ClientConnection(Protocol):
    """A connection that has at most one request in flight.

    Parameters
    ----------
    clients : Clients
        The clients that share the connection.
    """

    transport: Any = None

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._parser = HttpReplyParser()
        self._exchange: Exchange | None = None
        self._timer: Any = None

    def send(self, exchange: Exchange) -> None:
        """Send a request and start its timeout."""
        self._exchange = replace(exchange, sent_at_ms=self._clients.clock.now_ms())
        timeout_s = (CLIENT_DEADLINE_MS + CLIENT_MARGIN_MS) / _MS_PER_S
        self._timer = self._clients.reactor.callLater(timeout_s, self._time_out)
        self.transport.write(encode_request(exchange))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle bytes of an answer; called by Twisted.

        The connection is aborted after a malformed answer, or one that no request waits for.
        """
        try:
            replies = self._parser.feed(data)
        except CodecError:
            self.transport.abortConnection()
            return
        for reply in replies:
            exchange = self._pop_exchange()
            if exchange is None:
                self.transport.abortConnection()
                return
            if reply.keep_alive:
                self._clients.add_idle(self)
            self._clients.record_end(apply_answer(exchange, reply))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the request in flight as cut; called by Twisted."""
        self._clients.remove_idle(self)
        exchange = self._pop_exchange()
        if exchange is not None:
            self._clients.record_end(replace(exchange, failure="cut"))

    def _time_out(self) -> None:
        self._timer = None
        exchange = self._pop_exchange()
        if exchange is not None:
            self._clients.record_end(replace(exchange, failure="late"))
        self.transport.abortConnection()

    def _pop_exchange(self) -> Exchange | None:
        exchange, self._exchange = self._exchange, None
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
        return exchange


class IncompleteRequestProtocol(Protocol):
    """A connection that sends the start of a request and never completes it."""

    transport: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send a request line and one header; called by Twisted."""
        self.transport.write(f"POST /order/half HTTP/1.1\r\nhost: {ROUTE_HOST}\r\n".encode())


def encode_request(exchange: Exchange) -> bytes:
    """Return the HTTP request of an exchange."""
    request_id = exchange.request_id
    body = request_id.encode() if exchange.route == "order" else b""
    method = "POST" if exchange.route == "order" else "GET"
    lines = [
        f"{method} /{exchange.route}/{request_id} HTTP/1.1",
        f"host: {ROUTE_HOST}",
        f"{REQUEST_ID_HEADER}: {request_id}",
        f"{DEADLINE_HEADER}: {CLIENT_DEADLINE_MS:.0f}",
        f"content-length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def apply_answer(exchange: Exchange, reply: HttpReply) -> Exchange:
    """Return the exchange with the status, headers and body of its answer."""
    digests = reply.header(PART_DIGESTS_HEADER.lower())
    return replace(
        exchange,
        status=reply.status,
        digests=tuple(digests.split(", ")) if digests else (),
        missing=int(reply.header(MISSING_PARTS_HEADER.lower()) or 0),
        body=reply.body,
    )
