"""Settings of searches and the policies that compare with the plain ways."""

from dataclasses import dataclass

from savoryarch.utils import Number, setting


@dataclass(frozen=True, slots=True)
class NoHedging:
    """Never ask a second replica while the first may still answer."""


@dataclass(frozen=True, slots=True)
class FixedDelayHedging:
    """Ask a second replica after a fixed delay, without a budget; 0 asks both at once.

    Parameters
    ----------
    delay_ms : float
        Time from the first request to the second.
    """

    delay_ms: float


@dataclass(frozen=True, slots=True)
class QuantileHedging:
    """Ask a second replica when a reply is later than most, within the extra-load budget.

    Parameters
    ----------
    first_delay_ms : float
        Delay while the service's latency is not known yet.
    least_samples : int
        Replies after which it is known.
    """

    first_delay_ms: float = 50.0
    least_samples: int = 20


Hedging = NoHedging | FixedDelayHedging | QuantileHedging


@dataclass(frozen=True, slots=True)
class FixedRetries:
    """Retry a failed sub-request up to a fixed number of times, without a budget.

    Parameters
    ----------
    count : int
        Retries per shard.
    """

    count: int


@dataclass(frozen=True, slots=True)
class BudgetedRetries:
    """Retry within the extra-load budget.

    Parameters
    ----------
    count : int
        Retries per shard.
    """

    count: int = 2


Retries = FixedRetries | BudgetedRetries


@dataclass(frozen=True, slots=True)
class SearchSettings:
    """Settings of searches.

    Parameters
    ----------
    hedging : Hedging
        When to ask a second replica.
    retries : Retries
        What to do after a failure.
    """

    answer_margin_ms: float = setting(
        Number(0.0, 10_000.0), "Time kept back from the deadline for answering.", 3.0
    )
    early_answer_share: float = setting(
        Number(0.0, 1.0),
        "Share of the deadline after which a search that prefers latency answers without the rest.",
        0.5,
    )
    extra_load_burst: int = setting(
        Number(0, 100_000, integer=True), "Extra sub-requests that may be saved up.", 20
    )
    room_wait_ms: float = setting(
        Number(1.0, 10_000.0), "Time after which a target is tried again that had no room.", 5.0
    )
    no_snapshot_retry_ms: float = setting(
        Number(0.0, 600_000.0), "When to resend a request that no target was known for.", 500.0
    )
    max_restarts: int = setting(
        Number(0, 10, integer=True), "Restarts of a query at another snapshot.", 1
    )
    hedging: Hedging = QuantileHedging()
    retries: Retries = BudgetedRetries()
