"""Encoding of requests to targets and decoding of their replies, in HTTP/1.1.

The protocol is described in ``docs/PLATFORM.md``.
"""

import math
from functools import lru_cache
from urllib.parse import quote

from msgspec import DecodeError, Raw, Struct, json

from savoryarch.codec._reply_parser import HttpReply
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

_HEADER_SAFE_CHARACTERS = "!#$&'()*+,/:;=?@[]^`{|}~<> \"\\"


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
    """Encode the request of one attempt.

    Parameters
    ----------
    attempt_id : str
        Id of the attempt, which the reply has to repeat.
    host : str
        Value of the ``Host`` header.
    remaining_ms : float
        Time until the deadline of the attempt; a negative time is sent as 0.
    request : PartRequest or RouteRequest
        Request of a shard's part of a search, or request of a route.

    Returns
    -------
    data : bytes
        Request line, headers and body.
    """
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
    """Encode the request that cancels an attempt."""
    path = f"/v1/requests/{quote(attempt_id, safe='')}"
    return f"DELETE {path} HTTP/1.1\r\nhost: {host}\r\nx-request-id: cancel\r\n\r\n".encode()


def encode_probe(host: str) -> bytes:
    """Encode the request of a health probe."""
    return f"GET /health HTTP/1.1\r\nhost: {host}\r\nx-request-id: probe\r\n\r\n".encode()


def decode_attempt_reply(
    reply: HttpReply, attempt_id: str, request: PartRequest | RouteRequest
) -> tuple[AttemptReply, tuple[SnapshotId, ...], float | None]:
    """Decode the reply to an attempt.

    Parameters
    ----------
    reply : HttpReply
        The reply.
    attempt_id : str
        Id of the attempt.
    request : PartRequest or RouteRequest
        Request of the attempt.

    Returns
    -------
    reply : AttemptReply
        The decoded reply; `MalformedReply` if it is invalid or belongs to another attempt.
    snapshots : tuple of SnapshotId
        Snapshots that the target reports to serve.
    load : float or None
        Load that the target reports, from 0 to 1; None if the report is absent or invalid.
    """
    if reply.header("x-request-id") != attempt_id:
        detail = f"got the reply to {reply.header('x-request-id')!r}, expected {attempt_id!r}"
        return MalformedReply(detail), (), None
    try:
        snapshots = _parse_snapshots(reply.header("x-snapshots"))
        decoded = _decode_body(reply, request)
    except (DecodeError, ValueError, RecursionError) as error:
        return MalformedReply(str(error)), (), None
    return decoded, snapshots, _parse_load(reply.header("x-load"))


def decode_probe_reply(reply: HttpReply) -> tuple[TargetEvidence, tuple[SnapshotId, ...]]:
    """Decode the reply to a health probe.

    Returns
    -------
    evidence : TargetEvidence
        Whether the target is live, is draining, or failed the probe.
    snapshots : tuple of SnapshotId
        Snapshots that the target reports to serve; empty if the target failed the probe.
    """
    try:
        health = json.decode(reply.body, type=_HealthBody)
        snapshots = _parse_snapshots(reply.header("x-snapshots"))
    except (DecodeError, ValueError, RecursionError):
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
    # An error status without the body of a refusal means that the target itself has failed. The
    # request may have run.
    try:
        return json.decode(reply.body, type=_RefusalBody)
    except (DecodeError, RecursionError):
        return _RefusalBody()


# Cached because a target sends the same list in each reply until its snapshots change.
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
    # A key from a request body may have any characters, a header only printable ASCII.
    return quote(value, safe=_HEADER_SAFE_CHARACTERS)
