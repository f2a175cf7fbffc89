"""Reads the body of a reply of the store, up to a limit."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss

# Several values of the largest size, of 1 MiB each, in Base64. Decoding takes some three times the
# memory of the body, and a few calls may be under way at the same time.
MAX_REPLY_BYTES = 8 * 1024 * 1024


class ReplyTooLarge(Exception):  # noqa: N818
    """The body of a reply exceeds `MAX_REPLY_BYTES`."""


class _BodyReader(Protocol):
    transport: Any = None

    def __init__(self) -> None:
        self.body = bytearray()
        self.completed: Deferred[bytes] = Deferred(lambda _: self.abort())

    def abort(self) -> None:
        """Close the connection, because the rest of the body is not wanted."""
        self.body = bytearray()
        if self.transport is not None:
            self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.completed.called:
            return
        # An object for each chunk would take several times the memory of a small chunk.
        self.body += data
        if len(self.body) > MAX_REPLY_BYTES:
            self.abort()
            self.completed.errback(ReplyTooLarge(f"got over {MAX_REPLY_BYTES} bytes"))

    def connectionLost(self, reason: Failure | None = None) -> None:  # noqa: N802
        if self.completed.called:
            return
        # A body without a length ends when the store closes the connection.
        if reason is None or reason.check(ResponseDone, PotentialDataLoss):
            self.completed.callback(bytes(self.body))
        else:
            self.completed.errback(reason)


def read_body(response: Any) -> "Deferred[bytes]":
    """Read the body of a response.

    Returns
    -------
    body : Deferred
        Fires with the body, or fails with `ReplyTooLarge`. If it is cancelled, the connection is
        closed, so that a body that does not end is received no further.
    """
    reader = _BodyReader()
    response.deliverBody(reader)
    return reader.completed
