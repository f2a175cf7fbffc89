"""Settings of the quarantine."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Settings of the quarantine."""

    crashes: int = setting(
        Number(1, 100, integer=True),
        "Crashes at one service, minus replies, at which a request is refused.",
        2,
    )
    same_crash_ms: float = setting(
        Number(0, 60_000),
        "Interval within which lost connections to a target count as one crash.",
        200.0,
    )
    suspicion_ms: float = setting(
        Number(0, 86_400_000), "Time for which a request remains a suspect.", 60_000.0
    )
    quarantine_ms: float = setting(
        Number(0, 86_400_000), "Time for which a quarantined request is refused.", 600_000.0
    )
    max_replied: int = setting(
        Number(1, 1_000_000, integer=True),
        "Maximum number of requests remembered for a reply.",
        2000,
    )
    max_records: int = setting(
        Number(1, 1_000_000, integer=True),
        "Maximum number of suspects and quarantined requests.",
        2000,
    )
