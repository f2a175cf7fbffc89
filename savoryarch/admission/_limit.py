"""The adaptive limit on the sub-requests in flight of one pool."""

from dataclasses import dataclass

from savoryarch.admission._settings import AdaptiveLimit, AdmissionSettings, FixedLimit, NoLimit
from savoryarch.utils import replace

_IDLE_SHARE = 0.5  # share of the limit up to which a pool counts as idle
_IDLE_GAIN = 0.05  # relative step of the idle latency per sample
_LATENCY_GAIN = 0.05  # weight of a sample in the mean latency
_INITIAL_REQUESTS = 2  # requests that the limit of a new pool admits at least
_SLOW_START_FACTOR = 2.0  # growth of the limit per window before the first overload


@dataclass(frozen=True, slots=True)
class Limit:
    """The limit of a pool, adapted to the median latency and to the sub-requests that are shed.

    Parameters
    ----------
    value : float
        Maximum number of sub-requests in flight.
    idle_latency_ms : float
        Median latency of the idle pool; 0 before the first sample.
    latency_ms : float
        Moving average of the latency; 0 before the first sample.
    ended, slow : int
        Requests that ended in this window, and those of them above the tolerated latency.
    sub_requests, sheds : float
        Sub-requests of these requests, and those of them that were shed.
    limit_reached : bool
        Whether a request of this window reached the limit. An unused limit does not grow.
    in_slow_start : bool
        Whether the pool has never been overloaded, so that the limit doubles per window.
    """

    value: float
    idle_latency_ms: float = 0.0
    latency_ms: float = 0.0
    ended: int = 0
    slow: int = 0
    sub_requests: float = 0.0
    sheds: float = 0.0
    limit_reached: bool = False
    in_slow_start: bool = True


@dataclass(frozen=True, slots=True)
class Sample:
    """Measurements of one request that has ended.

    Parameters
    ----------
    latency_ms : float
        From its admission to its end.
    cost : float
        Number of its sub-requests.
    sheds : int
        Number of these that were shed.
    limit_reached : bool
        Whether it was queued, or the requests in flight reached the limit with it.
    is_idle : bool
        Whether its latency is that of an idle pool.
    """

    latency_ms: float
    cost: float
    sheds: int
    limit_reached: bool
    is_idle: bool


def make_limit(settings: AdmissionSettings, cost: float) -> Limit:
    """Return the limit of a new pool whose requests send about `cost` sub-requests each."""
    match settings.policy:
        case AdaptiveLimit():
            initial = max(settings.initial_limit, _INITIAL_REQUESTS * cost, settings.min_limit)
            return Limit(min(initial, settings.max_limit))
        case FixedLimit(limit=limit):
            return Limit(limit)
        case NoLimit():
            return Limit(float("inf"))


def update_limit(limit: Limit, sample: Sample, settings: AdmissionSettings) -> Limit:
    """Add a sample to the current window, and adapt the limit at the end of the window."""
    limit = _update_latency(limit, sample)
    tolerated_ms = settings.latency_tolerance * limit.idle_latency_ms
    limit = replace(
        limit,
        ended=limit.ended + 1,
        slow=limit.slow + (sample.latency_ms > tolerated_ms),
        sub_requests=limit.sub_requests + sample.cost,
        sheds=limit.sheds + sample.sheds,
        limit_reached=limit.limit_reached or sample.limit_reached,
    )
    if limit.ended < settings.window:
        return limit
    match settings.policy:
        case AdaptiveLimit():
            limit = _adapt(limit, settings)
        case FixedLimit() | NoLimit():
            pass
    return replace(limit, ended=0, slow=0, sub_requests=0.0, sheds=0.0, limit_reached=False)


def is_idle(limit: Limit, in_flight: float, settings: AdmissionSettings) -> bool:
    """Return whether the latency of a pool is that of targets without a queue.

    A pool at its minimum limit always counts as idle. Otherwise a permanent rise of its latency
    would never update the idle latency, and the limit would stay at its minimum.
    """
    return in_flight <= _IDLE_SHARE * limit.value or limit.value <= settings.min_limit


def completions_per_ms(limit: Limit) -> float:
    """Return the sub-requests per ms that a pool at its limit completes (Little's law)."""
    return limit.value / limit.latency_ms if limit.latency_ms > 0 else float("inf")


def _update_latency(limit: Limit, sample: Sample) -> Limit:
    """Update the mean latency, and that of the idle pool if the sample is from an idle pool."""
    if limit.latency_ms == 0.0:
        return replace(limit, idle_latency_ms=sample.latency_ms, latency_ms=sample.latency_ms)
    latency_ms = limit.latency_ms + _LATENCY_GAIN * (sample.latency_ms - limit.latency_ms)
    idle_latency_ms = limit.idle_latency_ms
    if sample.is_idle:
        # Steps of constant size track the median, which stragglers do not distort.
        step_ms = _IDLE_GAIN * idle_latency_ms
        idle_latency_ms += step_ms if sample.latency_ms > idle_latency_ms else -step_ms
    # A loaded pool is never faster than an idle one, but the first samples may be too high.
    idle_latency_ms = min(idle_latency_ms, latency_ms)
    return replace(limit, idle_latency_ms=idle_latency_ms, latency_ms=latency_ms)


def _adapt(limit: Limit, settings: AdmissionSettings) -> Limit:
    """Shrink an overloaded pool's limit by a factor; grow a limit that was reached."""
    overloaded = (
        2 * limit.slow > limit.ended or limit.sheds > settings.shed_share * limit.sub_requests
    )
    if overloaded:
        value = max(settings.min_limit, limit.value * settings.decrease_factor)
        return replace(limit, value=value, in_slow_start=False)
    if not limit.limit_reached:
        return limit
    factor = _SLOW_START_FACTOR if limit.in_slow_start else 1.0 + settings.increase_share
    return replace(limit, value=min(settings.max_limit, limit.value * factor))
