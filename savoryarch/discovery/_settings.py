"""Settings of the discovery."""

from dataclasses import dataclass

from savoryarch.utils import Number, Switch, Text, setting

PREFIX = Text(r"[a-z0-9-]+/", "instances/")


@dataclass(frozen=True, slots=True)
class DiscoverySettings:
    """Settings of the discovery of targets, instances and the forwarding table in the store."""

    enabled: bool = setting(Switch(), "Whether targets are discovered in the store.", False)
    poll_interval_ms: float = setting(
        Number(10.0, 60_000.0), "Time between two looks for changes in the store.", 400.0
    )
    poll_most_ms: float = setting(
        Number(10.0, 60_000.0),
        "Longest time between two looks, however many instances share them.",
        2000.0,
    )
    retry_least_ms: float = setting(
        Number(1.0, 60_000.0), "Delay after the first failed call; doubles with each.", 100.0
    )
    retry_most_ms: float = setting(Number(1.0, 600_000.0), "Longest delay after a failure.", 800.0)
    lapse_grace_ms: float = setting(
        Number(0.0, 600_000.0),
        "Time after the store's return in which entries that lapsed meanwhile may come back.",
        2300.0,
    )
    instances_prefix: str = setting(
        PREFIX, "Prefix under which entry instances register.", "savoryarch-instances/"
    )
    lease_ms: float = setting(
        Number(1000.0, 600_000.0), "Lease of this instance's registration.", 10_000.0
    )
