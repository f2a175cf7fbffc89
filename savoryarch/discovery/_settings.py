"""Settings of discovery."""

from dataclasses import dataclass

from savoryarch.utils import Boolean, Number, Text, setting

PREFIX = Text(r"[a-z0-9-]+/", "instances/")


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Settings of the discovery of targets, instances and the forwarding table in the store."""

    enabled: bool = setting(Boolean(), "Whether targets are discovered in the store.", False)
    poll_interval_ms: float = setting(
        Number(10.0, 60_000.0), "Mean interval between polls of the store for changes.", 400.0
    )
    poll_most_ms: float = setting(
        Number(10.0, 60_000.0),
        "Maximum of the mean interval, which grows with the number of instances.",
        2000.0,
    )
    retry_least_ms: float = setting(
        Number(1.0, 60_000.0),
        "Delay after the first failed call; it doubles with each further one.",
        100.0,
    )
    retry_most_ms: float = setting(
        Number(1.0, 600_000.0), "Maximum delay after a failed call.", 800.0
    )
    lapse_grace_ms: float = setting(
        Number(0.0, 600_000.0),
        "Grace period after an outage of the store, within which lapsed entries may return.",
        2300.0,
    )
    lapse_outage_ms: float = setting(
        Number(0.0, 600_000.0),
        "Shortest outage of the store in which entries lapse: the interval at which targets renew"
        " them. After a shorter one, a missing entry has been removed.",
        0.0,
    )
    instances_prefix: str = setting(
        PREFIX, "Prefix under which entry instances register.", "savoryarch-instances/"
    )
    lease_ms: float = setting(
        Number(1000.0, 600_000.0),
        "Duration of the lease of this instance's registration.",
        10_000.0,
    )
