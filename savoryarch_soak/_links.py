"""A loopback proxy that delays, resets, silences or cuts one direction of its connections."""

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from savoryarch_standins.harness import Address

CONNECT_TIMEOUT_S = 1.0
_MS_PER_S = 1000.0


class Link(Factory):
    """A TCP proxy that listens on a free loopback port.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.

    Attributes
    ----------
    upstream : Address or None
        Address to which connections are forwarded; if it is None, they are refused.
    mode : str
        ``delay`` delays all bytes by `delay_ms`; ``mute_to`` and ``mute_from`` drop the bytes to
        and from the upstream address. If it is empty, all bytes are forwarded at once.
    delay_ms : float
        Delay of the mode ``delay``.
    """

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.upstream: Address | None = None
        self.mode = ""
        self.delay_ms = 0.0
        self._connections: set[_Downstream] = set()
        self._port = reactor.listenTCP(0, self, interface="127.0.0.1")

    @property
    def address(self) -> Address:
        """Address on which the proxy listens."""
        return Address("127.0.0.1", self._port.getHost().port)

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: N802
        """Return the protocol of an accepted connection, None to refuse it; called by Twisted."""
        return _Downstream(self) if self.upstream else None

    def reset(self) -> None:
        """Reset every open connection."""
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Drop all further bytes of the open connections without closing them; new ones work."""
        for connection in self._connections:
            connection.silent = True

    def add_connection(self, connection: "_Downstream") -> None:
        """Add an open connection to those that `reset` and `silence` affect."""
        self._connections.add(connection)

    def remove_connection(self, connection: "_Downstream") -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def forward(self, data: bytes, writer: Any, direction: str) -> None:
        """Write, delay or drop bytes according to the mode.

        Parameters
        ----------
        data : bytes
            The received bytes.
        writer : object
            Transport of the other side.
        direction : str
            The mode that drops bytes in this direction: ``mute_to`` or ``mute_from``.
        """
        if self.mode == direction:
            return
        if self.mode == "delay":
            self.reactor.callLater(self.delay_ms / _MS_PER_S, _write, writer, data)
        else:
            _write(writer, data)


class _Downstream(Protocol):
    """The side of a connection that faces the client."""

    transport: Any = None

    def __init__(self, link: Link) -> None:
        self.silent = False
        self._link = link
        self._upstream: _Upstream | None = None
        self._buffered: list[bytes] = []
        self._closed = False

    def connectionMade(self) -> None:  # noqa: N802
        self._link.add_connection(self)
        self.transport.setTcpNoDelay(True)
        address = self._link.upstream
        if address is None:
            self.abort()
            return
        endpoint = TCP4ClientEndpoint(
            self._link.reactor, address.host, address.port, CONNECT_TIMEOUT_S
        )
        connecting = connectProtocol(endpoint, _Upstream(self))
        connecting.addCallbacks(self._handle_connected, lambda failure: self.abort())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self._upstream is None:
            self._buffered.append(data)
        elif not self.silent:
            self._link.forward(data, self._upstream.transport, "mute_to")

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._closed = True
        self._link.remove_connection(self)
        if self._upstream is not None:
            self._upstream.transport.abortConnection()

    def receive_from_upstream(self, data: bytes) -> None:
        """Forward bytes from the upstream side to the client."""
        if not self.silent:
            self._link.forward(data, self.transport, "mute_from")

    def abort(self) -> None:
        """Reset this side; the upstream side is reset when this one is lost."""
        if not self._closed:
            self.transport.abortConnection()

    def close_after_upstream(self) -> None:
        """Close this side once all bytes are written, after the upstream side was lost."""
        if not self._closed and not self.silent:
            self.transport.loseConnection()

    def _handle_connected(self, upstream: "_Upstream") -> None:
        self._upstream = upstream
        upstream.transport.setTcpNoDelay(True)
        if self._closed:
            upstream.transport.abortConnection()
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            self.dataReceived(data)


class _Upstream(Protocol):
    """The side of a connection that faces the upstream address."""

    transport: Any = None

    def __init__(self, downstream: _Downstream) -> None:
        self._downstream = downstream

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._downstream.receive_from_upstream(data)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._downstream.close_after_upstream()


def _write(writer: Any, data: bytes) -> None:
    if writer is not None and writer.connected:
        writer.write(data)
