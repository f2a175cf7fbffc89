"""Settings of orders."""

from dataclasses import dataclass

from savoryarch.utils import Boolean, Number, setting


@dataclass(frozen=True, slots=True)
class OrdersSettings:
    """Settings of orders.

    `buckets` must be equal at all instances, since it determines the bucket that holds a key.
    """

    buckets: int = setting(
        Number(1, 4096, integer=True),
        "Number of store values that hold the claims; change it only while no orders are accepted.",
        32,
    )
    bucket_bytes: int = setting(
        Number(4096, 1_000_000, integer=True),
        "Largest size of a bucket; near it, the oldest claims are dropped.",
        900_000,
    )
    writes_per_s: float = setting(
        Number(1.0, 10_000.0),
        "Maximum rate of writes of claims to the store, over all instances.",
        180.0,
    )
    recorded_body_bytes: int = setting(
        Number(0, 500_000, integer=True),
        "Largest response body that is recorded for resends.",
        16_384,
    )
    retention_ms: float = setting(
        Number(1000.0, 1e10),
        "Time for which outcomes are retained while buckets have capacity.",
        86_400_000.0,
    )
    minimum_retention_ms: float = setting(
        Number(0.0, 1e10),
        "Time for which outcomes are always retained; full buckets refuse new orders.",
        20_000.0,
    )
    clock_skew_ms: float = setting(
        Number(0.0, 3_600_000.0),
        "Largest difference between the clocks of callers and instances.",
        5000.0,
    )
    outcome_delay_ms: float = setting(
        Number(0.0, 60_000.0),
        "Time for which an outcome waits to share a write with claims.",
        100.0,
    )
    failures_before_refusal: int = setting(
        Number(1, 100, integer=True),
        "Failed store calls in a row after which pending claims are refused.",
        2,
    )
    back_off_ms: float = setting(
        Number(1.0, 60_000.0),
        "First pause after a failed store call; it doubles with each failure.",
        50.0,
    )
    back_off_limit_ms: float = setting(
        Number(1.0, 600_000.0), "Longest pause after a failed store call.", 1000.0
    )
    held_poll_ms: float = setting(
        Number(1.0, 60_000.0),
        "Interval at which the outcome of another request with the same key is polled.",
        50.0,
    )
    attempts: int = setting(
        Number(1, 100, integer=True),
        "Maximum attempts of one order; retried only if idempotent or known not to have run.",
        4,
    )
    target_wait_ms: float = setting(
        Number(1.0, 60_000.0),
        "First wait for a target with capacity; it doubles up to four times.",
        10.0,
    )
    max_orders: int = setting(
        Number(1, 1_000_000, integer=True),
        "Maximum number of orders that one instance handles at a time.",
        20_000,
    )
    relays_claims: bool = setting(
        Boolean(), "Whether the instance that owns a bucket writes its claims.", True
    )
    relay_timeout_ms: float = setting(
        Number(1.0, 60_000.0),
        "Time after which an instance that does not confirm a claim or an outcome is bypassed.",
        600.0,
    )
    relay_batch_ms: float = setting(
        Number(0.0, 1000.0), "Interval within which messages to one peer share a frame.", 2.0
    )
