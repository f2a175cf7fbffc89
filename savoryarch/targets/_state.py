"""What this instance knows of each target."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.model import Service, SnapshotId, Target
from savoryarch.targets._latency import LatencyHistogram, RecentLatency
from savoryarch.targets._settings import TargetsSettings


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """What this instance knows of one target.

    Parameters
    ----------
    target : Target
        As declared.
    slots : int
        Requests that the target runs at a time, for all instances together.
    max_connections : int
        This instance's share of the target's connections.
    chart_state : str
        State in the chart ``target``.
    paused_until_at_ms : float
        No new work before this time, because the target shed.
    warm_at_ms : float
        Until this time it gets one request at a time.
    negative_at_ms : float
        Last negative sign.
    heard_at_ms : float
        Last positive sign.
    snapshots : frozenset of SnapshotId
        What it is believed to serve.
    denied : SnapshotId or None
        A snapshot that it last said it does not serve.
    listed : bool
        Whether the last instance list that was read named it.
    """

    target: Target
    slots: int
    max_connections: int
    chart_state: str
    paused_until_ms: float = 0.0
    warm_up_ends_at_ms: float = 0.0
    last_negative_evidence_at_ms: float = float("-inf")
    last_positive_evidence_at_ms: float = float("-inf")
    snapshots: frozenset[SnapshotId] = frozenset()
    unserved_snapshot: SnapshotId | None = None
    listed: bool = False


@dataclass(frozen=True, slots=True)
class TargetUsage:
    """What changes with each attempt at a target; kept small for that.

    Parameters
    ----------
    in_flight : int
        Attempts of this instance that have not ended.
    limit : float
        Attempts that this instance may have in flight, learned from sheds; at most the slots.
    begun_at_ms, replied_at_ms : float
        When the last attempt began, and when one last got a reply; probes lag behind replies.
    recent : RecentLatency
        Of its replies.
    others, others_at_ms : float
        Requests of other instances that the target ran when it shed last, and when that was.
    overdue : int
        Times that its attempts were found overdue since a timely reply.
    overdue_at_ms : float
        The last such time.
    failure_share, failing_at_ms : float
        Share of its attempts that it refused or failed of late, and when it last did.
    """

    in_flight: int = 0
    limit: float = 1.0
    last_started_at_ms: float = float("-inf")
    last_replied_at_ms: float = float("-inf")
    recent_latency: RecentLatency = RecentLatency()
    others_in_flight: float = 0.0
    others_observed_at_ms: float = float("-inf")
    overdue_count: int = 0
    overdue_updated_at_ms: float = float("-inf")
    failure_share: float = 0.0
    last_failed_at_ms: float = float("-inf")


@dataclass(frozen=True, slots=True)
class ServiceRecord:
    """What this instance knows of one service.

    Parameters
    ----------
    target_ids : tuple of str
        Its replicas.
    latency_histogram : LatencyHistogram
        Latencies of its targets together.
    served : Map
        Live targets per snapshot.
    """

    target_ids: tuple[str, ...]
    latency_histogram: LatencyHistogram = LatencyHistogram()
    replica_counts: Map[SnapshotId, int] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class TargetsState:
    """What this instance knows of all targets.

    Parameters
    ----------
    settings : TargetsSettings
        Fixed from start to end.
    records : Map
        `TargetRecord` by target id.
    usages : Map
        `TargetUsage` by target id.
    services : Map
        `ServiceRecord` by service.
    declared_services : Map
        Services as declared, by name.
    snapshots_revision : int
        Ascends when what a service serves changes.
    live_instances : int
        Entry instances that share the targets, this one included.
    max_listed_instances : int
        Entry instances listed at a time, at most. It never falls: instances that are cut off use
        their shares on.
    """

    settings: TargetsSettings
    records: Map[str, TargetRecord] = field(default_factory=Map)
    usages: Map[str, TargetUsage] = field(default_factory=Map)
    services: Map[str, ServiceRecord] = field(default_factory=Map)
    declared_services: Map[str, Service] = field(default_factory=Map)
    snapshots_revision: int = 0
    live_instances: int = 1
    max_listed_instances: int = 1


def make_targets_state(settings: TargetsSettings) -> TargetsState:
    """Make the state of an instance that has no configuration yet."""
    return TargetsState(settings=settings, live_instances=settings.entry_instances)
