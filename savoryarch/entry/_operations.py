"""Operations that a pool sends on its connections: attempts, cancellations and probes."""

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
    """Attributes and functions of a `TargetPool` that its operations use."""

    target: Target
    reactor: Any
    clock: Clock
    feed: Callable[[object], None]
    dialect: Dialect

    @property
    def host(self) -> str:
        """Value of the ``host`` header of requests to the target."""

    def time_out(self, operation: "TargetOperation") -> None:
        """End an operation whose deadline has passed."""

    def remove_attempt(self, attempt_id: str) -> None:
        """Remove an attempt that has ended."""


class TargetOperation:
    """One request to a target; it ends exactly once, at its deadline at the latest.

    Parameters
    ----------
    pool : Pool
        The pool that sends the request on its next free connection.
    remaining_ms : float
        Time until the deadline.
    request_id : str
        Id that is sent in the request and that its reply must carry.

    Attributes
    ----------
    shared_reply_id : str
        Id that the replies to other attempts of the same request carry as well; empty if there are
        no others.
    expires_at_ms : float
        Time from which no other attempt with that id is sent, on the clock of the process.
    """

    shared_reply_id = ""
    expires_at_ms = float("-inf")

    def __init__(self, pool: Pool, remaining_ms: float, request_id: str) -> None:
        self.connection: TargetConnection | None = None
        self.request = b""
        self.repeatable = True
        self._pool = pool
        self._request_id = request_id
        self._ended = False
        self._timer = pool.reactor.callLater(max(0.0, remaining_ms) / _MS_PER_S, self._time_out)

    def start(self, connection: TargetConnection) -> None:
        """Set the connection of the operation and encode the request for sending now."""
        self.connection = connection
        self.request = self.encode()

    def encode(self) -> bytes:
        """Return the bytes of the request; called immediately before they are sent."""
        raise NotImplementedError

    def owns_reply(self, reply: HttpReply) -> bool:
        """Return whether the reply carries the id of this operation."""
        return reply.header("x-request-id") == self._request_id

    def may_be_repeated(self, reply: HttpReply) -> bool:
        """Return whether another attempt of the same request may follow a reply."""
        return False

    def on_reply(self, reply: HttpReply) -> None:
        """End with a reply; ignored if the operation has ended."""
        if self._mark_ended():
            self.report_reply(reply)

    def on_failure(self, reply: AttemptReply) -> None:
        """End without a usable reply; ignored if the operation has ended."""
        if self._mark_ended():
            self.report_failure(reply)

    def report_reply(self, reply: HttpReply) -> None:
        """Feed the outcome of a reply; called at most once."""

    def report_failure(self, reply: AttemptReply) -> None:
        """Feed the outcome of an end without a usable reply; called at most once."""

    def _mark_ended(self) -> bool:
        """Stop the timer; return whether the operation had not ended before."""
        is_first_end, self._ended = not self._ended, True
        if self._timer.active():
            self._timer.cancel()
        return is_first_end

    def _time_out(self) -> None:
        self._pool.time_out(self)


class CancelOperation(TargetOperation):
    """Cancels an attempt at the target; the reply to the cancellation is ignored."""

    def __init__(self, pool: Pool, cancellation: bytes) -> None:
        super().__init__(pool, CANCEL_TIMEOUT_MS, "cancel")
        self._cancellation = cancellation

    def encode(self) -> bytes:
        """Return the request that cancels the attempt."""
        return self._cancellation


class ProbeOperation(TargetOperation):
    """Requests the target's health endpoint; feeds exactly one `TargetEvidenceReceived`."""

    def __init__(self, pool: Pool) -> None:
        super().__init__(pool, PROBE_TIMEOUT_MS, "probe")

    def encode(self) -> bytes:
        """Return the request for the health endpoint."""
        return self._pool.dialect.encode_probe(self._pool.host)

    def report_reply(self, reply: HttpReply) -> None:
        """Feed the evidence that the health endpoint's reply gives."""
        self._report_evidence(*self._pool.dialect.decode_probe_reply(reply))

    def report_failure(self, reply: AttemptReply) -> None:
        """Feed that the probe failed, for each kind of failure alike."""
        self._report_evidence(TargetEvidence.PROBE_FAILED, ())

    def _report_evidence(self, evidence: TargetEvidence, snapshots: tuple[SnapshotId, ...]) -> None:
        self._pool.feed(TargetEvidenceReceived(self._pool.target.target_id, evidence, snapshots))


class AttemptOperation(TargetOperation):
    """One attempt, from the effect `SendAttempt` to the one `AttemptEnded` that is fed for it."""

    def __init__(self, pool: Pool, effect: SendAttempt) -> None:
        super().__init__(pool, effect.deadline_at_ms - pool.clock.now_ms(), effect.attempt_id)
        self._effect = effect
        self.repeatable = effect.repeatable
        self.shared_reply_id = pool.dialect.reply_id(effect)
        self.expires_at_ms = effect.deadline_at_ms

    def encode(self) -> bytes:
        """Return the request, which states the time that remains until the deadline."""
        remaining_ms = self._effect.deadline_at_ms - self._pool.clock.now_ms()
        return self._pool.dialect.encode_attempt(self._effect, self._pool.target, remaining_ms)

    def owns_reply(self, reply: HttpReply) -> bool:
        """Return whether the reply belongs to this attempt, as the target's protocol tells."""
        return self._pool.dialect.is_reply_to(reply, self._effect)

    def may_be_repeated(self, reply: HttpReply) -> bool:
        """Return whether another attempt may follow, as the target's protocol tells."""
        return self._pool.dialect.may_be_repeated(reply)

    def report_reply(self, reply: HttpReply) -> None:
        """Feed `AttemptEnded` with the decoded reply."""
        dialect = self._pool.dialect
        decoded, snapshots, load = dialect.decode_attempt_reply(reply, self._effect)
        self._report(decoded, snapshots, load, dialect.decode_in_flight(reply))

    def report_failure(self, reply: AttemptReply) -> None:
        """Feed `AttemptEnded` with the reason why there is no usable reply."""
        self._report(reply, (), None, None)

    def _report(
        self,
        reply: AttemptReply,
        snapshots: tuple[SnapshotId, ...],
        load: float | None,
        target_in_flight: int | None,
    ) -> None:
        effect = self._effect
        self._pool.remove_attempt(effect.attempt_id)
        self._pool.feed(
            AttemptEnded(
                effect.attempt_id, effect.target_id, reply, snapshots, load, target_in_flight
            )
        )
