"""Attempts at targets with their replies, and evidence of the state of targets."""

from dataclasses import dataclass
from enum import Enum

from savoryarch.model._search import SnapshotId
from savoryarch.model.forwarding import ForwardedRequest, HeaderFields
from savoryarch.utils import fast_init


@dataclass(frozen=True, slots=True)
class PartRequest:
    """Request to a target: search one shard at one snapshot.

    Parameters
    ----------
    search : str
        Name of the search.
    query : bytes
        The query as JSON, passed to the target unchanged.
    snapshot : SnapshotId
        The snapshot to search.
    """

    search: str
    query: bytes
    snapshot: SnapshotId


@dataclass(frozen=True, slots=True)
class RouteRequest:
    """Request to a target: run one request of a route.

    Parameters
    ----------
    route : str
        Name of the route.
    idempotency_key : str
        Key that is passed to the target; empty for idempotent routes without one.
    body : bytes
        Request body, passed to the target unchanged.
    """

    route: str
    idempotency_key: str
    body: bytes


@fast_init
@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Effect: send a request to a target; it ends with exactly one `AttemptEnded`.

    Parameters
    ----------
    attempt_id : str
        ``COMPONENT/...``, unique within this instance and incarnation. It is sent with the
        request, and the reply has to carry it.
    target_id : str
        The declared target.
    deadline_at_ms : float
        Deadline on the clock of the process. It is sent as the remaining time, and enforced at
        this instance as well.
    request : PartRequest or RouteRequest or ForwardedRequest
        The request.
    repeatable : bool
        Whether the request is idempotent. A non-idempotent request is not sent on a connection
        that has been idle for long: the target may have closed it, and it would be unknown
        whether the request has run.
    """

    attempt_id: str
    target_id: str
    deadline_at_ms: float
    request: PartRequest | RouteRequest | ForwardedRequest
    repeatable: bool = True


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Effect: cancel an attempt; it still ends with `AttemptEnded`."""

    attempt_id: str
    target_id: str


@dataclass(frozen=True, slots=True)
class PartReturned:
    """Reply: the target searched its shard.

    Parameters
    ----------
    snapshot : SnapshotId
        The snapshot that the target searched, as the reply states.
    records : bytes
        The records as a JSON array.
    complete : bool
        Whether the target searched the complete shard.
    """

    snapshot: SnapshotId
    records: bytes
    complete: bool


@dataclass(frozen=True, slots=True)
class RouteReturned:
    """Reply: the target ran the request; `status` and `body` go to the caller unchanged."""

    status: int
    body: bytes


@fast_init
@dataclass(frozen=True, slots=True)
class ResponseReturned:
    """Reply: the target ran a forwarded request.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        The headers that are passed on, in order.
    body : bytes
        The complete body.
    digest : str
        The target's digest of its reply; empty if the reply has none.
    """

    status: int
    headers: HeaderFields
    body: bytes
    digest: str


@dataclass(frozen=True, slots=True)
class Misdirected:
    """Reply: another target has the address; nothing has run."""


@dataclass(frozen=True, slots=True)
class SnapshotNotServed:
    """Reply: the target does not serve the requested snapshot; nothing has run."""


@dataclass(frozen=True, slots=True)
class Shed:
    """Reply: the target refused the request for lack of capacity; nothing has run.

    Parameters
    ----------
    retry_after_ms : float or None
        Time in ms after which the target may have capacity; None if the reply has none.
    """

    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Draining:
    """Reply: the target refused the request because it is leaving; nothing has run."""


@dataclass(frozen=True, slots=True)
class DeadlinePassed:
    """Reply: the deadline passed before the target had a result.

    Parameters
    ----------
    not_run : bool
        Whether the target states that nothing has run.
    """

    not_run: bool


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte was sent to the target, for example because no connection was available."""

    detail: str


@dataclass(frozen=True, slots=True)
class ConnectionLost:
    """The connection ended before a complete reply; bytes may have been sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class TimedOut:
    """No reply came by the deadline of the attempt; bytes may have been sent."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The attempt was cancelled by `CancelAttempt`; bytes may have been sent."""


@dataclass(frozen=True, slots=True)
class MalformedReply:
    """The reply could not be decoded, or it belongs to another attempt."""

    detail: str


@dataclass(frozen=True, slots=True)
class TargetFailed:
    """Reply: the target failed; the request may have run."""

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


@fast_init
@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Event: an attempt has ended.

    Parameters
    ----------
    attempt_id, target_id : str
        As in `SendAttempt`.
    reply : AttemptReply
        The reply of the target, or why there is none.
    snapshots : tuple of SnapshotId
        The snapshots that the target serves now, by its reply; empty if the reply lists none.
    load : float or None
        The load that the target reports, 0 to 1, which no decision uses; None if it reports none.
    target_in_flight : int or None
        Number of requests of all instances that the target runs or queues, by its reply; None if it
        reports none.
    """

    attempt_id: str
    target_id: str
    reply: AttemptReply
    snapshots: tuple[SnapshotId, ...] = ()
    load: float | None = None
    target_in_flight: int | None = None


@dataclass(frozen=True, slots=True)
class TargetAdvice:
    """What a target states about itself in a reply, besides the reply to the request.

    Parameters
    ----------
    leaving : bool
        Whether the target leaves the fleet.
    hold_ms : float or None
        Time in ms for which the target wants no requests from this instance; None if it states
        none.
    ignored : str
        A statement that could not be used as it was, for the log; empty if there is none.
    """

    leaving: bool = False
    hold_ms: float | None = None
    ignored: str = ""


NO_ADVICE = TargetAdvice()


@dataclass(frozen=True, slots=True)
class TargetAdvised:
    """Event: a target stated something about itself; precedes the `AttemptEnded` of the reply.

    Parameters
    ----------
    target_id : str
        The declared target.
    advice : TargetAdvice
        Its statement.
    """

    target_id: str
    advice: TargetAdvice


class TargetEvidence(Enum):
    """Kind of evidence of a target's state: list, registration, connection or probe."""

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


@fast_init
@dataclass(frozen=True, slots=True)
class TargetEvidenceReceived:
    """Event: evidence of a target's state was received.

    Parameters
    ----------
    target_id : str
        The target.
    evidence : TargetEvidence
        Kind of evidence.
    snapshots : tuple of SnapshotId
        The snapshots that the target serves, by its health endpoint; empty if it lists none.
    """

    target_id: str
    evidence: TargetEvidence
    snapshots: tuple[SnapshotId, ...] = ()


@dataclass(frozen=True, slots=True)
class ProbeTarget:
    """Effect: probe a target's health endpoint; the result is a `TargetEvidenceReceived`."""

    target_id: str


@dataclass(frozen=True, slots=True)
class OpenConnections:
    """Effect: keep at least `count` idle connections to a target open, within its limit."""

    target_id: str
    count: int


@dataclass(frozen=True, slots=True)
class ReturnUnsent:
    """Effect: end the attempts that wait for a connection to a target, with `NotSent`."""

    target_id: str


@dataclass(frozen=True, slots=True)
class LimitConnections:
    """Effect: limit the connections to a target to `count`, and close idle ones above it."""

    target_id: str
    count: int
