"""Reserves an address from the start of the process until the process listens on it.

The system gives the port of an address that nothing is bound to to any outgoing connection, which
may keep it for hours.
"""

import socket
from contextlib import suppress
from typing import Any

from twisted.internet.error import CannotListenError


class ReservedAddress:
    """An address that is bound, if that is possible, and opened later.

    Connections to it are refused until it is opened.

    Parameters
    ----------
    address : str
        The address as ``HOST:PORT``.
    """

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
        self._socket: socket.socket | None = None
        with suppress(CannotListenError):  # `listen` tries again, and its caller logs the failure
            self._bind()

    def __str__(self) -> str:
        return f"{self._host}:{self._port}"

    def listen(self, reactor: Any, factory: Any, backlog: int) -> Any:
        """Accept connections.

        Parameters
        ----------
        reactor : IReactorSocket provider
            Watches the address.
        factory : IProtocolFactory provider
            Makes the protocol of each connection.
        backlog : int
            Number of connections that may wait to be accepted.

        Returns
        -------
        port : IListeningPort provider
            The open address.

        Raises
        ------
        CannotListenError
            If the address cannot be bound or opened.
        """
        bound = self._bind()
        try:
            bound.listen(backlog)
            port = reactor.adoptStreamPort(bound.fileno(), self._family, factory)
        except OSError as error:
            raise CannotListenError(self._host, self._port, error) from error
        self.release()  # the port has its own descriptor of the socket
        return port

    def release(self) -> None:
        """Close the socket that reserves the address."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _bind(self) -> socket.socket:
        if self._socket is not None:
            return self._socket
        try:
            bound = socket.socket(self._family, socket.SOCK_STREAM)
        except OSError as error:
            raise CannotListenError(self._host, self._port, error) from error
        try:
            bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            bound.bind((self._host, self._port))
        except OSError as error:
            bound.close()
            raise CannotListenError(self._host, self._port, error) from error
        bound.setblocking(False)
        self._socket = bound
        return bound
