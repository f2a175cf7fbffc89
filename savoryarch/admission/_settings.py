"""Settings of admission and the policies that compare with the plain way."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting


@dataclass(frozen=True, slots=True)
class AdaptiveLimit:
    """Limit the work in flight per pool by what its targets were seen to bear."""


@dataclass(frozen=True, slots=True)
class FixedLimit:
    """Limit the work in flight per pool to a fixed number of sub-requests.

    Parameters
    ----------
    limit : float
        Sub-requests in flight.
    """

    limit: float


@dataclass(frozen=True, slots=True)
class NoLimit:
    """Admit everything at once; the baseline."""


LimitPolicy = AdaptiveLimit | FixedLimit | NoLimit


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of admission.

    Parameters
    ----------
    policy : LimitPolicy
        How much work may be in flight.
    """

    initial_limit: float = setting(
        Number(1, 100_000), "Sub-requests in flight per pool before anything is learned.", 20.0
    )
    min_limit: float = setting(
        Number(1, 100_000), "Sub-requests in flight per pool that are always allowed.", 10.0
    )
    max_limit: float = setting(
        Number(1, 1_000_000), "Sub-requests in flight per pool that are never exceeded.", 4000.0
    )
    instance_limit: float = setting(
        Number(1, 1_000_000), "Sub-requests in flight of all pools together.", 20_000.0
    )
    latency_tolerance: float = setting(
        Number(1.01, 100), "Median latency, relative to an idle pool, that holds the limit.", 1.5
    )
    decrease_factor: float = setting(
        Number(0.1, 0.99), "Factor on the limit when the pool is overloaded.", 0.9
    )
    increase_share: float = setting(
        Number(0.001, 1), "Growth of the limit per window without overload.", 0.1
    )
    shed_share: float = setting(
        Number(0, 100), "Share of shed sub-requests that counts as overload.", 0.3
    )
    window: int = setting(
        Number(1, 10_000, whole=True), "Requests after which the limit is adapted.", 50
    )
    urgent_headroom: float = setting(
        Number(0, 10), "Share of the limit that urgent requests may use on top of it.", 1.0
    )
    normal_floor: float = setting(
        Number(0, 0.5), "Share of the work that normal requests get beside urgent ones.", 0.2
    )
    batch_floor: float = setting(
        Number(0, 0.5), "Share of the work that batch requests get beside the others.", 0.05
    )
    max_wait_share: float = setting(
        Number(0.01, 1), "Share of the time left that a request may wait for admission.", 0.5
    )
    max_waiting: int = setting(
        Number(1, 1_000_000, whole=True), "Requests that may wait in all.", 20_000
    )
    max_waiting_per_caller: int = setting(
        Number(1, 1_000_000, whole=True), "Requests of one caller that may wait in a pool.", 2000
    )
    policy: LimitPolicy = AdaptiveLimit()
