"""Small pages for the platform: whether this instance takes requests, and its metrics."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol

MAX_QUESTION_BYTES = 8192
_HEAD_END = b"\r\n\r\n"


class _Page(Protocol):
    transport: Any = None

    def __init__(self, answer: Callable[[], tuple[bytes, bytes]]) -> None:
        self._answer = answer
        self._received = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += data
        if len(self._received) > MAX_QUESTION_BYTES:
            self.transport.abortConnection()
            return
        while _HEAD_END in self._received:
            self._received = self._received.partition(_HEAD_END)[2]
            status, body = self._answer()
            length = b"\r\ncontent-length: %d\r\n" % len(body)
            self.transport.write(b"HTTP/1.1 " + status + length + b"\r\n" + body)


class _Pages(Factory):
    noisy = False

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Make a connection; called by Twisted."""
        return _Page(self._answer)

    def _answer(self) -> tuple[bytes, bytes]:
        raise NotImplementedError


class ReadinessPage(_Pages):
    """Answers each question with 200 or 503.

    Parameters
    ----------
    is_ready : callable
        Whether this instance takes requests.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def _answer(self) -> tuple[bytes, bytes]:
        return (b"200 OK" if self._is_ready() else b"503 Service Unavailable"), b""


class MetricsPage(_Pages):
    """Answers each question with every metric.

    Parameters
    ----------
    render : callable
        Returns the metrics as text.
    """

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    def _answer(self) -> tuple[bytes, bytes]:
        return b"200 OK\r\ncontent-type: text/plain; version=0.0.4", self._render()
