"""The limit on the work in flight of one pool, and how it adapts."""

from dataclasses import dataclass, replace

from savoryarch.admission._settings import AdaptiveLimit, AdmissionSettings, FixedLimit, NoLimit

_IDLE_SHARE = 0.5
_IDLE_GAIN = 0.05
_LATENCY_GAIN = 0.05
_INITIAL_REQUESTS = 2
_PROBE_FACTOR = 2.0


@dataclass(frozen=True, slots=True)
class Limit:
    """Additive increase, multiplicative decrease, by the median latency and the sheds.

    Parameters
    ----------
    value : float
        Sub-requests that may be in flight.
    idle_ms : float
        Latency while little is in flight; 0 before anything is known.
    latency_ms : float
        Latency of late.
    ended, slow : int
        Requests of this window, and those of them above the tolerated latency.
    asked, sheds : float
        Sub-requests of this window, and those of them that were shed.
    was_full : bool
        Whether the limit held anything back in this window.
    is_probing : bool
        Whether no overload was met yet, so that the limit doubles instead of growing slowly.
    """

    value: float
    idle_ms: float = 0.0
    latency_ms: float = 0.0
    ended: int = 0
    slow: int = 0
    asked: float = 0.0
    sheds: float = 0.0
    was_full: bool = False
    is_probing: bool = True


@dataclass(frozen=True, slots=True)
class Sample:
    """What one request that ended tells.

    Parameters
    ----------
    latency_ms : float
        From its admission to its end.
    cost : float
        Sub-requests that it made.
    sheds : int
        How many of them were shed.
    was_full : bool
        Whether it took the last of the limit, or had to wait for it.
    is_idle : bool
        Whether so little was in flight that its latency is that of an idle pool.
    """

    latency_ms: float
    cost: float
    sheds: int
    was_full: bool
    is_idle: bool


def make_limit(settings: AdmissionSettings, cost: float) -> Limit:
    """Make the limit of a new pool, whose requests make about `cost` sub-requests each."""
    match settings.policy:
        case AdaptiveLimit():
            initial = max(settings.initial_limit, _INITIAL_REQUESTS * cost, settings.min_limit)
            return Limit(min(initial, settings.max_limit))
        case FixedLimit(limit=limit):
            return Limit(limit)
        case NoLimit():
            return Limit(float("inf"))


def learn(limit: Limit, sample: Sample, settings: AdmissionSettings) -> Limit:
    """Take in a request that ended, and adapt the limit at the end of each window."""
    limit = _learn_latency(limit, sample)
    tolerated_ms = settings.latency_tolerance * limit.idle_ms
    limit = replace(
        limit,
        ended=limit.ended + 1,
        slow=limit.slow + (sample.latency_ms > tolerated_ms),
        asked=limit.asked + sample.cost,
        sheds=limit.sheds + sample.sheds,
        was_full=limit.was_full or sample.was_full,
    )
    if limit.ended < settings.window:
        return limit
    match settings.policy:
        case AdaptiveLimit():
            limit = _adapt(limit, settings)
        case FixedLimit() | NoLimit():
            pass
    return replace(limit, ended=0, slow=0, asked=0.0, sheds=0.0, was_full=False)


def is_idle(limit: Limit, in_flight: float, settings: AdmissionSettings) -> bool:
    """Return whether latency says what the pool's targets need when nothing queues at them.

    At the least limit this counts as so whatever the load, or a pool that has become slower for
    good would never be believed.
    """
    return in_flight <= _IDLE_SHARE * limit.value or limit.value <= settings.min_limit


def rate_per_ms(limit: Limit) -> float:
    """Return the sub-requests that a full pool ends per millisecond (Little's law)."""
    return limit.value / limit.latency_ms if limit.latency_ms > 0 else float("inf")


def _learn_latency(limit: Limit, sample: Sample) -> Limit:
    if limit.latency_ms == 0.0:
        return replace(limit, idle_ms=sample.latency_ms, latency_ms=sample.latency_ms)
    latency_ms = limit.latency_ms + _LATENCY_GAIN * (sample.latency_ms - limit.latency_ms)
    idle_ms = limit.idle_ms
    if sample.is_idle:
        # Steps of constant size follow the median, which stragglers don't move.
        step_ms = _IDLE_GAIN * idle_ms
        idle_ms += step_ms if sample.latency_ms > idle_ms else -step_ms
    # A pool at work is never faster than an idle one, whatever the first samples said.
    idle_ms = min(idle_ms, latency_ms)
    return replace(limit, idle_ms=idle_ms, latency_ms=latency_ms)


def _adapt(limit: Limit, settings: AdmissionSettings) -> Limit:
    overloaded = 2 * limit.slow > limit.ended or limit.sheds > settings.shed_share * limit.asked
    if overloaded:
        value = max(settings.min_limit, limit.value * settings.decrease_factor)
        return replace(limit, value=value, is_probing=False)
    if not limit.was_full:
        return limit
    factor = _PROBE_FACTOR if limit.is_probing else 1.0 + settings.increase_share
    return replace(limit, value=min(settings.max_limit, limit.value * factor))
