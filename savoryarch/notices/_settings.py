"""Settings of the notices section."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting

MS_PER_MINUTE = 60_000.0


@dataclass(frozen=True, slots=True)
class NoticesSettings:
    """Settings of the notices: how long each cause has to hold before a notice is opened."""

    observe_interval_ms: float = setting(
        Number(100, 600_000), "time between two observations of the causes", 5_000.0
    )
    service_down_ms: float = setting(
        Number(0, 86_400_000),
        "how long a service has no live target before operators are asked",
        10 * MS_PER_MINUTE,
    )
    zone_cut_ms: float = setting(
        Number(0, 86_400_000),
        "how long an availability zone is unreachable before operators are asked",
        30 * MS_PER_MINUTE,
    )
    no_connections_ms: float = setting(
        Number(0, 86_400_000),
        "how long a connection limit leaves no connection to this instance before operators are "
        "asked",
        5 * MS_PER_MINUTE,
    )
    quarantine_recurs: int = setting(
        Number(1, 1000, integer=True),
        "how often one request is quarantined within a day before operators are asked",
        3,
    )
