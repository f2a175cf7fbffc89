"""Sends bytes, and counts those that the peer has not let through."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer


@implementer(IPullProducer)
class _SendMonitor:
    """Reports that a transport, whose producer it is, has sent all of its bytes."""

    def __init__(self, on_sent: Callable[[], None]) -> None:
        self._on_sent = on_sent
        self._is_registered = False

    def resumeProducing(self) -> None:  # noqa: N802
        # The first call comes from the registration itself.
        if self._is_registered:
            self._on_sent()
        self._is_registered = True

    def stopProducing(self) -> None:  # noqa: N802
        pass


class ByteSender:
    """Sends the bytes of one connection, without waiting for the event loop if possible.

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
        self._transport.write(data)
        if is_first:
            self._transport.registerProducer(_SendMonitor(self.finish), False)
        self._on_changed()

    def finish(self) -> None:
        """Handle that all bytes are sent, or that the connection has ended."""
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
