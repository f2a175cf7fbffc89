"""The address at which the platform's balancer asks whether this instance takes requests."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol

MAX_QUESTION_BYTES = 8192
_HEAD_END = b"\r\n\r\n"


class _Question(Protocol):
    transport: Any = None

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._received = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._received += data
        if len(self._received) > MAX_QUESTION_BYTES:
            self.transport.abortConnection()
            return
        while _HEAD_END in self._received:
            self._received = self._received.partition(_HEAD_END)[2]
            self._reply()

    def _reply(self) -> None:
        status = b"200 OK" if self._is_ready() else b"503 Service Unavailable"
        self.transport.write(b"HTTP/1.1 " + status + b"\r\ncontent-length: 0\r\n\r\n")


class Readiness(Factory):
    """Answers each question with 200 or 503.

    Parameters
    ----------
    is_ready : callable
        Whether this instance takes requests.
    """

    noisy = False

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def buildProtocol(self, addr: Any) -> Protocol:  # noqa: N802
        """Make a connection; called by Twisted."""
        return _Question(self._is_ready)
