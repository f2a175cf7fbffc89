"""Opens outgoing connections without threads, and leaves their local addresses to listeners.

The system chooses the local port of a connection. It may be a port at which another process of the
machine is about to listen, and remains in use for a minute after the connection has been closed.
"""

import socket
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from typing import Any

from twisted.internet.abstract import isIPAddress
from twisted.internet.address import IPv4Address
from twisted.internet.interfaces import IHostnameResolver, IHostResolution
from twisted.internet.tcp import Client, Connector
from zope.interface import implementer


class _Client(Client):
    def createInternetSocket(self) -> socket.socket:  # noqa: N802
        created = super().createInternetSocket()
        created.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return created


class _Connector(Connector):
    def _makeTransport(self) -> _Client:  # noqa: N802
        return _Client(self.host, self.port, self.bindAddress, self, self.reactor)


def share_local_addresses(reactor: Any) -> None:
    """Let all connections that a reactor opens share their local addresses with listeners.

    Parameters
    ----------
    reactor : IReactorTCP provider
        The event loop of the process, whose method ``connectTCP`` is replaced.
    """
    reactor.connectTCP = partial(_connect, reactor)


def resolve_literals_directly(reactor: Any) -> None:
    """Let a reactor take IPv4 addresses as they are; it would resolve them in a thread.

    Parameters
    ----------
    reactor : IReactorPluggableNameResolver provider
        The event loop of the process, which resolves names as before.
    """
    reactor.installNameResolver(_LiteralResolver(reactor.nameResolver))


@implementer(IHostResolution)
@dataclass(frozen=True)
class _Resolution:
    name: str

    def cancel(self) -> None:
        """Do nothing: the resolution is complete when it is returned."""


@implementer(IHostnameResolver)
@dataclass(frozen=True)
class _LiteralResolver:
    names: Any

    def resolveHostName(  # noqa: N802
        self,
        resolutionReceiver: Any,  # noqa: N803
        hostName: str,  # noqa: N803
        portNumber: int = 0,  # noqa: N803
        addressTypes: Sequence[type] | None = None,  # noqa: N803
        transportSemantics: str = "TCP",  # noqa: N803
    ) -> Any:
        """Resolve a name; part of Twisted's interface."""
        if not isIPAddress(hostName):
            return self.names.resolveHostName(
                resolutionReceiver, hostName, portNumber, addressTypes, transportSemantics
            )
        resolved = _Resolution(hostName)
        resolutionReceiver.resolutionBegan(resolved)
        resolutionReceiver.addressResolved(IPv4Address("TCP", hostName, portNumber))
        resolutionReceiver.resolutionComplete()
        return resolved


def _connect(
    reactor: Any,
    host: str,
    port: int,
    factory: Any,
    timeout: float = 30,
    bindAddress: Any = None,  # noqa: N803
) -> Connector:
    connector = _Connector(host, port, factory, timeout, bindAddress, reactor)
    connector.connect()
    return connector
