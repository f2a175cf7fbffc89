"""State of the targets, as far as this instance knows it."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.model import Service, SnapshotId, Target
from savoryarch.targets._latency import LatencyHistogram, RecentLatency
from savoryarch.targets._settings import TargetsSettings
from savoryarch.utils import fast_init


@fast_init
@dataclass(frozen=True, slots=True)
class TargetRecord:
    """What this instance knows of one target, except its own use of it.

    Parameters
    ----------
    target : Target
        The target as declared.
    slots : int
        Number of requests that the target runs at a time, for all instances together.
    max_connections : int
        This instance's share of the target's connections.
    chart_state : str
        State in the chart ``target``.
    paused_until_ms : float
        The target gets no new attempts until then, because it shed one.
    held_until_ms : float
        The target gets no requests and no probes until then, because it asked for that.
    warm_up_ends_at_ms : float
        Until then, it gets one attempt of this instance at a time.
    last_negative_evidence_at_ms : float
        When it was last found draining or lost.
    last_positive_evidence_at_ms : float
        When it was last found live.
    snapshots : frozenset of SnapshotId
        The snapshots that it serves, by its last reply or probe.
    unserved_snapshot : SnapshotId or None
        A snapshot that it does not serve, by its last reply that denied one. Probes lag, so that
        they may still list it.
    listed : bool
        Whether the last instance list named it.
    """

    target: Target
    slots: int
    max_connections: int
    chart_state: str
    paused_until_ms: float = 0.0
    held_until_ms: float = 0.0
    warm_up_ends_at_ms: float = 0.0
    last_negative_evidence_at_ms: float = float("-inf")
    last_positive_evidence_at_ms: float = float("-inf")
    snapshots: frozenset[SnapshotId] = frozenset()
    unserved_snapshot: SnapshotId | None = None
    listed: bool = False


@fast_init
@dataclass(frozen=True, slots=True)
class TargetUsage:
    """The use of one target by this instance.

    It is copied with each attempt, and is separate from `TargetRecord` to keep the copies small.

    Parameters
    ----------
    in_flight : int
        Number of attempts of this instance that have not ended.
    limit : float
        Number of attempts that this instance may have in flight. It adapts to sheds and replies
        and is at most the number of slots.
    last_started_at_ms : float
        When the last attempt started.
    last_replied_at_ms : float
        When the target last replied to an attempt. Replies are newer evidence than probes.
    latency_mean : RecentLatency
        Moving mean of its latencies.
    others_in_flight : float
        Number of requests of other instances that the target had when it last shed or reported.
    others_observed_at_ms : float
        When it last shed or reported the number of its requests.
    overdue_count : int
        Number of times that its attempts were overdue since its last timely reply.
    overdue_updated_at_ms : float
        When an attempt was last found overdue, or when the target last replied while it was slow.
        The penalty for slowness decays from this time, and the interval of trials starts at it.
    failure_share : float
        Moving share of its attempts that it refused or failed.
    last_failed_at_ms : float
        When it last refused or failed an attempt; the share decays from then on.
    """

    in_flight: int = 0
    limit: float = 1.0
    last_started_at_ms: float = float("-inf")
    last_replied_at_ms: float = float("-inf")
    latency_mean: RecentLatency = RecentLatency()
    others_in_flight: float = 0.0
    others_observed_at_ms: float = float("-inf")
    overdue_count: int = 0
    overdue_updated_at_ms: float = float("-inf")
    failure_share: float = 0.0
    last_failed_at_ms: float = float("-inf")


@fast_init
@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """What this instance knows of one service.

    Parameters
    ----------
    target_ids : tuple of str
        Ids of its targets, in declared order.
    latency_histogram : LatencyHistogram
        Latencies of all its targets together.
    replica_counts : Map
        Number of live or suspected targets that serve a snapshot, by `SnapshotId`.
    """

    target_ids: tuple[str, ...]
    latency_histogram: LatencyHistogram = LatencyHistogram()
    replica_counts: Map[SnapshotId, int] = field(default_factory=Map)


@fast_init
@dataclass(frozen=True, slots=True)
class TargetsState:
    """What this instance knows of all targets.

    Parameters
    ----------
    settings : TargetsSettings
        Fixed while the process runs.
    records : Map
        `TargetRecord` by target id.
    usages : Map
        `TargetUsage` by target id.
    services : Map
        `ServiceRecord` by service.
    declared_services : Map
        Services as declared, by name.
    leaving : Map
        Time at which a target was first known to leave, by target id. Such a target gets nothing
        more, also if it is declared again.
    snapshots_revision : int
        Ascends when the declarations or the snapshots of a target change; results that depend on
        them are reused while it is unchanged.
    live_instances : int
        Number of entry instances that share the targets, this one included.
    max_listed_instances : int
        The largest number of entry instances that a list has named at a time. It never falls,
        because partitioned instances that a list omits keep using their shares.
    """

    settings: TargetsSettings
    records: Map[str, TargetRecord] = field(default_factory=Map)
    usages: Map[str, TargetUsage] = field(default_factory=Map)
    services: Map[str, ServiceRecord] = field(default_factory=Map)
    declared_services: Map[str, Service] = field(default_factory=Map)
    leaving: Map[str, float] = field(default_factory=Map)
    snapshots_revision: int = 0
    live_instances: int = 1
    max_listed_instances: int = 1


def make_targets_state(settings: TargetsSettings) -> TargetsState:
    """Return the initial state of an instance, without declarations."""
    return TargetsState(settings=settings, live_instances=settings.entry_instances)
