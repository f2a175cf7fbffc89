"""Target side of the platform's protocol: request headers and encoded replies."""

from dataclasses import dataclass
from http import HTTPStatus

from savoryarch.front import ParsedRequest
from savoryarch.platform import (
    DIGEST_HEADER,
    EXPECTED_TARGET_HEADER,
    LEAVING_HEADER,
    NOT_RUN_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
)

IDLE_TIMEOUT_S = 5  # announced in each reply, but not enforced


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """Request headers that a target uses."""

    request_id: str
    expected_target: str


@dataclass(frozen=True, slots=True)
class TargetReply:
    """A reply of a target.

    `not_run` says that the request was refused before it ran, and `hold_ms` for how long the target
    wants no further one; `leaving` says that the target leaves.
    """

    status: int
    request_id: str
    body: bytes = b""
    digest: str = ""
    not_run: bool = False
    hold_ms: float = 0.0
    leaving: bool = False


def read_request_headers(parsed: ParsedRequest) -> RequestHeaders:
    """Return the headers that a target uses; missing ones are empty."""
    return RequestHeaders(parsed.header(REQUEST_ID_HEADER), parsed.header(EXPECTED_TARGET_HEADER))


def encode_reply(reply: TargetReply) -> bytes:
    """Return a reply as bytes of HTTP/1.1."""
    lines = [
        f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}",
        f"{REQUEST_ID_HEADER}: {reply.request_id}",
        f"content-length: {len(reply.body)}",
        f"keep-alive: timeout={IDLE_TIMEOUT_S}",
    ]
    if reply.digest:
        lines.append(f"{DIGEST_HEADER}: {reply.digest}")
    if reply.not_run:
        lines += [f"{NOT_RUN_HEADER}: 1", f"{RETRY_AFTER_HEADER}: {reply.hold_ms / 1000.0:.3f}"]
    if reply.leaving:
        lines.append(f"{LEAVING_HEADER}: 1")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + reply.body
