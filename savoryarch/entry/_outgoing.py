"""Opens outgoing connections whose local addresses other processes can listen on.

The system chooses the local port of a connection. It may be a port at which another process of the
machine is about to listen, and remains in use for a minute after the connection has been closed.
"""

import socket
from functools import partial
from typing import Any

from twisted.internet.tcp import Client, Connector


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
