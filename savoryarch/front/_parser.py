"""Parses a client's byte stream into requests, and refuses malformed or ambiguous ones."""

from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from savoryarch.model.forwarding import FrontLimits, HeaderFields
from savoryarch.utils import fast_init

# Upper bounds on the memory of a header, and of a request, beside their text. Without them, short
# headers and pipelined requests take some twenty times the memory that is counted.
HEADER_OVERHEAD_BYTES = 200
REQUEST_OVERHEAD_BYTES = 1000
_EXPECT_CONTINUE = b"100-continue"


@fast_init
@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """One complete request as received; a chunked body has been decoded."""

    method: bytes
    path: bytes
    headers: HeaderFields
    body: bytes
    keep_alive: bool

    def header(self, name: str) -> str:
        """Return the value of the first header with a lower-case name; empty if there is none."""
        encoded_name = name.encode()
        for key, value in self.headers:
            if key.lower() == encoded_name:
                return value.decode("latin-1")
        return ""


@dataclass(frozen=True, slots=True)
class UnusableRequest:
    """A request that cannot be forwarded, with the answer to it.

    Parameters
    ----------
    status : int
        HTTP status of the answer.
    reason : str
        Label of the refusal in the metrics.
    detail : str
        Body of the answer.
    """

    status: int
    reason: str
    detail: str


class RequestParser:
    """Parser of one connection; returns one request at a time.

    Parameters
    ----------
    limits : FrontLimits
        Limits on the sizes of a request's head and body; may be replaced between calls.

    Attributes
    ----------
    request_bytes : int
        Upper bound on the memory of the request that was returned last.
    wants_continue : bool
        Whether the client sends the body only after ``100 Continue``; the user of the parser
        resets it after sending this.
    """

    def __init__(self, limits: FrontLimits) -> None:
        self.limits = limits
        self.wants_continue = False
        self.request_bytes = 0
        self._complete_requests: list[tuple[ParsedRequest, int]] = []
        self._complete_bytes = 0
        self._body_too_large = False
        self._in_head = True
        self._reset()
        self._parser: HttpRequestParser | None = HttpRequestParser(self)

    @property
    def held_bytes(self) -> int:
        """Memory of the requests that have not been returned, complete or not."""
        return self._complete_bytes + self._incomplete_bytes

    def close(self) -> None:
        """Release all memory; nothing may be fed afterwards.

        The parser of httptools refers to this object, so that without the call both would stay
        until the next garbage collection.
        """
        self._parser = None
        self._complete_requests = []
        self._complete_bytes = 0
        self._reset()

    def feed(self, data: bytes) -> ParsedRequest | UnusableRequest | None:
        """Parse received bytes.

        Returns
        -------
        parsed : ParsedRequest, UnusableRequest or None
            The oldest complete request that was not returned before, or the reason why the
            connection cannot be read any further; None if no request is complete.
        """
        assert self._parser is not None
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            return UnusableRequest(400, "upgrade", "connections are not upgraded")
        except HttpParserError as error:
            return UnusableRequest(400, "malformed_request", f"request is not HTTP: {error}")
        self._last_feed_bytes = len(data)
        head_bytes = self._head_bytes if self._in_head else self._trailer_bytes
        if head_bytes > self.limits.max_header_bytes:
            return UnusableRequest(
                431, "header_too_large", f"got over {self.limits.max_header_bytes} header bytes"
            )
        if self._body_too_large:
            return UnusableRequest(
                413, "body_too_large", f"got over {self.limits.max_body_bytes} body bytes"
            )
        return self.next_request()

    def next_request(self) -> ParsedRequest | UnusableRequest | None:
        """Return the oldest complete request that was not returned before; None if there is none.

        A request without exactly one host header is returned as an `UnusableRequest`.
        """
        if not self._complete_requests:
            return None
        request, self.request_bytes = self._complete_requests.pop(0)
        self._complete_bytes -= self.request_bytes
        hosts = [value for name, value in request.headers if name.lower() == b"host"]
        if len(hosts) != 1:
            detail = f"got {len(hosts)} host headers, expected 1"
            return UnusableRequest(400, "malformed_host", detail)
        return request

    def _reset(self) -> None:
        self._in_head = True
        self._path = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._head_bytes = 0
        self._trailer_bytes = 0
        self._last_feed_bytes = 0
        self._begun = False

    @property
    def _incomplete_bytes(self) -> int:
        if not self._begun:
            return 0
        headers_bytes = len(self._headers) * HEADER_OVERHEAD_BYTES
        # The head may have begun in the bytes that ended another request, which do not count
        # against its own limit.
        return max(self._head_bytes, self._last_feed_bytes) + headers_bytes + len(self._body)

    def on_message_begin(self) -> None:
        """Start a request; called by the parser.

        The bytes that were counted before belong to the head of this request.
        """
        head_bytes = self._head_bytes
        self._reset()
        self._head_bytes = head_bytes
        self._begun = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the path; called by the parser."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header, or count and discard a trailer; called by the parser."""
        if self._in_head:
            self._headers.append((name, value))
        else:
            self._trailer_bytes += len(name) + len(value)

    def on_headers_complete(self) -> None:
        """Handle the end of the head; called by the parser."""
        self._in_head = False
        self.wants_continue = any(
            name.lower() == b"expect" and value.lower() == _EXPECT_CONTINUE
            for name, value in self._headers
        )

    def on_body(self, data: bytes) -> None:
        """Append a part of the body unless the body is too large; called by the parser."""
        if len(self._body) + len(data) > self.limits.max_body_bytes:
            self._body_too_large = True
        else:
            # An object for each chunk would take several times the memory of a small chunk.
            self._body += data

    def on_message_complete(self) -> None:
        """Store the complete request; called by the parser."""
        assert self._parser is not None
        request = ParsedRequest(
            self._parser.get_method(),
            self._path,
            tuple(self._headers),
            bytes(self._body),
            self._parser.should_keep_alive(),
        )
        request_bytes = _count_request_bytes(request)
        self._complete_requests.append((request, request_bytes))
        self._complete_bytes += request_bytes
        self._reset()


def _count_request_bytes(request: ParsedRequest) -> int:
    """Return an upper bound on the memory of a request."""
    request_bytes = REQUEST_OVERHEAD_BYTES + len(request.path) + len(request.body)
    for name, value in request.headers:
        request_bytes += HEADER_OVERHEAD_BYTES + len(name) + len(value)
    return request_bytes
