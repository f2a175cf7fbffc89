"""The token budget that limits hedges, retries and restarts to a share of the ordinary load."""

from dataclasses import dataclass

from savoryarch.utils._replace import fast_init


@fast_init
@dataclass(frozen=True, slots=True)
class Budget:
    """Tokens for extra sub-requests.

    Parameters
    ----------
    tokens : float
        Number of extra sub-requests that may be sent now; one token pays for one.
    """

    tokens: float


def add_tokens(budget: Budget, request_count: int, share: float, burst: float) -> Budget:
    """Return the budget with the tokens that ordinary sub-requests add.

    Parameters
    ----------
    budget : Budget
        Budget before the ordinary sub-requests.
    request_count : int
        Number of ordinary sub-requests that were sent.
    share : float
        Tokens that each ordinary sub-request adds.
    burst : float
        Capacity of the budget; tokens above it are lost.

    Returns
    -------
    budget : Budget
        The new budget.
    """
    return Budget(min(burst, budget.tokens + request_count * share))


def spend_tokens(budget: Budget, request_count: int = 1) -> Budget | None:
    """Return the budget after extra sub-requests, or None if it has too few tokens for them."""
    if budget.tokens < request_count:
        return None
    return Budget(budget.tokens - request_count)
