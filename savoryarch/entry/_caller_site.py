"""HTTP server for callers and operators that bounds the size and the duration of requests."""

from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet.defer import Deferred
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from savoryarch.codec import EncodedReply, encode_error
from savoryarch.utils import start_lingering_close

MAX_BODY_BYTES = 1024 * 1024
IDLE_TIMEOUT_S = 60.0
RECEIVE_TIMEOUT_S = 5.0  # from the first byte of a request to its last


class CallerRequest(Request):
    """A request whose body is held in memory; bodies over `MAX_BODY_BYTES` are refused."""

    channel: Any
    content: Any = None

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose announced length is too large; called by Twisted."""
        if length is not None and length > MAX_BODY_BYTES:
            self.channel.refuse(413, "body_too_large", f"got a body of {length} bytes")
        # Twisted would put a large body into a temporary file, but instances have no disk.
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Append a chunk of the body, or refuse what exceeds the limit; called by Twisted."""
        if self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.channel.refuse(413, "body_too_large", f"got over {MAX_BODY_BYTES} bytes")
            return
        self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Handle the complete request unless it was refused; called by Twisted."""
        self.channel.stop_receive_timer()
        if not self.channel.refused:
            super().requestReceived(command, path, version)


class CallerChannel(HTTPChannel):
    """A connection of a caller; unusable requests are answered with a typed error."""

    refused = False
    site: Any = None
    transport: Any = None
    _receive_timer: Any = None

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes, and limit the time for a request; called by Twisted."""
        if self.refused:
            return
        if self._receive_timer is None and not self._is_awaiting_reply():
            self._receive_timer = self.site.reactor.callLater(
                RECEIVE_TIMEOUT_S, self._refuse_slow_sender
            )
        super().dataReceived(data)

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection at its site; called by Twisted."""
        super().connectionMade()
        self.site.channels.add(self)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Remove the connection from its site; called by Twisted."""
        self.stop_receive_timer()
        self.site.remove_channel(self)
        super().connectionLost(reason)

    def stop_receive_timer(self) -> None:
        """Stop limiting the time for the request, which is complete, refused or aborted."""
        timer, self._receive_timer = self._receive_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def refuse(self, status: int, reason: str, detail: str) -> None:
        """Answer with a typed error and close the connection.

        Parameters
        ----------
        status : int
            HTTP status of the answer.
        reason : str
            Reason in the body of the answer and in the counter of refusals.
        detail : str
            Explanation in the body of the answer.
        """
        if self.refused:
            return
        self.refused = True
        self.stop_receive_timer()
        reply = self.site.make_refusal(status, reason, detail)
        head = (
            f"HTTP/1.1 {reply.status} Refused\r\ncontent-type: application/json\r\n"
            f"content-length: {len(reply.body)}\r\nconnection: close\r\n\r\n"
        )
        self.transport.write(head.encode("ascii") + reply.body)
        start_lingering_close(self.transport, self.site.reactor)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line of the head unless the request was refused; called by Twisted."""
        if not self.refused:
            super().lineReceived(line)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse the request because a line of its head is too long; called by Twisted."""
        self.refuse(400, "malformed_request", "got an oversized line in the request head")

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        # Twisted calls this for lines and headers that are malformed or too long.
        self.refuse(400, "malformed_request", "got a malformed or oversized request head")

    def _refuse_slow_sender(self) -> None:
        self._receive_timer = None
        detail = f"the request was not whole after {RECEIVE_TIMEOUT_S:g} s"
        self.refuse(408, "slow_sender", detail)

    def _is_awaiting_reply(self) -> bool:
        return bool(self.requests) and not self._is_receiving_body()

    def _is_receiving_body(self) -> bool:
        return self._transferDecoder is not None


class CallerSite(Site):
    """The factory of the connections at one address.

    Parameters
    ----------
    resource : IResource provider
        Handles complete requests.
    reactor : IReactorTime provider
        Twisted's reactor.
    count_refusal : callable
        Called with the reason of each request that is refused before it reaches the resource.
    """

    def __init__(self, resource: Any, reactor: Any, count_refusal: Callable[[str], None]) -> None:
        super().__init__(
            resource, requestFactory=CallerRequest, timeout=IDLE_TIMEOUT_S, reactor=reactor
        )
        self.reactor = reactor
        self._count_refusal = count_refusal
        self.displayTracebacks = False
        self.channels: set[CallerChannel] = set()
        self._drained: Deferred | None = None

    def buildProtocol(self, address: Any) -> Any:  # noqa: N802
        """Return the protocol of a new connection; called by Twisted."""
        channel: Any = CallerChannel()
        channel.requestFactory = self.requestFactory
        channel.site = self
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater
        return channel

    def drain(self) -> "Deferred[None]":
        """Close each connection after its pending replies have been written.

        Returns
        -------
        drained : Deferred
            Fires with None when no connection is open.
        """
        self._drained = Deferred()
        for channel in list(self.channels):
            channel.transport.loseConnection()
        self._check_drained()
        return self._drained

    def remove_channel(self, channel: CallerChannel) -> None:
        """Remove a connection that has ended."""
        self.channels.discard(channel)
        self._check_drained()

    def _check_drained(self) -> None:
        if self._drained is not None and not self.channels and not self._drained.called:
            self._drained.callback(None)

    def make_refusal(self, status: int, reason: str, detail: str) -> EncodedReply:
        """Count a refused request and return the reply to it."""
        self._count_refusal(reason)
        return encode_error(status, reason, detail)

    def log(self, request: Any) -> None:
        """Do nothing instead of writing an access log: the decisions log outcomes."""
