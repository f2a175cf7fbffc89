"""Lingering close: closes a connection whose client may still be sending."""

from typing import Any

LINGER_S = 2.0  # Time for the client to read its answer and to stop sending.


def start_lingering_close(transport: Any, reactor: Any) -> None:
    """Flush the written bytes and half-close a connection, and abort it after `LINGER_S`.

    Until then the connection is read. If it were closed with unread bytes, the kernel would reset
    it, and the client could receive the reset before it has read the answer. The owner of the
    connection has to discard the bytes that still arrive.

    Parameters
    ----------
    transport : ITransport provider
        The connection; if it cannot be half-closed, it is closed immediately.
    reactor : IReactorTime provider
        The event loop of the process.
    """
    if not hasattr(transport, "loseWriteConnection"):
        transport.loseConnection()
        return
    transport.loseWriteConnection()
    reactor.callLater(LINGER_S, transport.abortConnection)
