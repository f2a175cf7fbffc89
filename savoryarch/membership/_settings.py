"""Settings of the membership section."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the membership; they have to be equal on every entry instance."""

    probe_interval_ms: float = setting(
        Number(10, 60_000), "Time in ms between two heartbeats of an instance.", 500.0
    )
    probe_timeout_ms: float = setting(
        Number(10, 60_000),
        "Time in ms that a peer has to answer a probe, and again for the indirect probes.",
        500.0,
    )
    indirect_probes: int = setting(
        Number(0, 10, integer=True), "Number of peers that are asked to probe a silent peer.", 3
    )
    suspicion_ms: float = setting(
        Number(10, 600_000),
        "Time in ms that a suspected peer has to refute the suspicion before it counts as dead; "
        "grows with the logarithm of the number of instances.",
        2000.0,
    )
    list_interval_ms: float = setting(
        Number(10, 600_000),
        "Time in ms between two readings of the instance list by an instance, with up to four "
        "instances; with more instances, each reads less often.",
        2000.0,
    )
    pause_ms: float = setting(
        Number(10, 600_000),
        "Delay in ms of a heartbeat from which this instance considers itself to have been paused "
        "and suspects no peer for its silence.",
        1000.0,
    )
    dead_probe_interval_ms: float = setting(
        Number(10, 600_000), "Time in ms between two probes of dead peers.", 5000.0
    )
    forget_ms: float = setting(
        Number(1000, 86_400_000), "Time in ms that a dead peer is retained.", 600_000.0
    )
    zone_unreachable_ms: float = setting(
        Number(0, 600_000),
        "Time in ms without a live peer in an availability zone until the zone counts as "
        "unreachable.",
        10_000.0,
    )
    repair_interval_ms: float = setting(
        Number(100, 600_000),
        "Time in ms without a change of the live peers after which an instance compares its view "
        "with peers whose view differs; also the minimum time between two comparisons.",
        5000.0,
    )
    piggyback_bytes: int = setting(
        Number(0, 65_536, integer=True), "Bytes of membership updates in one heartbeat.", 700
    )
