"""Searches: fan-out over all shards at one snapshot, with coverage, hedges and retries."""

from savoryarch.search._decide import decide_search
from savoryarch.search._settings import (
    BudgetedRetries,
    FixedDelayHedging,
    FixedRetries,
    Hedging,
    NoHedging,
    QuantileHedging,
    Retries,
    SearchSettings,
)
from savoryarch.search._state import SearchState, make_search_state, unfinished_requests

__all__ = [
    "BudgetedRetries",
    "FixedDelayHedging",
    "FixedRetries",
    "Hedging",
    "NoHedging",
    "QuantileHedging",
    "Retries",
    "SearchSettings",
    "SearchState",
    "decide_search",
    "make_search_state",
    "unfinished_requests",
]
