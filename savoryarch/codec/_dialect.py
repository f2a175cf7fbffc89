"""Protocols towards targets: encoding of requests, decoding of replies, and use of connections."""

from typing import Protocol

from savoryarch.codec._reply_parser import HttpReply
from savoryarch.codec._target_http import (
    decode_attempt_reply,
    decode_probe_reply,
    encode_attempt,
    encode_cancel,
    encode_probe,
)
from savoryarch.model import (
    NO_ADVICE,
    AttemptReply,
    PartRequest,
    RouteRequest,
    SendAttempt,
    SnapshotId,
    Target,
    TargetAdvice,
    TargetEvidence,
)


class Dialect(Protocol):
    """Protocol that targets speak.

    Attributes
    ----------
    connect_timeout_ms : float
        Time after which an attempt to connect has failed.
    probes_by_connecting : bool
        Whether a successful connection suffices as a probe, so that no probe request is sent.
    reports_every_close : bool
        Whether each connection that a target closes is evidence about the target. If not, only
        the close of its last connection is.
    default_max_idle_ms : float
        Time for which a connection may be idle, before the first reply of a target has stated one.
    """

    connect_timeout_ms: float
    probes_by_connecting: bool
    reports_every_close: bool
    default_max_idle_ms: float

    def encode_attempt(self, send: SendAttempt, target: Target, remaining_ms: float) -> bytes:
        """Return the bytes of an attempt's request; `remaining_ms` is the time to its deadline."""

    def reply_id(self, send: SendAttempt) -> str:
        """Return the id that the reply to an attempt carries."""

    def is_reply_to(self, reply: HttpReply, send: SendAttempt) -> bool:
        """Return whether a reply belongs to an attempt."""

    def may_be_repeated(self, reply: HttpReply) -> bool:
        """Return whether another attempt whose reply carries the same id may follow a reply."""

    def decode_attempt_reply(
        self, reply: HttpReply, send: SendAttempt
    ) -> tuple[AttemptReply, tuple[SnapshotId, ...], float | None]:
        """Return the decoded reply, the snapshots that the target serves, and its load (0 to 1)."""

    def decode_advice(self, reply: HttpReply) -> TargetAdvice:
        """Return what the target states about itself in a reply, `NO_ADVICE` if nothing."""

    def decode_in_flight(self, reply: HttpReply) -> int | None:
        """Return how many requests of all instances the target runs or queues, if it reports it."""

    def encode_cancel(self, attempt_id: str, host: str) -> bytes | None:
        """Return the request that cancels an attempt; None if closing the connection cancels it."""

    def encode_probe(self, host: str) -> bytes:
        """Return the request of a health probe."""

    def decode_probe_reply(self, reply: HttpReply) -> tuple[TargetEvidence, tuple[SnapshotId, ...]]:
        """Return the evidence of a probe's reply, and the snapshots that the target serves."""

    def max_idle_ms(self, reply: HttpReply) -> float:
        """Return the time for which the connection may be reused after a reply."""


class JsonDialect:
    """The project's own protocol: JSON over HTTP/1.1; see ``docs/PLATFORM.md``."""

    connect_timeout_ms = 2000.0
    probes_by_connecting = False
    reports_every_close = True
    default_max_idle_ms = float("inf")

    def encode_attempt(self, send: SendAttempt, target: Target, remaining_ms: float) -> bytes:
        """Return the bytes of an attempt's request."""
        assert isinstance(send.request, PartRequest | RouteRequest)
        host = f"{target.host}:{target.port}"
        return encode_attempt(send.attempt_id, host, remaining_ms, send.request)

    def reply_id(self, send: SendAttempt) -> str:
        """Return the id of the attempt."""
        return send.attempt_id

    def is_reply_to(self, reply: HttpReply, send: SendAttempt) -> bool:
        """Return whether a reply repeats the id of an attempt."""
        return reply.header("x-request-id") == send.attempt_id

    def may_be_repeated(self, reply: HttpReply) -> bool:
        """Return False, because each attempt has an id of its own."""
        return False

    def decode_attempt_reply(
        self, reply: HttpReply, send: SendAttempt
    ) -> tuple[AttemptReply, tuple[SnapshotId, ...], float | None]:
        """Return the decoded reply, the snapshots that the target serves, and its load."""
        assert isinstance(send.request, PartRequest | RouteRequest)
        return decode_attempt_reply(reply, send.attempt_id, send.request)

    def decode_advice(self, reply: HttpReply) -> TargetAdvice:
        """Return `NO_ADVICE`: these targets state it in the body of a refusal."""
        return NO_ADVICE

    def decode_in_flight(self, reply: HttpReply) -> int | None:
        """Return None, because these targets report no number."""
        return None

    def encode_cancel(self, attempt_id: str, host: str) -> bytes | None:
        """Return the request that cancels an attempt."""
        return encode_cancel(attempt_id, host)

    def encode_probe(self, host: str) -> bytes:
        """Return the request of a health probe."""
        return encode_probe(host)

    def decode_probe_reply(self, reply: HttpReply) -> tuple[TargetEvidence, tuple[SnapshotId, ...]]:
        """Return the evidence of a probe's reply, and the snapshots that the target serves."""
        return decode_probe_reply(reply)

    def max_idle_ms(self, reply: HttpReply) -> float:
        """Return infinity, because these targets do not close idle connections."""
        return float("inf")
