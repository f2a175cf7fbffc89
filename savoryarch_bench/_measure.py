"""Figures out of runs."""

from collections.abc import Callable, Iterable

import numpy as np
from hdrh.histogram import HdrHistogram

from savoryarch_bench._model import Answer, Run, ServiceTime, Shape, Work
from savoryarch_bench._targets import draw_service_ms
from savoryarch_bench._transport import LOCAL_MS

MS_PER_S = 1000.0
_MAX_LATENCY_US = 60_000_000
_ORACLE_QUERIES = 100_000
_ORACLE_REPLICAS = 2


def histogram_of(answers: Iterable[Answer]) -> HdrHistogram:
    """Return the latencies of the answers (not of the refusals), in microseconds."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, 3)
    for answer in answers:
        if not answer.refusal:
            histogram.record_value(max(1, int(answer.latency_ms * MS_PER_S)))
    return histogram


def quantile_ms(answers: Iterable[Answer], share: float) -> float:
    """Return a quantile of the answers' latency; not a number if there are none."""
    histogram = histogram_of(answers)
    if histogram.get_total_count() == 0:
        return float("nan")
    return float(histogram.get_value_at_percentile(share * 100.0)) / MS_PER_S


def coverage_of(answers: Iterable[Answer]) -> float:
    """Return the shards answered relative to those asked; a refusal answers none."""
    answers = tuple(answers)
    asked = sum(answer.asked for answer in answers)
    return sum(answer.answered for answer in answers) / asked if asked else float("nan")


def between(run: Run, from_ms: float, until_ms: float) -> tuple[Answer, ...]:
    """Return the queries that were asked in a span of time."""
    return tuple(answer for answer in run.answers if from_ms <= answer.asked_at_ms < until_ms)


def work_between(run: Run, from_ms: float, until_ms: float) -> Work:
    """Return the work of whole seconds."""
    seconds = run.work_by_s[int(from_ms / MS_PER_S) : int(until_ms / MS_PER_S)]
    return Work(
        sum(work.first for work in seconds),
        sum(work.sent for work in seconds),
        sum(work.sheds for work in seconds),
    )


def all_work(run: Run) -> Work:
    """Return the work of the whole run."""
    return work_between(run, 0.0, len(run.work_by_s) * MS_PER_S)


def useful_per_s(run: Run, from_ms: float, until_ms: float) -> float:
    """Return the whole answers per second, of the queries asked in a span of time."""
    useful = sum(answer.is_useful for answer in between(run, from_ms, until_ms))
    return useful * MS_PER_S / (until_ms - from_ms)


def time_until_calm_ms(
    run: Run, from_ms: float, until_ms: float, bound_ms: float, window_ms: float = 500.0
) -> float:
    """Return the time from `from_ms` to the end of the last window whose p99 is at the bound."""
    last_ms, start_ms = from_ms, from_ms
    while start_ms < until_ms:
        end_ms = min(start_ms + window_ms, until_ms)
        window = between(run, start_ms, end_ms)
        refused = any(answer.refusal for answer in window)
        if refused or quantile_ms(window, 0.99) >= bound_ms:
            last_ms = end_ms
        start_ms = end_ms
    return last_ms - from_ms


def oracle_p99_ms(shape: Shape, spec: ServiceTime, seed: int) -> float:
    """Return the p99 of an oracle that always gets the faster of two idle replicas."""
    rng = np.random.default_rng(seed)
    size = (_ORACLE_QUERIES, shape.services, _ORACLE_REPLICAS)
    draws = draw_service_ms(spec, rng, size)
    return float(np.quantile(draws.min(axis=2).max(axis=1), 0.99) + LOCAL_MS)


def delay_for_extra_ms(spec: ServiceTime, extra_share: float, seed: int) -> float:
    """Return the hedging delay that a share of the sub-requests passes."""
    rng = np.random.default_rng(seed)
    draws = draw_service_ms(spec, rng, (_ORACLE_QUERIES,))
    return float(np.quantile(draws, 1.0 - extra_share))


def median_of(runs: Iterable[Run], figure: Callable[[Run], float]) -> float:
    """Return the median of a figure over runs."""
    return float(np.median([figure(run) for run in runs]))
