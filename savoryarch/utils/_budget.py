"""The extra-load budget that hedges, retries and restarts share."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Budget:
    """Extra sub-requests that may be sent now.

    Parameters
    ----------
    tokens : float
        One per extra sub-request.
    """

    tokens: float


def add_tokens(budget: Budget, request_count: int, share: float, burst: float) -> Budget:
    """Add the extra load that ordinary sub-requests allow.

    Parameters
    ----------
    budget : Budget
        Before.
    requests : int
        Ordinary sub-requests that were sent.
    share : float
        Extra sub-requests allowed per ordinary one.
    burst : float
        What may be saved up at most.
    """
    return Budget(min(burst, budget.tokens + request_count * share))


def spend_tokens(budget: Budget, request_count: int = 1) -> Budget | None:
    """Take tokens for extra sub-requests; None if there are too few."""
    if budget.tokens < request_count:
        return None
    return Budget(budget.tokens - request_count)
