"""Settings of the configuration component."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting


@dataclass(frozen=True, slots=True)
class ConfigurationSettings:
    """Section ``configuration``: committing, following and disseminating the configuration."""

    watchers: int = setting(
        Number(1, 16, integer=True), "instances that watch the store at a time", 2
    )
    watch_wait_ms: float = setting(
        Number(100, 60_000), "how long one watch call waits for a change", 2_000.0
    )
    retry_interval_ms: float = setting(
        Number(10, 60_000),
        "time until a call is repeated after the store gave no usable reply",
        500.0,
    )
    takeover_ms: float = setting(
        Number(500, 600_000),
        "time without a reply from the store to any instance until the others poll it in turn",
        10_000.0,
    )
    announce_interval_ms: float = setting(
        Number(50, 60_000), "time between announcements, each to one random gossip peer", 500.0
    )
    partners: int = setting(
        Number(1, 1000, integer=True),
        "gossip peers, to which an instance announces its version",
        16,
    )
    spread_peers: int = setting(
        Number(1, 64, integer=True), "gossip peers that a new generation is pushed to", 5
    )
    acknowledgements: int = setting(
        Number(0, 16, integer=True), "peers that must hold a change before it is accepted", 1
    )
    acknowledge_timeout_ms: float = setting(
        Number(10, 60_000), "how long to wait for acknowledgements of those peers", 300.0
    )
    change_timeout_ms: float = setting(
        Number(100, 60_000), "time until an operator's change gets an outcome", 4_000.0
    )
    change_queue_limit: int = setting(
        Number(1, 10_000, integer=True),
        "changes that an instance queues before it refuses further ones",
        64,
    )
