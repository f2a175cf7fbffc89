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

    What the peer does not let through at once is given to the transport in pieces, as soon as
    it has sent the earlier ones.

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
        self._sending_bytes = 0  # of the pieces that the transport is sending
        self._is_registering = False

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
        self._write_pieces()
        if is_first:
            self._is_registering = True
            self._transport.registerProducer(self, False)
            self._is_registering = False
        self._on_changed()

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next pieces, because the earlier ones are sent; called by the transport."""
        if self._is_registering:  # the registration itself calls it as well
            return
        if not self._pieces:
            # Without it, the transport would not perform a half-close that waits for the end.
            self._transport.startWriting()
            self.finish()
            return
        self.unsent_bytes -= self._sending_bytes
        self._sending_bytes = 0
        self._write_pieces()
        self._on_changed()

    def _write_pieces(self) -> None:
        while self._pieces and self._sending_bytes < PIECE_BYTES:
            piece = self._pieces.popleft()
            self._sending_bytes += len(piece)
            self._transport.write(piece)

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
