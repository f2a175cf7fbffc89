"""What a connection to a target needs of the protocol that the target speaks."""

from typing import Protocol

from savoryarch.codec._target_http import (
    HttpReply,
    decode_attempt_reply,
    decode_probe_reply,
    encode_attempt,
    encode_cancel,
    encode_probe,
)
from savoryarch.model import (
    AttemptReply,
    PartRequest,
    RouteRequest,
    SendAttempt,
    SnapshotId,
    Target,
    TargetEvidence,
)


class Dialect(Protocol):
    """Encodes attempts for targets and decodes their replies."""

    connect_timeout_ms: float
    probes_by_connecting: bool
    reports_every_close: bool

    def encode_attempt(self, send: SendAttempt, target: Target, remaining_ms: float) -> bytes:
        """Return the request of an attempt; `remaining_ms` is the time until its deadline."""

    def is_reply_to(self, reply: HttpReply, send: SendAttempt) -> bool:
        """Return whether a reply belongs to an attempt."""

    def decode_attempt_reply(
        self, reply: HttpReply, send: SendAttempt
    ) -> tuple[AttemptReply, tuple[SnapshotId, ...], float | None]:
        """Return the reply, the snapshots that the target serves, and its load from 0 to 1."""

    def encode_cancel(self, attempt_id: str, host: str) -> bytes | None:
        """Return the request that cancels an attempt; None if closing its connection does."""

    def encode_probe(self, host: str) -> bytes:
        """Return a question for the target's health."""

    def decode_probe_reply(self, reply: HttpReply) -> tuple[TargetEvidence, tuple[SnapshotId, ...]]:
        """Return what the health endpoint says."""

    def max_idle_ms(self, reply: HttpReply) -> float:
        """Return how long the connection may be reused after a reply."""


class JsonDialect:
    """The project's own protocol towards targets; see ``docs/PLATFORM.md``."""

    connect_timeout_ms = 2000.0
    probes_by_connecting = False
    reports_every_close = True

    def encode_attempt(self, send: SendAttempt, target: Target, remaining_ms: float) -> bytes:
        """Return the request of an attempt."""
        assert isinstance(send.request, PartRequest | RouteRequest)
        host = f"{target.host}:{target.port}"
        return encode_attempt(send.attempt_id, host, remaining_ms, send.request)

    def is_reply_to(self, reply: HttpReply, send: SendAttempt) -> bool:
        """Return whether a reply belongs to an attempt."""
        return reply.header("x-request-id") == send.attempt_id

    def decode_attempt_reply(
        self, reply: HttpReply, send: SendAttempt
    ) -> tuple[AttemptReply, tuple[SnapshotId, ...], float | None]:
        """Return the reply, the snapshots that the target serves, and its load."""
        assert isinstance(send.request, PartRequest | RouteRequest)
        return decode_attempt_reply(reply, send.attempt_id, send.request)

    def encode_cancel(self, attempt_id: str, host: str) -> bytes | None:
        """Return the request that cancels an attempt."""
        return encode_cancel(attempt_id, host)

    def encode_probe(self, host: str) -> bytes:
        """Return a question for the target's health."""
        return encode_probe(host)

    def decode_probe_reply(self, reply: HttpReply) -> tuple[TargetEvidence, tuple[SnapshotId, ...]]:
        """Return what the health endpoint says."""
        return decode_probe_reply(reply)

    def max_idle_ms(self, reply: HttpReply) -> float:
        """Return infinity: these targets keep idle connections open."""
        return float("inf")
