"""HTTP pages for the platform: the readiness of this instance, and its metrics.

A page gives the same answer to all requests; it ignores their method and path.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from savoryarch.front._byte_sender import ByteSender

MAX_REQUEST_BYTES = 8192  # of received requests without an answer; above, a connection is aborted
_HEAD_END = b"\r\n\r\n"


class _PageProtocol(Protocol):
    """Answers each request on a persistent connection; requests must not have a body."""

    transport: Any = None

    def __init__(self, answer: Callable[[], tuple[bytes, bytes]]) -> None:
        self._answer = answer
        self._received = b""
        self._sender: Any = None

    def connectionMade(self) -> None:  # noqa: N802
        self._sender = ByteSender(self.transport, self._answer_received)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += data
        if len(self._received) > MAX_REQUEST_BYTES:
            self._received = b""
            self.transport.abortConnection()
            return
        self._answer_received()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        self._received = b""
        self._sender.finish()

    def _answer_received(self) -> None:
        """Answer the requests that have been received, unless an answer is not read."""
        while _HEAD_END in self._received and not self._sender.unsent_bytes:
            self._received = self._received.partition(_HEAD_END)[2]
            status, body = self._answer()
            length = b"\r\ncontent-length: %d\r\n" % len(body)
            self._sender.send(b"HTTP/1.1 " + status + length + b"\r\n" + body)


class _PageFactory(Factory):
    noisy = False

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Return the protocol of a new connection; called by Twisted."""
        return _PageProtocol(self._answer)

    def _answer(self) -> tuple[bytes, bytes]:
        """Return the status, which further header lines may follow, and the body."""
        raise NotImplementedError


class ReadinessPage(_PageFactory):
    """Answers each request with status 200 if this instance is ready, and with 503 otherwise.

    Parameters
    ----------
    is_ready : callable
        Returns whether this instance accepts requests.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def _answer(self) -> tuple[bytes, bytes]:
        return (b"200 OK" if self._is_ready() else b"503 Service Unavailable"), b""


class MetricsPage(_PageFactory):
    """Answers each request with all metrics.

    Parameters
    ----------
    render : callable
        Returns the metrics in the Prometheus text exposition format.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def _answer(self) -> tuple[bytes, bytes]:
        return b"200 OK\r\ncontent-type: text/plain; version=0.0.4", self._render()
