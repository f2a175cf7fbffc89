"""Resources that operators declare: services with their targets, searches, routes, callers."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map


class ResourceKind(Enum):
    """Kind of a declared resource."""

    SERVICE = "service"
    SEARCH = "search"
    ROUTE = "route"
    CALLER = "caller"


class Preference(Enum):
    """What a search preserves when it cannot have both low latency and full coverage."""

    LATENCY = "latency"
    COVERAGE = "coverage"


class Priority(Enum):
    """Priority class of a request, highest first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


@dataclass(frozen=True, slots=True)
class Target:
    """One process that serves a replica of a service.

    Parameters
    ----------
    target_id : str
        Id that is unique among the targets of all services.
    service : str
        Name of the service that the target serves.
    availability_zone : str
        Availability zone that the target runs in.
    host : str
        IP address of its HTTP interface.
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
    """One shard or one stateless service, whose targets are replicas of each other.

    Parameters
    ----------
    name : str
        Unique name, for example ``balcao-03``.
    group : str
        Name that similar services share, for example ``balcao``; may be empty.
    slots : int
        Number of requests that one target runs at a time.
    connection_limit : int
        Number of connections that one target accepts from all entry instances together.
    targets : tuple of Target
        The replicas.
    """

    name: str
    group: str
    slots: int
    connection_limit: int
    targets: tuple[Target, ...]


@dataclass(frozen=True, slots=True)
class ShardMap:
    """One partitioning of the data: its services together hold every record exactly once.

    Parameters
    ----------
    version : int
        Version of the partitioning.
    services : tuple of str
        Names of the services, one for each shard.
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
        Shard maps by ascending version; more than one while the data is being repartitioned.
    deadline_ms : float
        Milliseconds from the arrival of a request until its answer is due.
    minimum_coverage : float
        Fraction of the shards, 0 to 1, below which the search is refused instead of answered.
    prefer : Preference
        Whether to answer early or to wait for missing shards.
    priority : Priority
        Priority class of requests that give none.
    extra_load_share : float
        Number of hedged and retried sub-requests allowed for each first attempt.
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
    """The idempotency key of a request is the value of a header."""

    header: str = "idempotency-key"


@dataclass(frozen=True, slots=True)
class KeyFromField:
    """The idempotency key is a field of the JSON body, for example ``rebuild.wheel_id``."""

    field_path: str


KeySource = KeyFromHeader | KeyFromField


@dataclass(frozen=True, slots=True)
class Route:
    """A declared route, which sends requests to one service.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        Name of the service whose targets run the requests.
    deadline_ms : float
        Milliseconds from the arrival of a request until its outcome is due.
    idempotent : bool
        Whether a request may run more than once. If not, it needs an idempotency key.
    key : KeyFromHeader or KeyFromField
        Where a request carries its idempotency key.
    priority : Priority
        Priority class of requests that give none.
    """

    name: str
    service: str
    deadline_ms: float
    idempotent: bool = False
    key: KeySource = field(default_factory=KeyFromHeader)
    priority: Priority = Priority.NORMAL


@dataclass(frozen=True, slots=True)
class Caller:
    """A declared caller; capacity is shared among callers in proportion to their weights.

    Parameters
    ----------
    name : str
        Value of the ``x-caller`` header.
    weight : float
        Its share of the capacity relative to that of other callers.
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
        Number that each accepted change increases; 0 before the first change.
    services, searches, routes, callers : Map
        Resources by name.
    """

    generation: int = 0
    services: Map[str, Service] = field(default_factory=Map)
    searches: Map[str, Search] = field(default_factory=Map)
    routes: Map[str, Route] = field(default_factory=Map)
    callers: Map[str, Caller] = field(default_factory=Map)
