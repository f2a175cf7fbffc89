"""Attempts: one request to one target, and what may come back."""

from dataclasses import dataclass
from enum import Enum

from savoryarch.model._search import SnapshotId
from savoryarch.model.forwarding import ForwardedRequest, HeaderFields


@dataclass(frozen=True, slots=True)
class PartRequest:
    """Search one shard at one snapshot."""

    search: str
    query: bytes
    snapshot: SnapshotId


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Run one request of a route.

    Parameters
    ----------
    route : str
        Name of the route.
    idempotency_key : str
        Passed to the target; empty for idempotent routes without one.
    body : bytes
        Passed unchanged.
    """

    route: str
    idempotency_key: str
    body: bytes


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to a target; answered by exactly one `AttemptEnded`.

    Parameters
    ----------
    attempt_id : str
        ``SUBJECT/...``, unique within this instance and incarnation; sent along and checked on
        the reply.
    target_id : str
        The declared target.
    deadline_at_ms : float
        Sent along as the time that is left, and enforced here.
    request : PartRequest or RouteRequest or ForwardedRequest
        What to send.
    repeatable : bool
        Whether it may run twice. What may not is sent on no connection that has been idle for
        long: the target may have closed it, and then nobody knows whether the request has run.
    """

    attempt_id: str
    target_id: str
    deadline_at_ms: float
    request: PartRequest | RouteRequest | ForwardedRequest
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop wanting an attempt; it still ends with `AttemptEnded`."""

    attempt_id: str
    target_id: str


@dataclass(frozen=True, slots=True)
class PartReturned:
    """The shard answered.

    Parameters
    ----------
    snapshot : SnapshotId
        The snapshot that the target says it answered from.
    records : bytes
        JSON array.
    complete : bool
        Whether the target searched the whole shard.
    """

    snapshot: SnapshotId
    records: bytes
    complete: bool


@dataclass(frozen=True, slots=True)
class RouteReturned:
    """The target ran the request; `status` and `body` go to the caller unchanged."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ResponseReturned:
    """The target ran a forwarded request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Every header that is passed on, in order.
    body : bytes
        The whole body.
    digest : str
        The target's digest of its reply; empty if it gave none.
    """

    status: int
    headers: HeaderFields
    body: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class Misdirected:
    """Another target has the address; nothing ran."""


@dataclass(frozen=True, slots=True)
class SnapshotNotServed:
    """The target does not serve the asked snapshot; nothing ran."""


@dataclass(frozen=True, slots=True)
class Shed:
    """The target refused for lack of capacity and says that nothing ran."""

    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Draining:
    """The target is leaving, refused, and says that nothing ran."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """The target gave up at the deadline.

    Parameters
    ----------
    not_run : bool
        Whether the target says that nothing ran.
    """

    not_run: bool


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte left for the target, for example because no connection could be had."""

    detail: str


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection ended after bytes may have left and before a whole reply."""

    detail: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No reply by the attempt's deadline; bytes may have left."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The attempt was cancelled by `CancelAttempt`; bytes may have left."""


@dataclass(frozen=True, slots=True)
class MalformedReply:
    """A reply that cannot be understood, or that belongs to another attempt."""

    detail: str


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """The target replied with an error of its own; the request may have run."""

    status: int
    detail: str


AttemptReply = (
    PartReturned
    | RouteReturned
    | ResponseReturned
    | Misdirected
    | SnapshotNotServed
    | Shed
    | Draining
    | DeadlinePassed
    | NotSent
    | ConnectionLost
    | TimedOut
    | Cancelled
    | MalformedReply
    | TargetFailed
)


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt.

    Parameters
    ----------
    attempt_id, target_id : str
        As in `SendAttempt`.
    reply : AttemptReply
        What came of it.
    snapshots : tuple of SnapshotId
        The snapshots that the target says it serves now; empty if it did not say.
    load : float or None
        The target's own report of its load, 0 to 1; a hint only.
    """

    attempt_id: str
    target_id: str
    reply: AttemptReply
    snapshots: tuple[SnapshotId, ...] = ()
    load: float | None = None


class TargetEvidence(Enum):
    """A sign of a target's state, from outside of an attempt."""

    LISTED_LIVE = "listed_live"
    LISTED_LEAVING = "listed_leaving"
    REGISTERED = "registered"
    UNLISTED = "unlisted"
    CONNECTED = "connected"
    CONNECTION_REFUSED = "connection_refused"
    CONNECTION_CLOSED = "connection_closed"
    PROBE_ANSWERED = "probe_answered"
    PROBE_DRAINING = "probe_draining"
    PROBE_FAILED = "probe_failed"


@dataclass(frozen=True, slots=True)
class TargetEvidenceReceived:
    """A sign of a target's state.

    Parameters
    ----------
    target_id : str
        The declared target.
    evidence : TargetEvidence
        What was seen.
    snapshots : tuple of SnapshotId
        The snapshots that it says it serves, if it said.
    """

    target_id: str
    evidence: TargetEvidence
    snapshots: tuple[SnapshotId, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Ask a target's health endpoint; answered by `TargetEvidenceReceived`."""

    target_id: str


@dataclass(frozen=True, slots=True)
class OpenConnections:
    """Keep at least `count` idle connections to a target open, within its share."""

    target_id: str
    count: int


@dataclass(frozen=True, slots=True)
class LimitConnections:
    """Never hold more than `count` connections to a target; closes idle ones above it."""

    target_id: str
    count: int
