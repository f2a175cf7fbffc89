"""Histograms of durations that are aggregated in the process."""

from bisect import bisect_left

Attributes = tuple[tuple[str, str], ...]


class LatencyHistogram:
    """Counts of durations by bucket.

    Parameters
    ----------
    bounds_ms : tuple of float
        Upper bounds of the buckets in milliseconds, ascending; a duration equal to a bound is in
        its bucket. The last bucket has no bound.

    Attributes
    ----------
    counts : list of int
        Number of durations in each bucket.
    sum_ms, min_ms, max_ms : float
        Sum, least and greatest of the durations.
    """

    def __init__(self, bounds_ms: tuple[float, ...]) -> None:
        self.bounds_ms = bounds_ms
        self.counts = [0] * (len(bounds_ms) + 1)
        self.sum_ms = 0.0
        self.min_ms = float("inf")
        self.max_ms = float("-inf")

    def record(self, value_ms: float) -> None:
        """Add a duration."""
        self.counts[bisect_left(self.bounds_ms, value_ms)] += 1
        self.sum_ms += value_ms
        if value_ms < self.min_ms:
            self.min_ms = value_ms
        if value_ms > self.max_ms:
            self.max_ms = value_ms
