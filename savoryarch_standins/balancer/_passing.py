"""Passes the bytes of one TCP connection to another and back."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Factory, Protocol


class Passing(Protocol):
    """One side of a passed connection; `other` is the other side once both are open."""

    other: "Passing | None" = None
    transport: Any

    def join(self, other: "Passing") -> None:
        """Pass what arrives here to `other` and back, at the pace of the slower side."""
        self.other, other.other = other, self
        self.transport.registerProducer(other.transport, True)
        other.transport.registerProducer(self.transport, True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what arrived."""
        if self.other is not None:
            self.other.transport.write(data)

    def connectionLost(self, reason: object = None) -> None:  # noqa: N802
        """Close the other side when what is buffered for it has left."""
        if self.other is not None:
            self.other.transport.unregisterProducer()
            self.other.transport.loseConnection()
            self.other.other = None
            self.other = None


class _Upstream(ClientFactory):
    def __init__(self, caller: "_CallerSide") -> None:
        self._caller = caller

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        return _UpstreamSide(self._caller)

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        self._caller.transport.abortConnection()


class _UpstreamSide(Passing):
    def __init__(self, caller: "_CallerSide") -> None:
        self._caller = caller

    def connectionMade(self) -> None:
        if self._caller.is_lost:
            self.transport.loseConnection()
            return
        self._caller.join(self)
        self._caller.transport.resumeProducing()


class _CallerSide(Passing):
    is_lost = False

    def __init__(self, reactor: Any, choose: Callable[[], tuple[str, int] | None]) -> None:
        self._reactor = reactor
        self._choose = choose

    def connectionMade(self) -> None:
        self.transport.pauseProducing()
        address = self._choose()
        if address is None:
            self.transport.abortConnection()
            return
        self._reactor.connectTCP(*address, _Upstream(self))

    def connectionLost(self, reason: object = None) -> None:
        self.is_lost = True
        super().connectionLost(reason)


class PassingFactory(Factory):
    """Listens for callers and passes each connection to the address that `choose` returns."""

    noisy = False

    def __init__(self, reactor: Any, choose: Callable[[], tuple[str, int] | None]) -> None:
        self._reactor = reactor
        self._choose = choose

    def buildProtocol(self, addr: object) -> Protocol:  # noqa: N802
        """Make the caller's side of a connection."""
        return _CallerSide(self._reactor, self._choose)
