"""Forwarded requests: routing table, registrations, requests and their outcomes."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.model._declarations import Target
from savoryarch.model._search import Refused
from savoryarch.utils import fast_init

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
    """Destination: each request is sent to one service.

    Parameters
    ----------
    service : str
        Name of the service.
    """

    service: str


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One service of a split.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Its share of the requests relative to the other services.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ToSplit:
    """Destination: requests are distributed over services in proportion to their weights.

    Parameters
    ----------
    parts : tuple of WeightedService
        The services.
    """

    parts: tuple[WeightedService, ...]


@dataclass(frozen=True, slots=True)
class ToShards:
    """Destination: each request is sent to every shard, and the replies are merged.

    Parameters
    ----------
    services : tuple of str
        One service per shard.
    top_records : int
        Maximum number of records in the answer, the greatest of all replies.
    minimum_coverage : float
        Share of the shards, 0 to 1, that an answer needs at least.
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
        Host that it matches, in lower case and without a port.
    path_prefix : str
        Prefix of the paths that it matches; begins and ends with a slash.
    destination : Destination
        Where requests are sent.
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : float
        Time after which a request fails at this instance.
    objective_ms : float
        Latency objective of an answer, counted from the client's first attempt.
    max_attempts : int
        Maximum number of targets per service that one request may reach.
    priority : int
        Priority of its requests under overload; 0 is the most urgent.
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
    """Limits on the size of clients' requests, and on the time to send them.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum length of the head and of the body of a request.
    header_timeout_ms : float
        Maximum time from the first byte of a request to the end of its head.
    idle_timeout_ms : float
        Time after which a connection without a request is closed.
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
        Version number, which increases with each change.
    routes : tuple of ForwardedRoute
        In the order in which they were declared.
    connection_limits : Map
        By service, the connections that one target accepts from all instances together.
    limits : FrontLimits
        Limits on the requests of clients.
    """

    version: int
    routes: tuple[ForwardedRoute, ...]
    connection_limits: Map[str, int] = field(default_factory=Map)
    limits: FrontLimits = FrontLimits()


@dataclass(frozen=True, slots=True)
class RegisteredTarget:
    """The registration of a target.

    Parameters
    ----------
    target : Target
        The target. Its id is that of one process start: after a restart under the same name, it
        is another target.
    name : str
        Name under which it registered. Each request carries the name, so that a target with
        another name at the same address refuses it.
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        Whether it has announced that it will stop.
    sequence : int
        Number that the target increases with each registration. It is not compared, because the
        registrations with which a target only renews its entry differ in nothing else.
    """

    target: Target
    name: str
    slots: int
    draining: bool
    sequence: int = field(default=0, compare=False)


@dataclass(frozen=True, slots=True)
class RegisteredInstance:
    """The registration of an entry instance.

    Parameters
    ----------
    instance_id : str
        Id of the instance.
    availability_zone : str
        Availability zone of the instance.
    host, port : str and int
        Its address for peers.
    """

    instance_id: str
    availability_zone: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class TableInForce:
    """Event: a newer forwarding table has come into force at this instance.

    Parameters
    ----------
    table : ForwardingTable
        The table.
    """

    table: ForwardingTable


@dataclass(frozen=True, slots=True)
class TargetsDiscovered:
    """Event: a forwarding table and registered targets have been read for the first time."""


@fast_init
@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A client's request as it is sent to targets.

    Parameters
    ----------
    client_request_id : str
        The client's id of the request, forwarded unchanged.
    method, path : bytes
        As received. The path includes the query.
    host : str
        Value of the host header.
    headers : tuple of (bytes, bytes)
        The forwarded headers, in their order.
    body : bytes
        The complete body.
    """

    client_request_id: str
    method: bytes
    path: bytes
    host: str
    headers: HeaderFields
    body: bytes


@fast_init
@dataclass(frozen=True, slots=True)
class ForwardRequested:
    """Event: a client has sent a request to forward.

    Parameters
    ----------
    request_id : str
        Unique within this instance and incarnation.
    request : ForwardedRequest
        The request.
    client_remaining_ms : float or None
        Time in ms that the client will wait from now on; None if it sent no deadline.
    """

    request_id: str
    request: ForwardedRequest
    client_remaining_ms: float | None


@fast_init
@dataclass(frozen=True, slots=True)
class TargetAnswered:
    """Outcome: the reply of a target, sent to the client unchanged.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        Headers in their order.
    body : bytes
        The complete body.
    """

    status: int
    headers: HeaderFields
    body: bytes


@fast_init
@dataclass(frozen=True, slots=True)
class ShardsAnswered:
    """Outcome: the merged replies of the shards.

    Parameters
    ----------
    digests : tuple of str
        The digest that each target sent with its reply.
    missing_shards : int
        Number of shards without a reply.
    body : bytes
        The greatest records of all replies, greatest first.
    """

    digests: tuple[str, ...]
    missing_shards: int
    body: bytes


@dataclass(frozen=True, slots=True)
class Unanswered:
    """Outcome: targets may have run the request, but there is no reply for the client.

    Parameters
    ----------
    timed_out : bool
        Whether the deadline has passed; otherwise all attempts have failed.
    detail : str
        Labels of the failures, separated by commas.
    """

    timed_out: bool
    detail: str


ForwardOutcome = TargetAnswered | ShardsAnswered | Unanswered | Refused


@dataclass(frozen=True, slots=True)
class AnswerForward:
    """Effect: send the outcome of a request to its client; there is one per request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    outcome : ForwardOutcome
        The outcome.
    """

    request_id: str
    outcome: ForwardOutcome
