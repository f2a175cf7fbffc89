"""TCP proxy, which passes the bytes of two connections in both directions."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol


class ProxySide(Protocol):
    """One of the two connections of a proxied connection.

    `other_side` is None until both connections are open and after either is closed.
    """

    other_side: "ProxySide | None" = None
    transport: Any

    def connect_sides(self, other: "ProxySide") -> None:
        """Pass bytes between this side and `other`, limited to the rate of the slower side."""
        self.other_side, other.other_side = other, self
        self.transport.registerProducer(other.transport, True)
        other.transport.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Write received bytes to the other side."""
        if self.other_side is not None:
            self.other_side.transport.write(data)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Close the other side after its buffered bytes have been written."""
        if self.other_side is not None:
            self.other_side.transport.unregisterProducer()
            self.other_side.transport.loseConnection()
            self.other_side.other_side = None
            self.other_side = None


class _UpstreamFactory(ClientFactory):
    def __init__(self, caller: "_CallerSide") -> None:
        self._caller = caller

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        return _UpstreamSide(self._caller)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._caller.transport.abortConnection()


class _UpstreamSide(ProxySide):
    def __init__(self, caller: "_CallerSide") -> None:
        self._caller = caller

    def connectionMade(self) -> None:
        if self._caller.is_disconnected:
            self.transport.loseConnection()
            return
        self._caller.connect_sides(self)
        self._caller.transport.resumeProducing()


class _CallerSide(ProxySide):
    is_disconnected = False

    def __init__(self, reactor: Any, choose_address: Callable[[], tuple[str, int] | None]) -> None:
        self._reactor = reactor
        self._choose_address = choose_address

    def connectionMade(self) -> None:
        # Bytes of the caller are read only after the connection to the entry instance is open.
        self.transport.pauseProducing()
        address = self._choose_address()
        if address is None:
            self.transport.abortConnection()
            return
        self._reactor.connectTCP(*address, _UpstreamFactory(self))

    def connectionLost(self, reason: object = None) -> None:
        self.is_disconnected = True
        super().connectionLost(reason)


class ProxyFactory(Factory):
    """Accepts connections of callers and proxies each to the address from `choose_address`.

    A connection is aborted if `choose_address` returns None or the address cannot be reached.
    """

    noisy = False

    def __init__(self, reactor: Any, choose_address: Callable[[], tuple[str, int] | None]) -> None:
        self._reactor = reactor
        self._choose_address = choose_address

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        """Return the protocol of the connection of a caller."""
        return _CallerSide(self._reactor, self._choose_address)
