"""Settings of the targets, and the policies that choose between the targets of a service."""

from dataclasses import dataclass

from savoryarch.utils import NAME, Number, setting


@dataclass(frozen=True, slots=True)
class LeastExpectedLatency:
    """Choose the target whose reply is expected first, which avoids slow and failing targets."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Choose the target that was used least recently; a baseline for comparison."""


ChoicePolicy = LeastExpectedLatency | RoundRobin


@dataclass(frozen=True, slots=True)
class TargetsSettings:
    """Settings of the targets.

    Parameters
    ----------
    availability_zone : str
        Availability zone of this instance.
    instance_id : str
        Id of this instance.
    entry_instances, surge_instances : int
        Entry instances that run at a time, and those that an update starts in addition. All of
        them share the connections of each target.
    choice : ChoicePolicy
        Policy that chooses between the targets of a service.

    Notes
    -----
    The other fields are described where they are declared.
    """

    availability_zone: str = setting(NAME, "Availability zone of this instance.")
    instance_id: str = setting(NAME, "Id of this instance.", "entry")
    entry_instances: int = setting(
        Number(1, 10_000, integer=True), "Number of entry instances that share each target.", 4
    )
    surge_instances: int = setting(
        Number(0, 100, integer=True),
        "Number of entry instances that an update starts before it stops those they replace.",
        1,
    )
    ready_connections: int = setting(
        Number(0, 1000, integer=True), "Number of idle connections kept open to each target.", 2
    )
    probe_interval_ms: float = setting(
        Number(100.0, 600_000.0),
        "Time between probes of a live or draining target that sends no replies.",
        5000.0,
    )
    probe_retry_ms: float = setting(
        Number(10.0, 60_000.0),
        "Time between probes of a target that is lost, suspected or not yet known to be live.",
        500.0,
    )
    health_lag_ms: float = setting(
        Number(0.0, 600_000.0), "Largest lag of health endpoints and instance lists.", 5000.0
    )
    warm_up_ms: float = setting(
        Number(0.0, 600_000.0),
        "Time for which a target that returns gets one request at a time from each instance.",
        2000.0,
    )
    slow_half_life_ms: float = setting(
        Number(10.0, 600_000.0), "Half-life of the observed slowness of a target.", 1000.0
    )
    failing_half_life_ms: float = setting(
        Number(10.0, 600_000.0), "Half-life of the observed failures of a target.", 4000.0
    )
    trial_interval_ms: float = setting(
        Number(10.0, 600_000.0), "Time between trials of a slow target.", 500.0
    )
    zone_distance_ms: float = setting(
        Number(0.0, 1000.0), "Additional round-trip time to another availability zone.", 1.0
    )
    shed_pause_ms: float = setting(
        Number(0.0, 60_000.0),
        "Pause of a target that sheds a request without a time for a retry.",
        20.0,
    )
    choice: ChoicePolicy = LeastExpectedLatency()
