"""Computes latency quantiles, coverage, extra load, goodput and recovery times of runs."""

from collections.abc import Callable, Iterable

import numpy as np
from hdrh.histogram import HdrHistogram

from savoryarch_bench._model import AttemptCounts, QueryResult, Run, ServiceGroup, ServiceTime
from savoryarch_bench._targets import sample_service_times_ms
from savoryarch_bench._transport import SAME_ZONE_ROUND_TRIP_MS

MS_PER_S = 1000.0
US_PER_MS = 1000.0
_MAX_LATENCY_US = 60_000_000
_ORACLE_SAMPLES = 100_000
_ORACLE_REPLICAS = 2


def make_histogram(results: Iterable[QueryResult]) -> HdrHistogram:
    """Return the histogram of latencies in microseconds, without those of refusals."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for result in results:
        if not result.refusal:
            histogram.record_value(max(1, int(result.latency_ms * US_PER_MS)))
    return histogram


def quantile_ms(results: Iterable[QueryResult], share: float) -> float:
    """Return a quantile of the latency without refusals in ms; NaN if there is no answer."""
    histogram = make_histogram(results)
    if histogram.get_total_count() == 0:
        return float("nan")
    return float(histogram.get_value_at_percentile(share * 100.0)) / US_PER_MS


def coverage_of(results: Iterable[QueryResult]) -> float:
    """Return the answered share of the requested shards; a refused query answers none."""
    results = tuple(results)
    shard_count = sum(result.shard_count for result in results)
    return (
        sum(result.answered_count for result in results) / shard_count
        if shard_count
        else float("nan")
    )


def results_between(run: Run, from_ms: float, until_ms: float) -> tuple[QueryResult, ...]:
    """Return the results of the queries that were sent in ``[from_ms, until_ms)``."""
    return tuple(result for result in run.results if from_ms <= result.sent_at_ms < until_ms)


def attempts_between(run: Run, from_ms: float, until_ms: float) -> AttemptCounts:
    """Return the attempts of the seconds from `from_ms` to `until_ms`, both rounded down."""
    seconds = run.attempts_by_s[int(from_ms / MS_PER_S) : int(until_ms / MS_PER_S)]
    return AttemptCounts(
        sum(counts.first_attempts for counts in seconds),
        sum(counts.attempts for counts in seconds),
        sum(counts.sheds for counts in seconds),
    )


def total_attempts(run: Run) -> AttemptCounts:
    """Return the attempts of the complete run."""
    return attempts_between(run, 0.0, len(run.attempts_by_s) * MS_PER_S)


def goodput_per_s(run: Run, from_ms: float, until_ms: float) -> float:
    """Return the complete answers per second, of the queries sent in a span of time."""
    complete_count = sum(result.is_complete for result in results_between(run, from_ms, until_ms))
    return complete_count * MS_PER_S / (until_ms - from_ms)


def recovery_time_ms(
    run: Run, from_ms: float, until_ms: float, bound_ms: float, window_ms: float = 500.0
) -> float:
    """Return the time from `from_ms` to the end of the last slow window, in ms.

    A window is slow if a query in it was refused or its p99 is at or above `bound_ms`.
    """
    recovered_at_ms, start_ms = from_ms, from_ms
    while start_ms < until_ms:
        end_ms = min(start_ms + window_ms, until_ms)
        window = results_between(run, start_ms, end_ms)
        has_refusals = any(result.refusal for result in window)
        if has_refusals or quantile_ms(window, 0.99) >= bound_ms:
            recovered_at_ms = end_ms
        start_ms = end_ms
    return recovered_at_ms - from_ms


def oracle_p99_ms(group: ServiceGroup, spec: ServiceTime, seed: int) -> float:
    """Return the p99 in ms of an oracle that always takes the faster of two idle replicas."""
    rng = np.random.default_rng(seed)
    size = (_ORACLE_SAMPLES, group.service_count, _ORACLE_REPLICAS)
    samples_ms = sample_service_times_ms(spec, rng, size)
    return float(np.quantile(samples_ms.min(axis=2).max(axis=1), 0.99) + SAME_ZONE_ROUND_TRIP_MS)


def hedging_delay_ms(spec: ServiceTime, extra_share: float, seed: int) -> float:
    """Return the delay in ms that a share of the sub-requests exceeds, and so is hedged."""
    rng = np.random.default_rng(seed)
    samples_ms = sample_service_times_ms(spec, rng, (_ORACLE_SAMPLES,))
    return float(np.quantile(samples_ms, 1.0 - extra_share))


def median_of(runs: Iterable[Run], metric: Callable[[Run], float]) -> float:
    """Return the median of a metric over runs."""
    return float(np.median([metric(run) for run in runs]))
