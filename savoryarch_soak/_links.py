"""A loopback proxy that delays, resets, cuts one way or silences the connections through it."""

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from savoryarch_standins.harness import Address

CONNECT_TIMEOUT_S = 1.0
_MS_PER_S = 1000.0


class Link(Factory):
    """Everything that connects to one address goes on to another.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.

    Attributes
    ----------
    upstream : Address or None
        Where connections go on to; without it they are refused.
    mode : str
        ``delay`` holds every byte up, ``mute_to`` and ``mute_from`` drop what goes to and comes
        from the other side. Empty passes everything.
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
        """Where it listens."""
        return Address("127.0.0.1", self._port.getHost().port)

    def buildProtocol(self, addr: Any) -> Protocol | None:  # noqa: N802
        """Accept a connection; called by Twisted."""
        return _Downstream(self) if self.upstream else None

    def reset(self) -> None:
        """Reset every open connection."""
        for connection in list(self._connections):
            connection.abort()

    def silence(self) -> None:
        """Let every open connection hang for good; new ones work."""
        for connection in self._connections:
            connection.silent = True

    def add_connection(self, connection: "_Downstream") -> None:
        """Keep track of an open connection."""
        self._connections.add(connection)

    def remove_connection(self, connection: "_Downstream") -> None:
        """Drop a closed connection."""
        self._connections.discard(connection)

    def forward(self, data: bytes, writer: Any, direction: str) -> None:
        """Write bytes to the other side as the mode has it."""
        if self.mode == direction:
            return
        if self.mode == "delay":
            self.reactor.callLater(self.delay_ms / _MS_PER_S, _write, writer, data)
        else:
            _write(writer, data)


class _Downstream(Protocol):
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
        """Take bytes from the other side."""
        if not self.silent:
            self._link.forward(data, self.transport, "mute_from")

    def abort(self) -> None:
        """Reset this side, and with it the other."""
        if not self._closed:
            self.transport.abortConnection()

    def close_after_upstream(self) -> None:
        """Close this side after what was written, because the other has ended."""
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
