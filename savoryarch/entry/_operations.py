"""What a pool sends on a connection: attempts, cancellations and probes."""

from collections.abc import Callable
from typing import Any, Protocol

from savoryarch.codec import Dialect, HttpReply
from savoryarch.entry._target_connection import TargetConnection
from savoryarch.model import (
    AttemptEnded,
    AttemptReply,
    SendAttempt,
    SnapshotId,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
)
from savoryarch.utils import Clock

CANCEL_TIMEOUT_MS = 500.0
PROBE_TIMEOUT_MS = 1000.0
_MS_PER_S = 1000.0


class Pool(Protocol):
    """What an operation needs of the pool that sends it."""

    target: Target
    reactor: Any
    clock: Clock
    feed: Callable[[object], None]
    dialect: Dialect

    @property
    def host(self) -> str:
        """Value of the host header."""

    def time_out(self, operation: "TargetOperation") -> None:
        """End an operation whose deadline has passed."""

    def remove_attempt(self, attempt_id: str) -> None:
        """Drop an ended attempt."""


class TargetOperation:
    """Something to send on the next free connection; ends once, at its deadline at the latest.

    Parameters
    ----------
    pool : Pool
        The pool that sends it.
    remaining_ms : float
        Time until its deadline.
    request_id : str
        Sent along; the reply must repeat it.
    """

    def __init__(self, pool: Pool, remaining_ms: float, request_id: str) -> None:
        self.connection: TargetConnection | None = None
        self.request = b""
        self.repeatable = True
        self._pool = pool
        self._request_id = request_id
        self._ended = False
        self._timer = pool.reactor.callLater(max(0.0, remaining_ms) / _MS_PER_S, self._time_out)

    def start(self, connection: TargetConnection) -> None:
        """Note that bytes leave now."""
        self.connection = connection
        self.request = self.encode()

    def encode(self) -> bytes:
        """Return the request; called just before its bytes leave."""
        raise NotImplementedError

    def recognises(self, reply: HttpReply) -> bool:
        """Return whether the reply belongs to this operation."""
        return reply.header("x-request-id") == self._request_id

    def on_reply(self, reply: HttpReply) -> None:
        """Take the reply."""
        if self._mark_ended():
            self.report_reply(reply)

    def on_failure(self, reply: AttemptReply) -> None:
        """Take the end without a reply."""
        if self._mark_ended():
            self.report_failure(reply)

    def report_reply(self, reply: HttpReply) -> None:
        """Report the reply, once."""

    def report_failure(self, reply: AttemptReply) -> None:
        """Report the end without a reply, once."""

    def _mark_ended(self) -> bool:
        first, self._ended = not self._ended, True
        if self._timer.active():
            self._timer.cancel()
        return first

    def _time_out(self) -> None:
        self._pool.time_out(self)


class CancelOperation(TargetOperation):
    """Tells the target that an attempt is not wanted any more; nobody waits for the reply."""

    def __init__(self, pool: Pool, cancellation: bytes) -> None:
        super().__init__(pool, CANCEL_TIMEOUT_MS, "cancel")
        self._cancellation = cancellation

    def encode(self) -> bytes:
        """Return the cancellation."""
        return self._cancellation


class ProbeOperation(TargetOperation):
    """Asks the health endpoint; ends with one `TargetEvidenceReceived`."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool, PROBE_TIMEOUT_MS, "probe")

    def encode(self) -> bytes:
        """Return the probe."""
        return self._pool.dialect.encode_probe(self._pool.host)

    def report_reply(self, reply: HttpReply) -> None:
        """Report what the endpoint said."""
        self._report_evidence(*self._pool.dialect.decode_probe(reply))

    def report_failure(self, reply: AttemptReply) -> None:
        """Report that nothing usable came."""
        self._report_evidence(TargetEvidence.PROBE_FAILED, ())

    def _report_evidence(self, evidence: TargetEvidence, snapshots: tuple[SnapshotId, ...]) -> None:
        self._pool.feed(TargetEvidenceReceived(self._pool.target.target_id, evidence, snapshots))


class AttemptOperation(TargetOperation):
    """One attempt, from `SendAttempt` to its one `AttemptEnded`."""

    def __init__(self, pool: Pool, send: SendAttempt) -> None:
        super().__init__(pool, send.deadline_at_ms - pool.clock.now_ms(), send.attempt_id)
        self._send = send
        self.repeatable = send.repeatable

    def encode(self) -> bytes:
        """Return the request with the time that is left now."""
        remaining_ms = self._send.deadline_at_ms - self._pool.clock.now_ms()
        return self._pool.dialect.encode_attempt(self._send, self._pool.target, remaining_ms)

    def recognises(self, reply: HttpReply) -> bool:
        """Return whether the reply belongs to this attempt."""
        return self._pool.dialect.recognises(reply, self._send)

    def report_reply(self, reply: HttpReply) -> None:
        """Report what the target on_reply."""
        decoded, snapshots, load = self._pool.dialect.decode_attempt(reply, self._send)
        self._report(decoded, snapshots, load)

    def report_failure(self, reply: AttemptReply) -> None:
        """Report why no reply came."""
        self._report(reply, (), None)

    def _report(
        self, reply: AttemptReply, snapshots: tuple[SnapshotId, ...], load: float | None
    ) -> None:
        send = self._send
        self._pool.remove_attempt(send.attempt_id)
        self._pool.feed(AttemptEnded(send.attempt_id, send.target_id, reply, snapshots, load))
