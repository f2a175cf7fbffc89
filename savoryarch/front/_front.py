"""Accepts connections of clients and passes their requests on to the entry instance."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from savoryarch.front._client_memory import ClientMemory
from savoryarch.front._connection import ClientConnection
from savoryarch.front._connection_owner import ClientDialect
from savoryarch.model import CallerDisconnected
from savoryarch.model.forwarding import (
    ForwardedRequest,
    ForwardOutcome,
    ForwardRequested,
    FrontLimits,
)


class Front(Factory):
    """The factory of clients' connections, which also tracks the open ones.

    Parameters
    ----------
    instance : EntryInstance
        The entry instance that decides on the requests.
    reactor : IReactorTime provider
        Twisted's reactor.
    dialect : ClientDialect
        Decodes requests and encodes answers.
    memory : ClientMemory, optional
        Limit on the bytes that the connections hold.
    """

    noisy = False

    def __init__(
        self,
        instance: Any,
        reactor: Any,
        dialect: ClientDialect,
        memory: ClientMemory | None = None,
    ) -> None:
        self.reactor = reactor
        self.dialect = dialect
        self.memory = memory or ClientMemory()
        self._instance = instance
        self._connections: set[ClientConnection] = set()
        self._closing = False
        self._drained: Deferred[None] | None = None

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol of a new connection; called by Twisted."""
        connection = ClientConnection(self)
        self._connections.add(connection)
        return connection

    def limits(self) -> FrontLimits:
        """Return the limits of the forwarding table in force, or the defaults without a table."""
        table = self._instance.state.forwarding.table
        return table.limits if table else FrontLimits()

    def is_closing(self) -> bool:
        """Return whether each connection closes after its next answer."""
        return self._closing

    def disable_keep_alive(self) -> None:
        """Close each connection after its next answer from now on."""
        self._closing = True

    def close_idle(self) -> None:
        """Close the connections on which no request is being received or answered."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def drain(self) -> "Deferred[None]":
        """Close idle connections now and the others after their next answer.

        Returns
        -------
        drained : Deferred
            Fires with None when no connection is open.
        """
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
        """Forward a request.

        Parameters
        ----------
        request : ForwardedRequest
            The request.
        remaining_ms : float or None
            Time that the client waits for the answer; None if the client states none.
        answer : callable
            Called once with the outcome, unless the request is abandoned.

        Returns
        -------
        request_id : str
            Id of the request, for `abandon`.
        """
        request_id = self._instance.next_request_id()
        event = ForwardRequested(request_id, request, remaining_ms)
        self._instance.submit(event).addCallback(answer)
        return request_id

    def abandon(self, request_id: str) -> None:
        """Abandon a request whose client has disconnected; its outcome is discarded."""
        self._instance.ignore_outcome(request_id)
        self._instance.feed(CallerDisconnected(request_id))

    def count_refusal(self, reason: str) -> None:
        """Count a request that is refused before it is forwarded."""
        self._instance.count_refusal(reason)

    def report_memory_shortage(self, detail: str) -> None:
        """Count and log that a connection was made to release memory, or a request refused."""
        self._instance.report_shortage("client_memory", detail)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
        self._check_drained()

    def format_open_states(self) -> str:
        """Return the number of open connections per state, as ``state:count,...``."""
        counts = Counter(connection.state for connection in self._connections)
        return ",".join(f"{state}:{count}" for state, count in sorted(counts.items()))

    def _check_drained(self) -> None:
        drained = self._drained
        if drained is not None and not self._connections and not drained.called:
            drained.callback(None)
