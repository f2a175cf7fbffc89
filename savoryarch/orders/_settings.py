"""Settings of orders."""

from dataclasses import dataclass

from savoryarch.utils import Number, Switch, setting


@dataclass(frozen=True, slots=True)
class OrdersSettings:
    """Settings of orders; `buckets` must be the same at every instance."""

    buckets: int = setting(
        Number(1, 4096, whole=True),
        "Values in the store that hold the claims; change it only while no orders are taken.",
        32,
    )
    bucket_bytes: int = setting(
        Number(4096, 1_000_000, whole=True),
        "Size at which a bucket drops its oldest claims.",
        900_000,
    )
    writes_per_s: float = setting(
        Number(1.0, 10_000.0), "Writes of claims on the store, by all instances together.", 180.0
    )
    recorded_body_bytes: int = setting(
        Number(0, 500_000, whole=True),
        "Largest body of an outcome that is recorded for resends.",
        16_384,
    )
    retention_ms: float = setting(
        Number(1000.0, 1e10), "Time for which outcomes are kept while there is room.", 86_400_000.0
    )
    minimum_retention_ms: float = setting(
        Number(0.0, 1e10),
        "Time for which outcomes are kept in any case; without room, new orders are refused.",
        20_000.0,
    )
    clock_skew_ms: float = setting(
        Number(0.0, 3_600_000.0), "How far the clocks of callers and instances may differ.", 5000.0
    )
    outcome_delay_ms: float = setting(
        Number(0.0, 60_000.0), "Time for which an outcome waits for claims to share a write.", 100.0
    )
    failures_before_refusal: int = setting(
        Number(1, 100, whole=True), "Failed calls after which waiting claims are refused.", 2
    )
    back_off_ms: float = setting(
        Number(1.0, 60_000.0), "First pause after a failed call on the store; it doubles.", 50.0
    )
    back_off_limit_ms: float = setting(
        Number(1.0, 600_000.0), "Longest pause after a failed call on the store.", 1000.0
    )
    held_poll_ms: float = setting(
        Number(1.0, 60_000.0), "Time between looks for the outcome of another request.", 50.0
    )
    attempts: int = setting(
        Number(1, 100, whole=True), "Attempts of one order, all but the last known not run.", 4
    )
    target_wait_ms: float = setting(
        Number(1.0, 60_000.0), "First wait for a target that has room; it doubles four times.", 10.0
    )
    max_orders: int = setting(
        Number(1, 1_000_000, whole=True), "Orders that one instance handles at a time.", 20_000
    )
    relays_claims: bool = setting(
        Switch(), "Whether the claims of a bucket are written by the instance that owns it.", True
    )
    relay_timeout_ms: float = setting(
        Number(1.0, 60_000.0), "Time after which an owner that is silent is passed over.", 600.0
    )
    relay_batch_ms: float = setting(
        Number(0.0, 1000.0), "Time in which messages to one peer share a frame.", 2.0
    )
