"""Settings of the targets and the policies that choose between them."""

from dataclasses import dataclass

from savoryarch.utils import NAME, Number, setting


@dataclass(frozen=True, slots=True)
class LeastExpectedLatency:
    """Choose the target whose reply is expected first; steers away from slow targets."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Choose the target that was used least recently; the baseline."""


ChoicePolicy = LeastExpectedLatency | RoundRobin


@dataclass(frozen=True, slots=True)
class TargetsSettings:
    """Settings of the targets.

    Parameters
    ----------
    availability_zone : str
        Availability zone of this instance.
    instance_id : str
        Used to spread the first choices of the instances over different targets.
    choice : ChoicePolicy
        How to choose between the targets of a service.
    """

    availability_zone: str = setting(NAME, "Availability zone of this instance.")
    instance_id: str = setting(NAME, "Id of this instance.", "entry")
    entry_instances: int = setting(
        Number(1, 10_000, integer=True), "Entry instances that share each target.", 4
    )
    surge_instances: int = setting(
        Number(0, 100, integer=True), "Entry instances started ahead of those they replace.", 1
    )
    ready_connections: int = setting(
        Number(0, 1000, integer=True), "Idle connections kept open to each target.", 2
    )
    probe_interval_ms: float = setting(
        Number(100.0, 600_000.0), "Time between probes of a target that gets no work.", 5000.0
    )
    probe_retry_ms: float = setting(
        Number(10.0, 60_000.0), "Time between probes of a target that is lost or in doubt.", 500.0
    )
    health_lag_ms: float = setting(
        Number(0.0, 600_000.0), "How far health endpoints and instance lists may lag.", 5000.0
    )
    warm_up_ms: float = setting(
        Number(0.0, 600_000.0), "Time in which a fresh target gets one request at a time.", 2000.0
    )
    slow_half_life_ms: float = setting(
        Number(10.0, 600_000.0), "Time after which a slow target is half forgiven.", 1000.0
    )
    failing_half_life_ms: float = setting(
        Number(10.0, 600_000.0), "Time after which failures of a target are half forgotten.", 4000.0
    )
    trial_interval_ms: float = setting(
        Number(10.0, 600_000.0), "Time between trials of a slow target.", 500.0
    )
    zone_distance_ms: float = setting(
        Number(0.0, 1000.0), "Round trip to another availability zone, beyond the own.", 1.0
    )
    shed_pause_ms: float = setting(
        Number(0.0, 60_000.0), "Pause after a shed that names no time.", 20.0
    )
    choice: ChoicePolicy = LeastExpectedLatency()
