"""Clients that keep their connections until the other side closes them."""

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

HOST = "soak.example"
LEFT_MS = 1500.0  # that a client waits, as it says with each request
PATIENCE_MS = 1500.0  # beyond that, before it gives up without an answer
CONNECT_TIMEOUT_S = 1.0
_MS_PER_S = 1000.0


class Clients:
    """All clients of one entry instance.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Steady clock of the machine.
    address : Address
        Of the instance.
    record : callable
        Takes each ended `Exchange`.
    """

    def __init__(
        self, reactor: Any, clock: Clock, address: Address, record: Callable[[Exchange], None]
    ) -> None:
        self.reactor = reactor
        self.clock = clock
        self._address = address
        self._record = record
        self._idle: list[ClientConnection] = []

    def send(self, exchange: Exchange) -> None:
        """Send a request on a kept connection, or on a new one."""
        if self._idle:
            self._idle.pop().send(exchange)
            return
        address = self._address
        endpoint = TCP4ClientEndpoint(self.reactor, address.host, address.port, CONNECT_TIMEOUT_S)
        connecting = connectProtocol(endpoint, ClientConnection(self))
        connecting.addCallbacks(
            lambda connection: connection.send(exchange),
            lambda failure: self.end(replace(exchange, failure="refused")),
        )

    def dawdle(self) -> None:
        """Open a connection, send half of a request on it, and hold it as long as it lasts."""
        address = self._address
        endpoint = TCP4ClientEndpoint(self.reactor, address.host, address.port, CONNECT_TIMEOUT_S)
        # An instance that is not there has nothing to be held up.
        connectProtocol(endpoint, Dawdler()).addErrback(lambda failure: None)

    def end(self, exchange: Exchange) -> None:
        """Record an exchange that has ended now."""
        self._record(replace(exchange, ended_at_ms=self.clock.now_ms()))

    def keep(self, connection: "ClientConnection") -> None:
        """Take a connection for the next request."""
        self._idle.append(connection)

    def forget(self, connection: "ClientConnection") -> None:
        """Drop a closed connection."""
        if connection in self._idle:
            self._idle.remove(connection)


class ClientConnection(Protocol):
    """One connection, with one request at a time."""

    transport: Any = None

    def __init__(self, clients: Clients) -> None:
        self._clients = clients
        self._parser = HttpReplyParser()
        self._exchange: Exchange | None = None
        self._timer: Any = None

    def send(self, exchange: Exchange) -> None:
        """Send a request."""
        self._exchange = replace(exchange, sent_at_ms=self._clients.clock.now_ms())
        patience_s = (LEFT_MS + PATIENCE_MS) / _MS_PER_S
        self._timer = self._clients.reactor.callLater(patience_s, self._give_up)
        self.transport.write(encode_request(exchange))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of an answer; called by Twisted."""
        try:
            replies = self._parser.feed(data)
        except CodecError:
            self.transport.abortConnection()
            return
        for reply in replies:
            exchange = self._take_exchange()
            if exchange is None:
                self.transport.abortConnection()
                return
            if reply.keep_alive:
                self._clients.keep(self)
            self._clients.end(read_answer(exchange, reply))

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Note the end of the connection; called by Twisted."""
        self._clients.forget(self)
        exchange = self._take_exchange()
        if exchange is not None:
            self._clients.end(replace(exchange, failure="cut"))

    def _give_up(self) -> None:
        self._timer = None
        exchange = self._take_exchange()
        if exchange is not None:
            self._clients.end(replace(exchange, failure="late"))
        self.transport.abortConnection()

    def _take_exchange(self) -> Exchange | None:
        exchange, self._exchange = self._exchange, None
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
        return exchange


class Dawdler(Protocol):
    """Sends half of a request."""

    transport: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        """Send it; called by Twisted."""
        self.transport.write(f"POST /order/half HTTP/1.1\r\nhost: {HOST}\r\n".encode())


def encode_request(exchange: Exchange) -> bytes:
    """Return the bytes of a request."""
    name = exchange.request_id
    body = name.encode() if exchange.route == "order" else b""
    method = "POST" if exchange.route == "order" else "GET"
    lines = [
        f"{method} /{exchange.route}/{name} HTTP/1.1",
        f"host: {HOST}",
        f"{REQUEST_ID_HEADER}: {name}",
        f"{DEADLINE_HEADER}: {LEFT_MS:.0f}",
        f"content-length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_answer(exchange: Exchange, reply: HttpReply) -> Exchange:
    """Return the exchange with its answer."""
    digests = reply.header(PART_DIGESTS_HEADER.lower())
    return replace(
        exchange,
        status=reply.status,
        digests=tuple(digests.split(", ")) if digests else (),
        missing=int(reply.header(MISSING_PARTS_HEADER.lower()) or 0),
        body=reply.body,
    )
