"""Cuts a client's byte stream into requests, and refuses what is ambiguous."""

from dataclasses import dataclass

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from savoryarch.model.forwarding import (
    FrontLimits,
    HeaderFields,
)

_EXPECT_CONTINUE = b"100-continue"


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """One whole request as received."""

    method: bytes
    path: bytes
    headers: HeaderFields
    body: bytes
    keep_alive: bool

    def header(self, name: str) -> str:
        """Return the value of the first header of that name, or an empty string."""
        wanted = name.encode()
        for key, value in self.headers:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return ""


@dataclass(frozen=True, slots=True)
class UnusableRequest:
    """Why a request cannot be forwarded."""

    status: int
    reason: str
    detail: str


class RequestParser:
    """Parser of one connection; gives one request at a time.

    Parameters
    ----------
    limits : FrontLimits
        Largest head and body.
    """

    def __init__(self, limits: FrontLimits) -> None:
        self.limits = limits
        self.wants_continue = False
        self._complete: list[ParsedRequest] = []
        self._body_too_large = False
        self._reset()
        self._parser = HttpRequestParser(self)

    def feed(self, data: bytes) -> ParsedRequest | UnusableRequest | None:
        """Take in bytes; returns the request that is now whole, if there is one."""
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            return UnusableRequest(400, "upgrade", "connections are not upgraded")
        except HttpParserError as error:
            return UnusableRequest(400, "malformed_request", f"request is not HTTP: {error}")
        if self._in_head and self._head_bytes > self.limits.max_header_bytes:
            return UnusableRequest(
                431, "header_too_large", f"got over {self.limits.max_header_bytes} header bytes"
            )
        if self._body_too_large:
            return UnusableRequest(
                413, "body_too_large", f"got over {self.limits.max_body_bytes} body bytes"
            )
        return self.next_request()

    def next_request(self) -> ParsedRequest | UnusableRequest | None:
        """Return the oldest request that is whole and was not taken yet."""
        if not self._complete:
            return None
        request = self._complete.pop(0)
        hosts = [value for name, value in request.headers if name.lower() == b"host"]
        if len(hosts) != 1:
            detail = f"got {len(hosts)} host headers, expected 1"
            return UnusableRequest(400, "malformed_host", detail)
        return request

    def _reset(self) -> None:
        self._path = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head_bytes = 0
        self._in_head = True

    def on_message_begin(self) -> None:
        """Start a request; called by the parser."""
        head_bytes = self._head_bytes
        self._reset()
        self._head_bytes = head_bytes

    def on_url(self, url: bytes) -> None:
        """Take a piece of the path; called by the parser."""
        self._path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note the end of the head; called by the parser."""
        self._in_head = False
        self.wants_continue = any(
            name.lower() == b"expect" and value.lower() == _EXPECT_CONTINUE
            for name, value in self._headers
        )

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body; called by the parser."""
        self._body_bytes += len(data)
        if self._body_bytes > self.limits.max_body_bytes:
            self._body_too_large = True
        else:
            self._body.append(data)

    def on_message_complete(self) -> None:
        """End a request; called by the parser."""
        self._complete.append(
            ParsedRequest(
                self._parser.get_method(),
                self._path,
                tuple(self._headers),
                b"".join(self._body),
                self._parser.should_keep_alive(),
            )
        )
        self._reset()
