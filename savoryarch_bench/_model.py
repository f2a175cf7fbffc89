"""Scenarios (services, load, faults, policies) and the results of their runs."""

from dataclasses import dataclass, field

from savoryarch.admission import AdmissionSettings
from savoryarch.model import Preference, Priority
from savoryarch.search import SearchSettings

ZONES = ("zone-a", "zone-b", "zone-c")


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """A group of services and the search over them, in which each service is one shard.

    Parameters
    ----------
    name : str
        Name of the group and of its search.
    service_count : int
        Number of services.
    targets_per_service : int
        Number of targets of each service, its replicas.
    slots_per_target : int
        Number of requests that a target runs at the same time.
    connection_limit : int
        Number of connections that a target accepts.
    connect_ms : float
        Time that it takes to open a connection.
    zone_distance_ms : float
        Round trip between two availability zones, added to that within one zone.
    prefer : Preference
        Preference of the search.
    deadline_ms : float
        Deadline of the search.
    """

    name: str
    service_count: int
    targets_per_service: int
    slots_per_target: int
    connection_limit: int
    connect_ms: float
    zone_distance_ms: float
    prefer: Preference = Preference.COVERAGE
    deadline_ms: float = 1000.0

    @property
    def slots_per_service(self) -> float:
        """Return how many sub-requests one service runs at the same time."""
        return float(self.targets_per_service * self.slots_per_target)


BALCAO = ServiceGroup("balcao", 10, 3, 2, 25, 6.0, 0.5)
NOTAS = ServiceGroup("notas", 15, 3, 2, 25, 6.0, 0.5)
MECHANIC_DESK = ServiceGroup("mechanic-desk", 10, 3, 5, 40, 6.0, 1.0)
RIDER_PORTAL = ServiceGroup("rider-portal", 15, 3, 5, 40, 6.0, 1.0)
SERVICE_GROUPS = {shape.name: shape for shape in (BALCAO, NOTAS, MECHANIC_DESK, RIDER_PORTAL)}


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Distribution of the time that a target runs a sub-request.

    Parameters
    ----------
    median_ms, sigma : float
        Parameters of the lognormal distribution.
    straggler_share : float
        Share of the sub-requests that take `straggler_factor` times as long, independently of
        each other.
    straggler_factor : float
        Slowdown of a straggler and of a slow period.
    sticky_share : float
        Share of the time that a target is in a slow period, in which every sub-request takes
        `straggler_factor` times as long.
    sticky_ms : float
        Mean length of a slow period.
    """

    median_ms: float = 20.0
    sigma: float = 0.3
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    sticky_share: float = 0.0
    sticky_ms: float = 3000.0

    @property
    def mean_ms(self) -> float:
        """Return the mean in ms with independent stragglers, without slow periods."""
        slow = self.straggler_share * (self.straggler_factor - 1.0)
        return float(self.median_ms * (2.718281828 ** (self.sigma**2 / 2)) * (1.0 + slow))


@dataclass(frozen=True, slots=True)
class QueryStream:
    """Queries of one caller that arrive as a Poisson process.

    Parameters
    ----------
    caller : str
        Name of the caller.
    rate_per_s : float
        Mean rate. It is open loop: slow answers do not delay later queries.
    priority : Priority
        Priority class.
    from_ms, until_ms : float
        Start and end of the stream.
    """

    caller: str
    rate_per_s: float
    priority: Priority = Priority.NORMAL
    from_ms: float = 0.0
    until_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class FreezeTarget:
    """A target accepts requests but answers neither them nor probes until it is unfrozen."""

    target_id: str
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class CrashTarget:
    """A target loses its connections and requests and refuses connections until it restarts."""

    target_id: str
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class PartitionZone:
    """No message passes between an availability zone and the others."""

    availability_zone: str
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class CrashInstance:
    """An entry instance crashes and is replaced at `until_ms`; the others get its queries."""

    number: int
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class AdvanceIndex:
    """The targets start to serve the next index version, one every `step_ms`."""

    from_ms: float
    step_ms: float


Fault = FreezeTarget | CrashTarget | PartitionZone | CrashInstance | AdvanceIndex


@dataclass(frozen=True, slots=True)
class Scenario:
    """Input of one run: the services, the load, the faults and the policies.

    Parameters
    ----------
    name : str
        Name in the table of runs.
    seed : int
        Seed of all random numbers.
    duration_ms : float
        Time during which queries arrive.
    group : ServiceGroup
        Services that are declared and searched.
    streams : tuple of QueryStream
        Load, one stream per caller.
    service_time : ServiceTime
        Service times of the targets.
    faults : tuple of Fault
        Faults with the times at which they start and end.
    search, admission : SearchSettings, AdmissionSettings
        Settings of the entry instances.
    uses_round_robin : bool
        Whether targets are chosen in turn instead of by expected latency.
    instance_count : int
        Number of entry instances.
    extra_load_share : float
        Declared budget of the search for hedged attempts and retries.
    """

    name: str
    seed: int
    duration_ms: float
    group: ServiceGroup
    streams: tuple[QueryStream, ...]
    service_time: ServiceTime = ServiceTime()
    faults: tuple[Fault, ...] = ()
    search: SearchSettings = SearchSettings()
    admission: AdmissionSettings = AdmissionSettings()
    uses_round_robin: bool = False
    instance_count: int = 4
    extra_load_share: float = 0.05


@dataclass(frozen=True, slots=True)
class QueryResult:
    """Result of one query.

    Parameters
    ----------
    sent_at_ms, latency_ms : float
        Time at which the query was sent, and time from then to its outcome.
    caller : str
        Caller of the query.
    is_urgent : bool
        Whether its priority was urgent.
    shard_count, answered_count : int
        Number of requested and of answered shards; no shard is answered if it was refused.
    refusal : str
        Reason of the refusal; empty for an answer.
    """

    sent_at_ms: float
    latency_ms: float
    caller: str
    is_urgent: bool
    shard_count: int
    answered_count: int
    refusal: str = ""

    @property
    def is_complete(self) -> bool:
        """Return whether the query was answered with all shards."""
        return not self.refusal and self.answered_count == self.shard_count


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Counts of attempts, of a second or of a longer time.

    Parameters
    ----------
    first_attempts : int
        Attempts that were the first one for a query and shard.
    attempts : int
        All attempts, with retries and hedged ones.
    sheds : int
        Attempts that a target refused without running them.
    """

    first_attempts: int = 0
    attempts: int = 0
    sheds: int = 0

    @property
    def extra_load(self) -> float:
        """Return the attempts that may have run beyond the first ones, relative to the first."""
        return max(0, self.attempts - self.sheds - self.first_attempts) / max(
            1, self.first_attempts
        )

    @property
    def shed_share(self) -> float:
        """Return the refused attempts relative to the first attempts."""
        return self.sheds / max(1, self.first_attempts)


@dataclass(frozen=True, slots=True)
class LimitUsage:
    """How far a run used up the limits of its targets.

    Parameters
    ----------
    max_in_flight_share : float
        Largest number of requests that a target ran at the same time, relative to its slots.
    connections_refused : int
        Number of connections that targets refused because of their limits.
    max_connections_share : float
        Largest number of open connections of a target, relative to its limit.
    """

    max_in_flight_share: float = 0.0
    connections_refused: int = 0
    max_connections_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Run:
    """Result of one scenario.

    Parameters
    ----------
    scenario : Scenario
        Input of the run.
    results : tuple of QueryResult
        Results in the order of the outcomes, without queries that have no outcome.
    attempts_by_s : tuple of AttemptCounts
        Attempts in each second.
    limit_usage : LimitUsage
        Use of the targets' limits.
    violations : tuple of str
        Answers that broke an invariant: mixed snapshots, a part of another query, a wrong
        coverage, or ``not_run`` for a query that ran.
    decision_us : float
        CPU time of the decisions per attempt, in microseconds.
    unfinished_count : int
        Number of queries without an outcome, apart from those of crashed instances.
    counters : tuple of (str, int)
        Counts of the product by ``counter.reason``.
    """

    scenario: Scenario
    results: tuple[QueryResult, ...]
    attempts_by_s: tuple[AttemptCounts, ...]
    limit_usage: LimitUsage
    violations: tuple[str, ...] = ()
    decision_us: float = 0.0
    unfinished_count: int = 0
    counters: tuple[tuple[str, int], ...] = field(default_factory=tuple)
