"""Settings of searches, with policies for hedges and retries and baselines to compare them."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting


@dataclass(frozen=True, slots=True)
class NoHedging:
    """Send no hedges: a second replica gets a sub-request only after the first one failed it."""


@dataclass(frozen=True, slots=True)
class FixedDelayHedging:
    """Send one hedge to a second replica after a fixed delay, without a budget; a baseline.

    Parameters
    ----------
    delay_ms : float
        Time from the first attempt to the hedge; 0 sends both at the same time.
    """

    delay_ms: float


@dataclass(frozen=True, slots=True)
class QuantileHedging:
    """Send a hedge when a reply takes longer than most, within the extra-load budget.

    Parameters
    ----------
    first_delay_ms : float
        Delay while the service has too few latency samples.
    min_samples : int
        Number of latency samples from which on their quantiles determine the delay.
    """

    first_delay_ms: float = 50.0
    min_samples: int = 20


Hedging = NoHedging | FixedDelayHedging | QuantileHedging


@dataclass(frozen=True, slots=True)
class FixedRetries:
    """Retry a failed sub-request up to a fixed number of times, without a budget; a baseline.

    Parameters
    ----------
    count : int
        Largest number of retries per shard.
    """

    count: int


@dataclass(frozen=True, slots=True)
class BudgetedRetries:
    """Retry a failed sub-request within the extra-load budget.

    Parameters
    ----------
    count : int
        Largest number of retries per shard.
    """

    count: int = 2


Retries = FixedRetries | BudgetedRetries


@dataclass(frozen=True, slots=True)
class SearchSettings:
    """Settings of searches.

    Parameters
    ----------
    hedging : Hedging
        Policy for sending a second attempt while the first is in flight.
    retries : Retries
        Policy for sending another attempt after a failure.

    Notes
    -----
    The other fields are described where they are declared.
    """

    answer_margin_ms: float = setting(
        Number(0.0, 10_000.0), "Time before the deadline at which the answer is sent.", 3.0
    )
    early_answer_share: float = setting(
        Number(0.0, 1.0),
        "Share of the time until the deadline after which a search that prefers latency is answered"
        " without its missing shards.",
        0.5,
    )
    extra_load_burst: int = setting(
        Number(0, 100_000, integer=True),
        "Number of extra sub-requests for which the budget of a search may save up.",
        20,
    )
    room_wait_ms: float = setting(
        Number(1.0, 10_000.0),
        "Time between checks for capacity while sub-requests wait for a target.",
        5.0,
    )
    no_snapshot_retry_ms: float = setting(
        Number(0.0, 600_000.0),
        "Time after which callers should resend a search that no target was known to serve.",
        500.0,
    )
    max_restarts: int = setting(
        Number(0, 10, integer=True),
        "Largest number of restarts of a search at other snapshots.",
        1,
    )
    hedging: Hedging = QuantileHedging()
    retries: Retries = BudgetedRetries()
