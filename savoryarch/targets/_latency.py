"""Latency estimates that stay small and follow changes."""

import math
from dataclasses import dataclass

_FIRST_BUCKET_MS = 0.1
_BUCKET_RATIO = 1.1
_BUCKETS = 120
_WINDOW = 512  # samples after which the older ones count half
_REFRESH = 8  # samples between computations of the quantiles
_LOG_RATIO = math.log(_BUCKET_RATIO)

MEDIAN_SHARE = 0.5
TAIL_SHARE = 0.952  # leaves a little of the usual budget of 5% for retries


@dataclass(frozen=True, slots=True)
class LatencyHistogram:
    """Latencies of the recent past in buckets of equal ratio.

    Parameters
    ----------
    counts : tuple of int
        Samples per bucket.
    in_window : int
        Sum of `counts`.
    samples : int
        Samples seen since the start.
    median_ms, tail_ms : float
        Quantiles of the last computation; 0 before the first sample.
    """

    counts: tuple[int, ...] = (0,) * _BUCKETS
    in_window: int = 0
    sample_count: int = 0
    median_ms: float = 0.0
    tail_ms: float = 0.0


def add_latency(
    histogram: LatencyHistogram, sample_ms: float, *, censored: bool = False
) -> LatencyHistogram:
    """Add a sample.

    Parameters
    ----------
    histogram : LatencyHistogram
        The samples so far.
    sample_ms : float
        A latency; or a lower bound of one, if `censored`.
    censored : bool
        Whether the reply was not waited for. A bound below the tail says nothing.
    """
    if censored and sample_ms < histogram.tail_ms:
        return histogram
    bucket = _bucket_of(sample_ms)
    counts = (
        *histogram.counts[:bucket],
        histogram.counts[bucket] + 1,
        *histogram.counts[bucket + 1 :],
    )
    in_window, samples = histogram.in_window + 1, histogram.sample_count + 1
    if in_window >= _WINDOW:
        counts = tuple(count // 2 for count in counts)
        in_window = sum(counts)
    median_ms, tail_ms = histogram.median_ms, histogram.tail_ms
    if samples <= _REFRESH or samples % _REFRESH == 0:
        median_ms = _quantile_ms(counts, in_window, MEDIAN_SHARE)
        tail_ms = _quantile_ms(counts, in_window, TAIL_SHARE)
    return LatencyHistogram(counts, in_window, samples, median_ms, tail_ms)


def _bucket_of(sample_ms: float) -> int:
    if sample_ms <= _FIRST_BUCKET_MS:
        return 0
    return min(_BUCKETS - 1, 1 + int(math.log(sample_ms / _FIRST_BUCKET_MS) / _LOG_RATIO))


def _quantile_ms(counts: tuple[int, ...], in_window: int, share: float) -> float:
    """Return the quantile, interpolated within its bucket."""
    above = in_window * (1.0 - share)
    for bucket in range(_BUCKETS - 1, -1, -1):
        count = counts[bucket]
        if count > above:
            upper_ms: float = _FIRST_BUCKET_MS * _BUCKET_RATIO**bucket
            return upper_ms * math.exp(-_LOG_RATIO * above / count)
        above -= count
    return _FIRST_BUCKET_MS


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
