"""The address at which clients' requests are taken and forwarded."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from savoryarch.front._connection import ClientConnection, ClientDialect
from savoryarch.model import (
    CallerDisconnected,
)
from savoryarch.model.forwarding import (
    ForwardedRequest,
    ForwardOutcome,
    ForwardRequested,
    FrontLimits,
)


class Front(Factory):
    """Makes a connection per client and keeps track of them.

    Parameters
    ----------
    instance : object
        The entry instance, which decides.
    reactor : object
        Twisted's reactor.
    dialect : ClientDialect
        How requests are read and answers are written.
    """

    noisy = False

    def __init__(self, instance: Any, reactor: Any, dialect: ClientDialect) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self._instance = instance
        self._connections: set[ClientConnection] = set()
        self._closing = False
        self._drained: Deferred[None] | None = None

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Make the connection of a client; called by Twisted."""
        connection = ClientConnection(self)
        self._connections.add(connection)
        return connection

    def limits(self) -> FrontLimits:
        """Return the limits in force."""
        table = self._instance.state.forwarding.table
        return table.limits if table else FrontLimits()

    def is_closing(self) -> bool:
        """Return whether connections end with their next answer."""
        return self._closing

    def disable_keep_alive(self) -> None:
        """Let each connection end with its next answer."""
        self._closing = True

    def close_idle(self) -> None:
        """Close the connections on which no request has begun."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def drain(self) -> "Deferred[None]":
        """Close what is idle; fires when the last connection has ended."""
        self._closing = True
        self._drained = Deferred()
        self.close_idle()
        self._check_drained()
        return self._drained

    def submit(
        self,
        request: ForwardedRequest,
        remaining_ms: float | None,
        answer: Callable[[ForwardOutcome], None],
    ) -> str:
        """Have a request forwarded; returns its id."""
        request_id = self._instance.next_request_id()
        event = ForwardRequested(request_id, request, remaining_ms)
        self._instance.submit(event).addCallback(answer)
        return request_id

    def abandon(self, request_id: str) -> None:
        """Note that the client of a request has gone."""
        self._instance.ignore_outcome(request_id)
        self._instance.feed(CallerDisconnected(request_id))

    def count_refusal(self, reason: str) -> None:
        """Count a request that cannot be forwarded."""
        self._instance.count_refusal(reason)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Drop a closed connection."""
        self._connections.discard(connection)
        self._check_drained()

    def format_open_states(self) -> str:
        """Return how many connections are open in each state of their chart."""
        counts = Counter(connection.state for connection in self._connections)
        return ",".join(f"{state}:{count}" for state, count in sorted(counts.items()))

    def _check_drained(self) -> None:
        drained = self._drained
        if drained is not None and not self._connections and not drained.called:
            drained.callback(None)
