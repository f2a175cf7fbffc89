"""Closes a connection whose client is still sending, without losing the last answer."""

from typing import Any

LINGER_S = 2.0  # for a client to read its answer and stop sending


def start_lingering_close(transport: Any, reactor: Any) -> None:
    """Send what is written, and go on reading until the client closes, or for a while.

    A close with unread bytes resets the connection, and the reset can overtake the answer. The
    owner of the connection has to drop what still arrives.

    Parameters
    ----------
    transport : ITransport provider
        The connection.
    reactor : IReactorTime provider
        The loop of the process.
    """
    if not hasattr(transport, "loseWriteConnection"):
        transport.loseConnection()
        return
    transport.loseWriteConnection()
    reactor.callLater(LINGER_S, transport.abortConnection)
