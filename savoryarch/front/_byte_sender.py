"""Sends bytes, and counts those that the peer has not let through."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

# Of what waits for the peer, so that reading it in part shows as progress.
PIECE_BYTES = 16_384


@implementer(IPullProducer)
class ByteSender:
    """Sends the bytes of one connection, without waiting for the event loop if possible.

    What the peer does not let through at once is given to the transport in pieces, each when the
    transport has sent the one before it.

    Parameters
    ----------
    transport : ITransport provider
        The connection. If it has no ``writeSomeData``, nothing is counted.
    on_changed : callable
        Called when the number of unsent bytes has changed.

    Attributes
    ----------
    unsent_bytes : int
        Bytes that wait until the peer reads earlier ones; an upper bound.
    """

    def __init__(self, transport: Any, on_changed: Callable[[], None]) -> None:
        self.unsent_bytes = 0
        self._transport = transport
        self._on_changed = on_changed
        self._pieces: deque[bytes] = deque()
        self._sending_bytes = 0  # of the piece that the transport is sending

    def send(self, data: bytes) -> None:
        """Send bytes now, or as soon as the peer lets them through."""
        if not hasattr(self._transport, "writeSomeData"):
            self._transport.write(data)
            return
        is_first = not self.unsent_bytes
        if is_first:
            sent_bytes = self._transport.writeSomeData(data)
            if isinstance(sent_bytes, int):
                data = data[sent_bytes:]
            # If the connection is lost, the transport reports that when it writes the rest.
            if not data:
                return
        self.unsent_bytes += len(data)
        self._pieces.extend(
            data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES)
        )
        if is_first:
            self._transport.registerProducer(self, False)
        self._on_changed()

    def resumeProducing(self) -> None:  # noqa: N802
        """Give the next piece to the transport, which has sent the one before; called by it."""
        sent_bytes, self._sending_bytes = self._sending_bytes, 0
        if not self._pieces:
            # Without it, the transport would not perform a half-close that waits for the end.
            self._transport.startWriting()
            self.finish()
            return
        piece = self._pieces.popleft()
        self._sending_bytes = len(piece)
        self._transport.write(piece)
        if sent_bytes:
            self.unsent_bytes -= sent_bytes
            self._on_changed()

    def stopProducing(self) -> None:  # noqa: N802
        """Release what waits, because the connection has ended; called by the transport."""
        self._pieces.clear()

    def finish(self) -> None:
        """Handle that all bytes are sent, or that the connection has ended."""
        self._pieces.clear()
        self._sending_bytes = 0
        if self.unsent_bytes:
            self.unsent_bytes = 0
            self._transport.unregisterProducer()
            self._on_changed()

    def close(self) -> None:
        """Handle that the connection has ended, and release it."""
        self.finish()
        self._transport = None
        self._on_changed = _ignore


def _ignore() -> None:
    pass
