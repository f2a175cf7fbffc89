"""HTTP/1.1 between an entry instance and targets; see ``docs/PLATFORM.md``."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from urllib.parse import quote

from httptools import HttpParserError, HttpResponseParser
from msgspec import DecodeError, Raw, Struct, json

from savoryarch.exceptions import CodecError
from savoryarch.model import (
    AttemptReply,
    Cancelled,
    DeadlinePassed,
    Draining,
    MalformedReply,
    PartRequest,
    PartReturned,
    RouteRequest,
    RouteReturned,
    Shed,
    SnapshotId,
    SnapshotNotServed,
    TargetEvidence,
    TargetFailed,
)

MAX_REPLY_BYTES = 16 * 1024 * 1024
_HEADER_SAFE_CHARACTERS = "!#$&'()*+,/:;=?@[]^`{|}~<> \"\\"


@dataclass(frozen=True, slots=True)
class HttpReply:
    """One whole reply; names in `headers` are in lower case, `fields` are as received."""

    status: int
    body: bytes
    headers: Mapping[str, str] = field(default_factory=dict)
    keep_alive: bool = True
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()

    def header(self, name: str) -> str:
        """Return a header's value, or an empty string."""
        return self.headers.get(name, "")


class _PartBody(Struct):
    snapshot: str
    complete: bool
    records: Raw


class _RefusalBody(Struct):
    reason: str = ""
    not_run: bool = False
    retry_after_ms: float | None = None


class _HealthBody(Struct):
    state: str


def encode_attempt(
    attempt_id: str, host: str, remaining_ms: float, request: PartRequest | RouteRequest
) -> bytes:
    """Encode the request of one attempt; `remaining_ms` is the time until its deadline."""
    match request:
        case PartRequest(search=search, query=query, snapshot=snapshot):
            path = f"/v1/search/{quote(search, safe='')}"
            extra_headers = f"x-snapshot: {snapshot}\r\n"
            body = query
        case RouteRequest(route=route, idempotency_key=key, body=body):
            path = f"/v1/route/{quote(route, safe='')}"
            extra_headers = f"idempotency-key: {_quote_header_value(key)}\r\n" if key else ""
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {host}\r\nx-request-id: {attempt_id}\r\n"
        f"x-deadline-ms: {max(0.0, remaining_ms):.1f}\r\n{extra_headers}"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n\r\n"
    )
    return head.encode("latin-1") + body


def encode_cancel(attempt_id: str, host: str) -> bytes:
    """Encode the cancellation of an attempt."""
    path = f"/v1/requests/{quote(attempt_id, safe='')}"
    return f"DELETE {path} HTTP/1.1\r\nhost: {host}\r\nx-request-id: cancel\r\n\r\n".encode()


def encode_probe(host: str) -> bytes:
    """Encode a question for the target's health."""
    return f"GET /health HTTP/1.1\r\nhost: {host}\r\nx-request-id: probe\r\n\r\n".encode()


def decode_attempt_reply(
    reply: HttpReply, attempt_id: str, request: PartRequest | RouteRequest
) -> tuple[AttemptReply, tuple[SnapshotId, ...], float | None]:
    """Decode the reply to an attempt.

    Returns
    -------
    reply : AttemptReply
        A reply that belongs to another attempt is `MalformedReply`.
    snapshots : tuple of SnapshotId
        The snapshots that the target says it serves.
    load : float or None
        Its load report, if it is a number from 0 to 1.
    """
    if reply.header("x-request-id") != attempt_id:
        detail = f"got the reply to {reply.header('x-request-id')!r}, expected {attempt_id!r}"
        return MalformedReply(detail), (), None
    try:
        snapshots = _parse_snapshots(reply.header("x-snapshots"))
        decoded = _decode_body(reply, request)
    except (DecodeError, ValueError) as error:
        return MalformedReply(str(error)), (), None
    return decoded, snapshots, _parse_load(reply.header("x-load"))


def decode_probe_reply(reply: HttpReply) -> tuple[TargetEvidence, tuple[SnapshotId, ...]]:
    """Decode the reply of the health endpoint."""
    try:
        health = json.decode(reply.body, type=_HealthBody)
        snapshots = _parse_snapshots(reply.header("x-snapshots"))
    except (DecodeError, ValueError):
        return TargetEvidence.PROBE_FAILED, ()
    match (reply.status, health.state):
        case (200, "draining"):
            return TargetEvidence.PROBE_DRAINING, snapshots
        case (200, "live" | "cold"):
            return TargetEvidence.PROBE_ANSWERED, snapshots
        case _:
            return TargetEvidence.PROBE_FAILED, ()


def _decode_body(reply: HttpReply, request: PartRequest | RouteRequest) -> AttemptReply:
    refusal = _decode_refusal(reply) if reply.status >= 400 else _RefusalBody()
    match (reply.status, refusal.reason, request):
        case (409, "snapshot", PartRequest()):
            return SnapshotNotServed()
        case (503, "shed", _) if refusal.not_run:
            return Shed(refusal.retry_after_ms)
        case (503, "draining", _) if refusal.not_run:
            return Draining()
        case (504, "deadline", _):
            return DeadlinePassed(refusal.not_run)
        case (499, _, _):
            return Cancelled()
        case (200, _, PartRequest()):
            body = json.decode(reply.body, type=_PartBody)
            return PartReturned(
                _parse_snapshot(body.snapshot), _require_json_array(body.records), body.complete
            )
        case (status, _, RouteRequest()) if 200 <= status < 500:
            return RouteReturned(status, reply.body)
        case (status, reason, _):
            return TargetFailed(status, reason or f"target replied with status {status}")


def _decode_refusal(reply: HttpReply) -> _RefusalBody:
    # An error without a refusal body is an error of the target itself, and may have run.
    try:
        return json.decode(reply.body, type=_RefusalBody)
    except DecodeError:
        return _RefusalBody()


@lru_cache(maxsize=4096)
def _parse_snapshots(text: str) -> tuple[SnapshotId, ...]:
    return tuple(_parse_snapshot(word) for word in text.split(",") if word.strip())


def _parse_snapshot(text: str) -> SnapshotId:
    shard_map, dot, index = text.strip().partition(".")
    if not (dot and shard_map.isdecimal() and index.isdecimal()):
        raise ValueError(f"got snapshot {text!r}, expected SHARD_MAP.INDEX such as '1.42'")
    return SnapshotId(int(shard_map), int(index))


def _parse_load(text: str) -> float | None:
    try:
        load = float(text)
    except ValueError:
        return None
    return load if math.isfinite(load) and 0.0 <= load <= 1.0 else None


def _require_json_array(records: Raw) -> bytes:
    array = bytes(records)
    if not array.startswith(b"["):
        raise ValueError("got records that are no array, expected a JSON array")
    return array


def _quote_header_value(value: str) -> str:
    # Keys taken from a body may hold any character; a header holds printable ASCII.
    return quote(value, safe=_HEADER_SAFE_CHARACTERS)


class HttpReplyParser:
    """Cuts a byte stream into replies.

    One parser belongs to one connection. Bytes that follow a whole reply while no request is
    outstanding are the caller's to judge: they show up as one more reply.
    """

    def __init__(self) -> None:
        self._replies: list[HttpReply] = []
        self._headers: dict[str, str] = {}
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._body_ends_at_close = False
        self._body_chunks: list[bytes] = []
        self._body_bytes = 0
        self._parser = HttpResponseParser(self)

    def feed(self, data: bytes) -> tuple[HttpReply, ...]:
        """Take in bytes and return the replies that are now whole.

        Raises
        ------
        CodecError
            If the bytes are not HTTP or a reply is larger than 16 MiB.
        """
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            raise CodecError(f"reply is not HTTP: {error}") from error
        if self._body_bytes > MAX_REPLY_BYTES:
            raise CodecError(f"got a reply of over {MAX_REPLY_BYTES} bytes")
        replies, self._replies = tuple(self._replies), []
        return replies

    def on_message_begin(self) -> None:
        """Start a reply; called by the parser."""
        self._headers, self._raw_headers, self._body_chunks, self._body_bytes = {}, [], [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser."""
        self._raw_headers.append((name, value))
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Note whether the length of the body is known; called by the parser."""
        has_length = "content-length" in self._headers or "transfer-encoding" in self._headers
        self._body_ends_at_close = not has_length

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body; called by the parser."""
        self._body_chunks.append(data)
        self._body_bytes += len(data)

    def on_message_complete(self) -> None:
        """End a reply; called by the parser."""
        self._body_ends_at_close = False
        self._replies.append(self._make_reply(self._parser.should_keep_alive()))

    def finish(self) -> HttpReply | None:
        """Return the reply that ends with the connection, which was closed in good order."""
        if not self._body_ends_at_close:
            return None
        self._body_ends_at_close = False
        return self._make_reply(keep_alive=False)

    def _make_reply(self, keep_alive: bool) -> HttpReply:
        return HttpReply(
            self._parser.get_status_code(),
            b"".join(self._body_chunks),
            self._headers,
            keep_alive,
            tuple(self._raw_headers),
        )
