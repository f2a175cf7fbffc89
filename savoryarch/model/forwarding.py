"""Forwarded requests: the routes they match, what targets reply, and what the client gets."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.model._declarations import Target
from savoryarch.model._search import Refused

__all__ = [
    "AnswerForward",
    "Destination",
    "HeaderFields",
    "ForwardRequested",
    "ForwardOutcome",
    "ForwardedRequest",
    "ForwardedRoute",
    "ForwardingTable",
    "FrontLimits",
    "ShardsAnswered",
    "RegisteredInstance",
    "RegisteredTarget",
    "TableInForce",
    "TargetAnswered",
    "TargetsDiscovered",
    "ToService",
    "ToShards",
    "ToSplit",
    "Unanswered",
    "WeightedService",
]

HeaderFields = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ToService:
    """Send each request to one service."""

    service: str


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its share of the requests relative to the others."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ToSplit:
    """Distribute the requests over services in proportion to their weights."""

    parts: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class ToShards:
    """Send each request to every shard and merge the parts.

    Parameters
    ----------
    services : tuple of str
        One service per shard.
    top_records : int
        Greatest records of all parts that the answer holds.
    minimum_coverage : float
        Share of the shards, 0 to 1, below which there is no answer.
    """

    services: tuple[str, ...]
    top_records: int
    minimum_coverage: float


Destination = ToService | ToSplit | ToShards


@dataclass(frozen=True, slots=True)
class ForwardedRoute:
    """One rule of the forwarding table.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host header that it matches, in lower case.
    path_prefix : str
        Paths that it matches; begins and ends with a slash.
    destination : Destination
        Where the requests go.
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Longest time that a request may take here.
    objective_ms : float
        Time within which an answer is worth the most, from the client's first attempt.
    max_attempts : int
        Targets of a service to which one request may be sent.
    priority : int
        Rank; 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    destination: Destination
    idempotent: bool
    timeout_ms: float
    objective_ms: float
    max_attempts: int
    priority: int


@dataclass(frozen=True, slots=True)
class FrontLimits:
    """What clients may send, and how long they may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest request head and body.
    header_timeout_ms : float
        From the first byte of a request to the end of its head.
    idle_timeout_ms : float
        How long a connection without a request is kept.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class ForwardingTable:
    """One version of the forwarding configuration.

    Parameters
    ----------
    version : int
        Ascends with each change.
    routes : tuple of ForwardedRoute
        In the order in which they were declared.
    connection_limits : Map
        Connections that one target of a service accepts from all instances together, by service.
    limits : FrontLimits
        For clients.
    """

    version: int
    routes: tuple[ForwardedRoute, ...]
    connection_limits: Map[str, int] = field(default_factory=Map)
    limits: FrontLimits = FrontLimits()


@dataclass(frozen=True, slots=True)
class RegisteredTarget:
    """A target as it registered itself.

    Parameters
    ----------
    target : Target
        Its id is that of one start: a target that starts again under its name is another one.
    name : str
        Name under which it registered, which it proves on request.
    slots : int
        Requests that it runs at a time.
    draining : bool
        Whether it announced that it leaves.
    """

    target: Target
    name: str
    slots: int
    draining: bool


@dataclass(frozen=True, slots=True)
class RegisteredInstance:
    """An entry instance as it registered itself, with its address for peers."""

    instance_id: str
    availability_zone: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class TableInForce:
    """A newer forwarding table is in force here; informs the other decisions."""

    table: ForwardingTable


@dataclass(frozen=True, slots=True)
class TargetsDiscovered:
    """The registered targets were read for the first time; informs the other decisions."""


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A client's request as it is passed on.

    Parameters
    ----------
    client_request_id : str
        The client's id of this attempt, passed unchanged.
    method, path : bytes
        As received; the path includes the query.
    host : str
        Value of the host header.
    headers : tuple of (bytes, bytes)
        Every header that is passed on, in order.
    body : bytes
        The whole body.
    """

    client_request_id: str
    method: bytes
    path: bytes
    host: str
    headers: HeaderFields
    body: bytes


@dataclass(frozen=True, slots=True)
class ForwardRequested:
    """A client sent a request that has to be forwarded.

    Parameters
    ----------
    request_id : str
        Unique within this instance and incarnation.
    request : ForwardedRequest
        The request.
    client_remaining_ms : float or None
        How long the client waits from now on, if it said.
    """

    request_id: str
    request: ForwardedRequest
    client_remaining_ms: float | None


@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The whole reply of a target, passed to the client unchanged."""

    status: int
    headers: HeaderFields
    body: bytes


@dataclass(frozen=True, slots=True)
class ShardsAnswered:
    """The merged parts of a request to shards.

    Parameters
    ----------
    digests : tuple of str
        The target's digest of each part.
    missing_shards : int
        Shards that are left out.
    body : bytes
        The greatest records, falling.
    """

    digests: tuple[str, ...]
    missing_shards: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Targets may have run the request, and no reply can be passed on.

    Parameters
    ----------
    timed_out : bool
        Whether time ran out, as opposed to a failure.
    detail : str
        What happened.
    """

    timed_out: bool
    detail: str


ForwardOutcome = TargetAnswered | ShardsAnswered | Unanswered | Refused


@dataclass(frozen=True, slots=True)
class AnswerForward:
    """Give the client its outcome, exactly once per request."""

    request_id: str
    outcome: ForwardOutcome
