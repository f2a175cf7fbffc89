"""Incremental parser of HTTP/1.1 replies, with limits on what one connection may hold."""

import re
from collections.abc import Mapping
from dataclasses import dataclass, field

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from savoryarch.exceptions import CodecError
from savoryarch.utils import fast_init

# A reply of more bytes, or one that adds no byte to its body within as many bytes as a head may
# have, does not end in a reasonable time. The latter covers heads, trailers, chunk extensions and
# interim replies.
MAX_REPLY_BYTES = 16 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Upper bound on the memory of a header beside its text: a tuple of two objects, and an entry of a
# dict with two more. Without it, short headers take some twenty times the memory that is counted.
HEADER_OVERHEAD_BYTES = 400
_SLICE_BYTES = 16 * 1024  # fed at a time, so that the limits hold for large reads as well
_FIRST_FINAL_STATUS = 200
# A status line inside a reason phrase or a header value: a reply that broke off in its head, and
# the next reply after it. The parser reads both as one head.
_INNER_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
_STATUS_LINE_BYTES = 12  # matched by the pattern above


@fast_init
@dataclass(frozen=True, slots=True)
class HttpReply:
    """One complete HTTP reply.

    Parameters
    ----------
    status : int
        HTTP status code.
    body : bytes
        Body.
    headers : mapping of str to str
        Values of the headers by their names in lower case; of repeated headers the last one.
    keep_alive : bool
        Whether the connection may be used for another request.
    raw_headers : tuple of (bytes, bytes)
        Names and values of all headers, as received.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)
    keep_alive: bool = True
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()

    def header(self, name: str) -> str:
        """Return the value of a header by its name in lower case; empty if it is absent."""
        return self.headers.get(name, "")


class HttpReplyParser:
    """Incremental parser of the replies on one connection.

    The parser does not know the requests. If a target sends bytes without a request, they may
    result in another reply, which the user of the parser has to detect. Interim replies (status
    1xx) are skipped, and so are trailers.

    Attributes
    ----------
    held_bytes : int
        Memory of the reply that is not complete, at least the bytes received for it; 0 between
        replies.
    has_surplus : bool
        Whether more bytes followed a complete reply in the same call of `feed`. They belong to no
        request, and what is parsed after them is not reliable.
    """

    def __init__(self) -> None:
        self.held_bytes = 0
        self.has_surplus = False
        self._replies: list[HttpReply] = []
        self._headers: dict[str, str] = {}
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._reason_end = b""
        self._in_head = False
        self._has_inner_status_line = False
        self._body_ends_at_close = False
        self._body = bytearray()
        self._bytes_without_body = 0
        self._progressed = False
        self._parser: HttpResponseParser | None = HttpResponseParser(self)

    def close(self) -> None:
        """Release all memory; nothing may be fed afterwards.

        The parser of httptools refers to this object, so that without the call both would stay
        until the next garbage collection, with up to `MAX_REPLY_BYTES` of a body.
        """
        self._parser = None
        self._replies = []
        self._headers, self._raw_headers, self._body = {}, [], bytearray()
        self.held_bytes = 0
        self._body_ends_at_close = False

    def feed(self, data: bytes) -> tuple[HttpReply, ...]:
        """Parse received bytes and return the replies that they complete.

        Malformed bytes after a complete reply do not raise an error, but set `has_surplus`.

        Raises
        ------
        CodecError
            If the bytes are not HTTP, two replies share a head, a reply exceeds `MAX_REPLY_BYTES`,
            or `MAX_HEAD_BYTES` are received without a byte of a body; each header counts
            `HEADER_OVERHEAD_BYTES` more.
        """
        try:
            for start in range(0, len(data), _SLICE_BYTES):
                self._feed_slice(data[start : start + _SLICE_BYTES])
        except CodecError:
            if not self._replies:
                raise
            self.has_surplus = True
        replies, self._replies = tuple(self._replies), []
        return replies

    def _feed_slice(self, data: bytes) -> None:
        self._progressed = False
        self.held_bytes += len(data)
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            raise CodecError(f"reply is not HTTP: {error}") from error
        except HttpParserUpgrade as error:
            raise CodecError("reply switches to another protocol") from error
        if self._has_inner_status_line:
            raise CodecError("got a status line inside the head of a reply")
        if self._bytes_without_body <= MAX_HEAD_BYTES:
            self._bytes_without_body = (
                0 if self._progressed else self._bytes_without_body + len(data)
            )
        if self._bytes_without_body > MAX_HEAD_BYTES:
            raise CodecError(f"got over {MAX_HEAD_BYTES} bytes of a head or trailer")
        if self.held_bytes > MAX_REPLY_BYTES:
            raise CodecError(f"got a reply of over {MAX_REPLY_BYTES} bytes")

    def on_message_begin(self) -> None:
        """Start a reply; callback of httptools."""
        self._headers, self._raw_headers, self._body = {}, [], bytearray()
        self._reason_end = b""
        self._in_head = True
        self.has_surplus = self.has_surplus or bool(self._replies)

    def on_status(self, reason: bytes) -> None:
        """Check a piece of the reason phrase; callback of httptools."""
        text = self._reason_end + reason
        if _INNER_STATUS_LINE.search(text):
            self._has_inner_status_line = True
        self._reason_end = text[-_STATUS_LINE_BYTES:]

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the current reply; callback of httptools."""
        if not self._in_head:
            return
        if b"HTTP/" in value and _INNER_STATUS_LINE.search(value):
            self._has_inner_status_line = True
        self._bytes_without_body += HEADER_OVERHEAD_BYTES
        if self._bytes_without_body > MAX_HEAD_BYTES:
            return
        self.held_bytes += HEADER_OVERHEAD_BYTES
        self._raw_headers.append((name, value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Detect whether the body ends when the connection is closed; callback of httptools."""
        self._in_head = False
        has_length = "content-length" in self._headers or "transfer-encoding" in self._headers
        self._body_ends_at_close = not has_length and self._is_final()

    def on_body(self, data: bytes) -> None:
        """Add a chunk of the body to the current reply; callback of httptools."""
        # An object for each chunk would take several times the memory of a small chunk.
        self._body += data
        self._progressed = True

    def on_message_complete(self) -> None:
        """Complete the current reply, unless it is an interim one; callback of httptools."""
        self._body_ends_at_close = False
        if not self._is_final() or self._has_inner_status_line:
            return
        assert self._parser is not None
        self._replies.append(self._make_reply(self._parser.should_keep_alive()))
        self._progressed = True
        self.held_bytes = self._bytes_without_body = 0

    def finish(self) -> HttpReply | None:
        """Return the reply whose body ended when the target closed the connection.

        Has to be called only after a close without an error. Returns None if no such reply has
        started.
        """
        if not self._body_ends_at_close:
            return None
        self._body_ends_at_close = False
        return self._make_reply(keep_alive=False)

    def _is_final(self) -> bool:
        assert self._parser is not None
        return self._parser.get_status_code() >= _FIRST_FINAL_STATUS

    def _make_reply(self, keep_alive: bool) -> HttpReply:
        assert self._parser is not None
        return HttpReply(
            self._parser.get_status_code(),
            bytes(self._body),
            self._headers,
            keep_alive,
            tuple(self._raw_headers),
        )
