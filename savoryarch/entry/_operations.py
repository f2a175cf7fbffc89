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
    """What an errand needs of the pool that sends it."""

    target: Target
    reactor: Any
    clock: Clock
    feed: Callable[[object], None]
    dialect: Dialect

    @property
    def host(self) -> str:
        """Value of the host header."""

    def time_out(self, errand: "TargetOperation") -> None:
        """End an errand whose deadline has passed."""

    def forget(self, attempt_id: str) -> None:
        """Drop an ended attempt."""


class TargetOperation:
    """Something to send on the next free connection; ends once, at its deadline at the latest.

    Parameters
    ----------
    pool : Pool
        The pool that sends it.
    left_ms : float
        Time until its deadline.
    request_id : str
        Sent along; the reply must repeat it.
    """

    def __init__(self, pool: Pool, left_ms: float, request_id: str) -> None:
        self.connection: TargetConnection | None = None
        self.request = b""
        self.repeatable = True
        self._pool = pool
        self._request_id = request_id
        self._ended = False
        self._timer = pool.reactor.callLater(max(0.0, left_ms) / _MS_PER_S, self._time_out)

    def start(self, connection: TargetConnection) -> None:
        """Note that bytes leave now."""
        self.connection = connection
        self.request = self.encode()

    def encode(self) -> bytes:
        """Return the request; called just before its bytes leave."""
        raise NotImplementedError

    def recognises(self, reply: HttpReply) -> bool:
        """Return whether the reply belongs to this errand."""
        return reply.header("x-request-id") == self._request_id

    def replied(self, reply: HttpReply) -> None:
        """Take the reply."""
        if self._end():
            self.finish(reply)

    def failed(self, reply: AttemptReply) -> None:
        """Take the end without a reply."""
        if self._end():
            self.finish_without(reply)

    def finish(self, reply: HttpReply) -> None:
        """Report the reply, once."""

    def finish_without(self, reply: AttemptReply) -> None:
        """Report the end without a reply, once."""

    def _end(self) -> bool:
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

    def finish(self, reply: HttpReply) -> None:
        """Report what the endpoint said."""
        self._sign(*self._pool.dialect.decode_probe_reply(reply))

    def finish_without(self, reply: AttemptReply) -> None:
        """Report that nothing usable came."""
        self._sign(TargetEvidence.PROBE_FAILED, ())

    def _sign(self, sign: TargetEvidence, snapshots: tuple[SnapshotId, ...]) -> None:
        self._pool.feed(TargetEvidenceReceived(self._pool.target.target_id, sign, snapshots))


class AttemptOperation(TargetOperation):
    """One attempt, from `SendAttempt` to its one `AttemptEnded`."""

    def __init__(self, pool: Pool, send: SendAttempt) -> None:
        super().__init__(pool, send.deadline_at_ms - pool.clock.now_ms(), send.attempt_id)
        self._send = send
        self.repeatable = send.repeatable

    def encode(self) -> bytes:
        """Return the request with the time that is left now."""
        left_ms = self._send.deadline_at_ms - self._pool.clock.now_ms()
        return self._pool.dialect.encode_attempt(self._send, self._pool.target, left_ms)

    def recognises(self, reply: HttpReply) -> bool:
        """Return whether the reply belongs to this attempt."""
        return self._pool.dialect.is_reply_to(reply, self._send)

    def finish(self, reply: HttpReply) -> None:
        """Report what the target replied."""
        decoded, snapshots, load = self._pool.dialect.decode_attempt_reply(reply, self._send)
        self._report(decoded, snapshots, load)

    def finish_without(self, reply: AttemptReply) -> None:
        """Report why no reply came."""
        self._report(reply, (), None)

    def _report(
        self, reply: AttemptReply, snapshots: tuple[SnapshotId, ...], load: float | None
    ) -> None:
        send = self._send
        self._pool.forget(send.attempt_id)
        self._pool.feed(AttemptEnded(send.attempt_id, send.target_id, reply, snapshots, load))
