"""Settings of admission control, and the limit policies that benchmarks compare."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting


@dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Adapt the limit per pool to the latency of its targets and their load shedding."""


@dataclass(frozen=True, slots=True)
class FixedLimit:
    """Limit the sub-requests in flight per pool to a fixed number.

    Parameters
    ----------
    limit : float
        Maximum number of sub-requests in flight.
    """

    limit: float


@dataclass(frozen=True, slots=True)
class NoLimit:
    """Admit every request immediately; the baseline of comparisons."""


LimitPolicy = AdaptiveLimit | FixedLimit | NoLimit


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of admission control.

    Parameters
    ----------
    policy : LimitPolicy
        How the number of sub-requests in flight is limited.
    """

    initial_limit: float = setting(
        Number(1, 100_000), "Limit on the sub-requests in flight per pool at the start.", 20.0
    )
    min_limit: float = setting(
        Number(1, 100_000), "Lower bound of the limit on the sub-requests in flight per pool.", 10.0
    )
    max_limit: float = setting(
        Number(1, 1_000_000),
        "Upper bound of the limit on the sub-requests in flight per pool.",
        4000.0,
    )
    instance_limit: float = setting(
        Number(1, 1_000_000), "Limit on the sub-requests in flight of all pools together.", 20_000.0
    )
    latency_tolerance: float = setting(
        Number(1.01, 100),
        "Median latency, relative to an idle pool, above which the limit shrinks.",
        1.5,
    )
    decrease_factor: float = setting(
        Number(0.1, 0.99), "Factor on the limit when the pool is overloaded.", 0.9
    )
    increase_share: float = setting(
        Number(0.001, 1), "Relative growth of the limit per window without overload.", 0.1
    )
    shed_share: float = setting(
        Number(0, 100), "Share of shed sub-requests above which the pool counts as overloaded.", 0.3
    )
    window: int = setting(
        Number(1, 10_000, integer=True),
        "Number of ended requests after which the limit is adapted.",
        50,
    )
    urgent_headroom: float = setting(
        Number(0, 10), "Share of the limit that urgent requests may use beyond it.", 1.0
    )
    normal_floor: float = setting(
        Number(0, 0.5), "Guaranteed share of normal requests beside urgent ones.", 0.2
    )
    batch_floor: float = setting(
        Number(0, 0.5), "Guaranteed share of batch requests beside all others.", 0.05
    )
    max_wait_share: float = setting(
        Number(0.01, 1),
        "Maximum share of its remaining time that a request waits for admission.",
        0.5,
    )
    max_waiting: int = setting(
        Number(1, 1_000_000, integer=True), "Maximum number of waiting requests.", 20_000
    )
    max_waiting_per_caller: int = setting(
        Number(1, 1_000_000, integer=True),
        "Maximum number of waiting requests of one caller in a pool.",
        2000,
    )
    policy: LimitPolicy = AdaptiveLimit()
