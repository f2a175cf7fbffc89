"""Figures out of runs."""

from collections.abc import Callable, Iterable

import numpy as np
from hdrh.histogram import HdrHistogram

from savoryarch_bench._model import AttemptCounts, QueryResult, Run, ServiceGroup, ServiceTime
from savoryarch_bench._targets import sample_service_times_ms
from savoryarch_bench._transport import SAME_ZONE_ROUND_TRIP_MS

MS_PER_S = 1000.0
_MAX_LATENCY_US = 60_000_000
_ORACLE_SAMPLES = 100_000
_ORACLE_REPLICAS = 2


def make_histogram(answers: Iterable[QueryResult]) -> HdrHistogram:
    """Return the latencies of the answers (not of the refusals), in microseconds."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for answer in answers:
        if not answer.refusal:
            histogram.record_value(max(1, int(answer.latency_ms * MS_PER_S)))
    return histogram


def quantile_ms(answers: Iterable[QueryResult], share: float) -> float:
    """Return a quantile of the answers' latency; not a number if there are none."""
    histogram = make_histogram(answers)
    if histogram.get_total_count() == 0:
        return float("nan")
    return float(histogram.get_value_at_percentile(share * 100.0)) / MS_PER_S


def coverage_of(answers: Iterable[QueryResult]) -> float:
    """Return the shards answered relative to those asked; a refusal answers none."""
    answers = tuple(answers)
    asked = sum(answer.shard_count for answer in answers)
    return sum(answer.answered_count for answer in answers) / asked if asked else float("nan")


def results_between(run: Run, from_ms: float, until_ms: float) -> tuple[QueryResult, ...]:
    """Return the queries that were asked in a span of time."""
    return tuple(answer for answer in run.results if from_ms <= answer.sent_at_ms < until_ms)


def attempts_between(run: Run, from_ms: float, until_ms: float) -> AttemptCounts:
    """Return the work of whole seconds."""
    seconds = run.attempts_by_s[int(from_ms / MS_PER_S) : int(until_ms / MS_PER_S)]
    return AttemptCounts(
        sum(work.first_attempts for work in seconds),
        sum(work.attempts for work in seconds),
        sum(work.sheds for work in seconds),
    )


def total_attempts(run: Run) -> AttemptCounts:
    """Return the work of the whole run."""
    return attempts_between(run, 0.0, len(run.attempts_by_s) * MS_PER_S)


def goodput_per_s(run: Run, from_ms: float, until_ms: float) -> float:
    """Return the whole answers per second, of the queries asked in a span of time."""
    useful = sum(answer.is_complete for answer in results_between(run, from_ms, until_ms))
    return useful * MS_PER_S / (until_ms - from_ms)


def recovery_time_ms(
    run: Run, from_ms: float, until_ms: float, bound_ms: float, window_ms: float = 500.0
) -> float:
    """Return the time from `from_ms` to the end of the last window whose p99 is at the bound."""
    last_ms, start_ms = from_ms, from_ms
    while start_ms < until_ms:
        end_ms = min(start_ms + window_ms, until_ms)
        window = results_between(run, start_ms, end_ms)
        refused = any(answer.refusal for answer in window)
        if refused or quantile_ms(window, 0.99) >= bound_ms:
            last_ms = end_ms
        start_ms = end_ms
    return last_ms - from_ms


def oracle_p99_ms(shape: ServiceGroup, spec: ServiceTime, seed: int) -> float:
    """Return the p99 of an oracle that always gets the faster of two idle replicas."""
    rng = np.random.default_rng(seed)
    size = (_ORACLE_SAMPLES, shape.service_count, _ORACLE_REPLICAS)
    draws = sample_service_times_ms(spec, rng, size)
    return float(np.quantile(draws.min(axis=2).max(axis=1), 0.99) + SAME_ZONE_ROUND_TRIP_MS)


def hedging_delay_ms(spec: ServiceTime, extra_share: float, seed: int) -> float:
    """Return the hedging delay that a share of the sub-requests passes."""
    rng = np.random.default_rng(seed)
    draws = sample_service_times_ms(spec, rng, (_ORACLE_SAMPLES,))
    return float(np.quantile(draws, 1.0 - extra_share))


def median_of(runs: Iterable[Run], metric: Callable[[Run], float]) -> float:
    """Return the median of a figure over runs."""
    return float(np.median([metric(run) for run in runs]))
