"""What operators declare: services and their targets, searches, routes and callers."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map


class ResourceKind(Enum):
    """Kind of a resource."""

    SERVICE = "service"
    SEARCH = "search"
    ROUTE = "route"
    CALLER = "caller"


class Preference(Enum):
    """What a search gives up last."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Priority(Enum):
    """Priority class of a request; urgent requests are served first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Target:
    """One process that serves a replica of a service.

    Parameters
    ----------
    target_id : str
        Unique over all services.
    service : str
        The service it serves.
    availability_zone : str
        Where it runs.
    host : str
        IP number.
    port : int
        TCP port of its HTTP interface.
    """

    target_id: str
    service: str
    availability_zone: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Service:
    """One shard (or a stateless service), served by targets that are replicas of each other.

    Parameters
    ----------
    name : str
        Unique name, for example ``balcao-03``.
    group : str
        Services declared alike, for example ``balcao``.
    slots : int
        Requests that one target runs at a time.
    connection_limit : int
        Connections that one target accepts, from all entry instances together.
    targets : tuple of Target
        Its replicas.
    """

    name: str
    group: str
    slots: int
    connection_limit: int
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class ShardMap:
    """The services that together hold every record exactly once.

    Parameters
    ----------
    version : int
        Version of the partitioning.
    services : tuple of str
        One service per shard.
    """

    version: int
    services: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Search:
    """A declared search over every shard of a shard map.

    Parameters
    ----------
    name : str
        Unique name.
    shard_maps : tuple of ShardMap
        Ascending by version; more than one while shards are being repartitioned.
    deadline_ms : float
        Time until the answer is due.
    minimum_coverage : float
        Share of the shards, 0 to 1, below which the search is refused instead of answered.
    prefer : Preference
        Whether to answer early or to wait for the missing shards.
    priority : Priority
        Default priority class.
    extra_load_share : float
        Hedged and retried sub-requests allowed per ordinary one.
    """

    name: str
    shard_maps: tuple[ShardMap, ...]
    deadline_ms: float
    minimum_coverage: float = 0.0
    prefer: Preference = Preference.LATENCY
    priority: Priority = Priority.NORMAL
    extra_load_share: float = 0.05


@dataclass(frozen=True, slots=True)
class KeyFromHeader:
    """The idempotency key is the value of a request header."""

    header: str = "idempotency-key"


@dataclass(frozen=True, slots=True)
class KeyFromField:
    """The idempotency key is a field of the JSON body, for example ``rebuild.wheel_id``."""

    field_path: str


KeySource = KeyFromHeader | KeyFromField


@dataclass(frozen=True, slots=True)
class Route:
    """A declared request route to one service.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        The service whose targets run the request.
    deadline_ms : float
        Time until the outcome is due.
    idempotent : bool
        Whether the request may run more than once. If not, it needs an idempotency key.
    key : KeyFromHeader or KeyFromField
        Where the idempotency key is found.
    priority : Priority
        Default priority class.
    """

    name: str
    service: str
    deadline_ms: float
    idempotent: bool = False
    key: KeySource = field(default_factory=KeyFromHeader)
    priority: Priority = Priority.NORMAL


@dataclass(frozen=True, slots=True)
class Caller:
    """A declared caller, between which capacity is shared fairly.

    Parameters
    ----------
    name : str
        Value of the ``x-caller`` header.
    weight : float
        Its share relative to the other callers.
    """

    name: str
    weight: float = 1.0


Resource = Service | Search | Route | Caller


@dataclass(frozen=True, slots=True)
class Declarations:
    """Every declared resource at one generation of the configuration.

    Parameters
    ----------
    generation : int
        Ascends with each accepted change; 0 before the first.
    services, searches, routes, callers : Map
        Resources by name.
    """

    generation: int = 0
    services: Map[str, Service] = field(default_factory=Map)
    searches: Map[str, Search] = field(default_factory=Map)
    routes: Map[str, Route] = field(default_factory=Map)
    callers: Map[str, Caller] = field(default_factory=Map)
