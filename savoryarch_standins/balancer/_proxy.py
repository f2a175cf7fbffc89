"""Passes the bytes of one TCP connection to another and back."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol


class ProxySide(Protocol):
    """One side of a passed connection; `other` is the other side once both are open."""

    other_side: "ProxySide | None" = None
    transport: Any

    def connect_sides(self, other: "ProxySide") -> None:
        """Pass what arrives here to `other` and back, at the pace of the slower side."""
        self.other_side, other.other_side = other, self
        self.transport.registerProducer(other.transport, True)
        other.transport.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what arrived."""
        if self.other_side is not None:
            self.other_side.transport.write(data)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Close the other side when what is buffered for it has left."""
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
    """Listens for callers and passes each connection to the address that `choose` returns."""

    noisy = False

    def __init__(self, reactor: Any, choose_address: Callable[[], tuple[str, int] | None]) -> None:
        self._reactor = reactor
        self._choose_address = choose_address

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        """Make the caller's side of a connection."""
        return _CallerSide(self._reactor, self._choose_address)
