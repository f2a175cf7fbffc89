"""Deployments, loads, faults and results of the bench."""

from dataclasses import dataclass, field

from savoryarch.admission import AdmissionSettings
from savoryarch.model import Preference, Priority
from savoryarch.search import SearchSettings

ZONES = ("zone-a", "zone-b", "zone-c")


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """One group of services and the search over them.

    Parameters
    ----------
    group : str
        Name of the group and of its search.
    services, targets, slots, connection_limit : int
        As declared: targets per service, and slots and connections per target.
    connect_ms : float
        Cost of a new connection.
    zone_distance_ms : float
        Round trip between availability zones.
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
        """Return the queries that the slots bear for one ms of service time."""
        return float(self.targets_per_service * self.slots_per_target)


BALCAO = ServiceGroup("balcao", 10, 3, 2, 25, 6.0, 0.5)
NOTAS = ServiceGroup("notas", 15, 3, 2, 25, 6.0, 0.5)
MECHANIC_DESK = ServiceGroup("mechanic-desk", 10, 3, 5, 40, 6.0, 1.0)
RIDER_PORTAL = ServiceGroup("rider-portal", 15, 3, 5, 40, 6.0, 1.0)
SERVICE_GROUPS = {shape.name: shape for shape in (BALCAO, NOTAS, MECHANIC_DESK, RIDER_PORTAL)}


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """How long a target works on a sub-request.

    Parameters
    ----------
    median_ms, sigma : float
        Of the lognormal distribution.
    straggler_share : float
        Share of the sub-requests that take `straggler_factor` times as long, each by itself.
    sticky_share : float
        Share of the time that a target spends slow, for `sticky_ms` on average, during which
        every sub-request takes `straggler_factor` times as long.
    """

    median_ms: float = 20.0
    sigma: float = 0.3
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    sticky_share: float = 0.0
    sticky_ms: float = 3000.0

    @property
    def mean_ms(self) -> float:
        """Return the mean of the distribution, stragglers included."""
        slow = self.straggler_share * (self.straggler_factor - 1.0)
        return float(self.median_ms * (2.718281828 ** (self.sigma**2 / 2)) * (1.0 + slow))


@dataclass(frozen=True, slots=True)
class QueryStream:
    """Queries of one caller, arriving at random at a rate.

    Parameters
    ----------
    caller : str
        Name of the caller.
    rate_per_s : float
        Mean rate; open loop, so it does not yield to slow answers.
    priority : Priority
        Priority class.
    from_ms, until_ms : float
        When it runs.
    """

    caller: str
    rate_per_s: float
    priority: Priority = Priority.NORMAL
    from_ms: float = 0.0
    until_ms: float = float("inf")


@dataclass(frozen=True, slots=True)
class FreezeTarget:
    """A target accepts and answers nothing."""

    target_id: str
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class CrashTarget:
    """A target loses its connections and its work, and is away until it has restarted."""

    target_id: str
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class PartitionZone:
    """An availability zone is cut off from the others."""

    availability_zone: str
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class CrashInstance:
    """An entry instance is gone; the callers' queries go to the others."""

    number: int
    from_ms: float
    until_ms: float


@dataclass(frozen=True, slots=True)
class AdvanceIndex:
    """Targets take up the next index version, one after the other."""

    from_ms: float
    step_ms: float


Fault = FreezeTarget | CrashTarget | PartitionZone | CrashInstance | AdvanceIndex


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run: what is declared, what is offered, what fails, and the policies.

    Parameters
    ----------
    name : str
        Shown in the table.
    seed : int
        Of every random draw.
    duration_ms : float
        How long queries arrive.
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
    """What became of one query.

    Parameters
    ----------
    asked_at_ms, latency_ms : float
        When it was asked, and how long its outcome took.
    caller : str
        Who asked.
    urgent : bool
        Whether it was urgent.
    asked, answered : int
        Shards; `answered` is 0 for a refusal.
    refusal : str
        Reason; empty for an answer.
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
        """Return whether it is an answer that holds every shard."""
        return not self.refusal and self.answered_count == self.shard_count


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Work at the targets.

    Parameters
    ----------
    first : int
        Sub-requests that callers asked for, one per shard of each admitted query.
    sent, sheds : int
        Attempts sent, and those of them that targets refused without running them.
    """

    first_attempts: int = 0
    attempts: int = 0
    sheds: int = 0

    @property
    def extra_load(self) -> float:
        """Return the attempts that may have run beyond the first per shard, relative to those."""
        return max(0, self.attempts - self.sheds - self.first_attempts) / max(
            1, self.first_attempts
        )

    @property
    def shed_share(self) -> float:
        """Return the refused attempts relative to those that callers asked for."""
        return self.sheds / max(1, self.first_attempts)


@dataclass(frozen=True, slots=True)
class LimitUsage:
    """What the targets counted.

    Parameters
    ----------
    max_in_flight_share : float
        Most requests run at a time, relative to the slots.
    connections_refused : int
        Connections above the limit of a target.
    max_connections_share : float
        Most connections at a time, relative to the limit.
    """

    max_in_flight_share: float = 0.0
    connections_refused: int = 0
    max_connections_share: float = 0.0


@dataclass(frozen=True, slots=True)
class Run:
    """The result of one scenario.

    Parameters
    ----------
    violations : tuple of str
        Answers that broke a promise: mixed snapshots, another caller's part, an untrue coverage
        or an untrue ``not_run``.
    work_by_s : tuple of Work
        Work in each second.
    decide_us : float
        Processor time of the decisions per sub-request sent, in microseconds.
    """

    scenario: Scenario
    results: tuple[QueryResult, ...]
    attempts_by_s: tuple[AttemptCounts, ...]
    limit_usage: LimitUsage
    violations: tuple[str, ...] = ()
    decision_us: float = 0.0
    unfinished_count: int = 0
    counters: tuple[tuple[str, int], ...] = field(default_factory=tuple)
