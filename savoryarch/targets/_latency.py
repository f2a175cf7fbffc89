"""Latency estimates of constant size that weigh recent samples more."""

import math
from dataclasses import dataclass

from savoryarch.utils import fast_init

_FIRST_BUCKET_MS = 0.1
_BUCKET_RATIO = 1.1
_BUCKETS = 120
# All counts are halved when their sum reaches this number, so that older samples weigh less.
_WINDOW_SAMPLES = 512
_QUANTILE_INTERVAL = 8  # samples between computations of the quantiles
_LOG_RATIO = math.log(_BUCKET_RATIO)

MEDIAN_SHARE = 0.5
# Hedges of the slowest 4.8% leave part of the usual extra-load budget of 5% for retries.
TAIL_SHARE = 0.952


@fast_init
@dataclass(frozen=True, slots=True)
class LatencyHistogram:
    """Recent latencies in buckets whose bounds form a geometric series.

    Parameters
    ----------
    counts : tuple of int
        Number of samples per bucket; halved whenever the window is full.
    total_count : int
        Sum of `counts`.
    sample_count : int
        Number of samples added since the start.
    median_ms, tail_ms : float
        Quantiles as last computed; 0 before the first sample.
    """

    counts: tuple[int, ...] = (0,) * _BUCKETS
    total_count: int = 0
    sample_count: int = 0
    median_ms: float = 0.0
    tail_ms: float = 0.0


def add_latency(
    histogram: LatencyHistogram, sample_ms: float, *, censored: bool = False
) -> LatencyHistogram:
    """Add a sample to a histogram.

    Parameters
    ----------
    histogram : LatencyHistogram
        Histogram without the sample.
    sample_ms : float
        A latency; if `censored`, a lower bound of one.
    censored : bool
        Whether the attempt ended without a reply. A lower bound below the tail is ignored, since
        the latency may have been below or above the tail.

    Returns
    -------
    histogram : LatencyHistogram
        Histogram with the sample.
    """
    if censored and sample_ms < histogram.tail_ms:
        return histogram
    bucket = _bucket_of(sample_ms)
    counts = (
        *histogram.counts[:bucket],
        histogram.counts[bucket] + 1,
        *histogram.counts[bucket + 1 :],
    )
    total_count, sample_count = histogram.total_count + 1, histogram.sample_count + 1
    if total_count >= _WINDOW_SAMPLES:
        counts = tuple(count // 2 for count in counts)
        total_count = sum(counts)
    median_ms, tail_ms = histogram.median_ms, histogram.tail_ms
    if sample_count <= _QUANTILE_INTERVAL or sample_count % _QUANTILE_INTERVAL == 0:
        median_ms = _quantile_ms(counts, total_count, MEDIAN_SHARE)
        tail_ms = _quantile_ms(counts, total_count, TAIL_SHARE)
    return LatencyHistogram(counts, total_count, sample_count, median_ms, tail_ms)


def _bucket_of(sample_ms: float) -> int:
    """Return the number of the bucket that counts a sample; the last one is unbounded."""
    if sample_ms <= _FIRST_BUCKET_MS:
        return 0
    return min(_BUCKETS - 1, 1 + int(math.log(sample_ms / _FIRST_BUCKET_MS) / _LOG_RATIO))


def _quantile_ms(counts: tuple[int, ...], total_count: int, share: float) -> float:
    """Return a quantile, interpolated within its bucket on the logarithmic scale."""
    remaining_above = total_count * (1.0 - share)
    for bucket in range(_BUCKETS - 1, -1, -1):
        count = counts[bucket]
        if count > remaining_above:
            upper_ms: float = _FIRST_BUCKET_MS * _BUCKET_RATIO**bucket
            return upper_ms * math.exp(-_LOG_RATIO * remaining_above / count)
        remaining_above -= count
    return _FIRST_BUCKET_MS


@fast_init
@dataclass(frozen=True, slots=True)
class RecentLatency:
    """A moving mean of a target's latency.

    Parameters
    ----------
    mean_ms : float
        The mean; 0 before the first sample.
    updated_at_ms : float
        When it last changed.
    """

    mean_ms: float = 0.0
    updated_at_ms: float = 0.0


_RECENT_WEIGHT = 0.3  # weight of a new sample in the moving mean


def add_to_recent(
    recent: RecentLatency, sample_ms: float, now_ms: float, *, censored: bool = False
) -> RecentLatency:
    """Return the mean after a sample; a censored sample, a lower bound, can only raise it."""
    if censored and sample_ms <= recent.mean_ms:
        return recent
    if recent.mean_ms == 0.0:
        return RecentLatency(sample_ms, now_ms)
    mean_ms = recent.mean_ms + _RECENT_WEIGHT * (sample_ms - recent.mean_ms)
    return RecentLatency(mean_ms, now_ms)


def expected_latency_ms(
    recent: RecentLatency, median_ms: float, half_life_ms: float, now_ms: float
) -> float:
    """Return the latency to expect of a target.

    What exceeds the median decays by its half-life, so that a slow target is tried again.

    Parameters
    ----------
    recent : RecentLatency
        Moving mean of the target's latency.
    median_ms : float
        Median latency of the service.
    half_life_ms : float
        Half-life of the excess over the median.
    now_ms : float
        Current time.
    """
    excess_ms = recent.mean_ms - median_ms
    if recent.mean_ms == 0.0 or excess_ms <= 0.0:
        return median_ms
    age_ms = max(0.0, now_ms - recent.updated_at_ms)
    return median_ms + excess_ms * 0.5 ** (age_ms / half_life_ms)
