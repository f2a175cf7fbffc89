"""Latency estimates that cost a few numbers each."""

import math
from dataclasses import dataclass

_MIN_STEP = 0.03
_MIN_LATENCY_MS = 0.01


@dataclass(frozen=True, slots=True)
class Quantile:
    """A running quantile that follows changes; see `add_to_quantile`.

    Parameters
    ----------
    share : float
        Which quantile, 0 to 1.
    value_ms : float
        The estimate; 0 before the first sample.
    samples : int
        How many samples it has seen.
    """

    share: float
    value_ms: float = 0.0
    samples: int = 0


def add_to_quantile(quantile: Quantile, sample_ms: float, *, censored: bool = False) -> Quantile:
    """Move the estimate by a step in the logarithm of the latency.

    Parameters
    ----------
    quantile : Quantile
        The estimate so far.
    sample_ms : float
        A latency; or a lower bound of one, if `censored`.
    censored : bool
        Whether the reply was not waited for. A bound below the estimate says nothing.
    """
    sample_ms = max(sample_ms, _MIN_LATENCY_MS)
    if censored and sample_ms < quantile.value_ms:
        return quantile
    if quantile.samples == 0:
        return Quantile(quantile.share, sample_ms, 1)
    step = max(_MIN_STEP, 1.0 / (1 + quantile.samples))
    above = sample_ms > quantile.value_ms
    move = quantile.share if above else quantile.share - 1.0
    value_ms = quantile.value_ms * math.exp(step * move)
    return Quantile(quantile.share, value_ms, quantile.samples + 1)


@dataclass(frozen=True, slots=True)
class RecentLatency:
    """A moving mean of a target's latency, and when it last changed."""

    mean_ms: float = 0.0
    updated_at_ms: float = 0.0


_RECENT_WEIGHT = 0.3


def add_to_recent(
    recent: RecentLatency, sample_ms: float, now_ms: float, *, censored: bool = False
) -> RecentLatency:
    """Move the mean towards a sample; a censored sample can only raise it."""
    if censored and sample_ms <= recent.mean_ms:
        return recent
    if recent.mean_ms == 0.0:
        return RecentLatency(sample_ms, now_ms)
    mean_ms = recent.mean_ms + _RECENT_WEIGHT * (sample_ms - recent.mean_ms)
    return RecentLatency(mean_ms, now_ms)


def expected_latency_ms(
    recent: RecentLatency, usual_ms: float, half_life_ms: float, now_ms: float
) -> float:
    """Return the latency to expect; a slow target is forgiven with time so that it is retried."""
    excess_ms = recent.mean_ms - usual_ms
    if recent.mean_ms == 0.0 or excess_ms <= 0.0:
        return usual_ms
    age_ms = max(0.0, now_ms - recent.updated_at_ms)
    return usual_ms + excess_ms * 0.5 ** (age_ms / half_life_ms)
