"""The budget of extra attempts, which are hedges and retries; it limits load amplification.

A service's budget has two sources: ``extra_ratio`` tokens for each request, and a fixed
allowance of ``extra_requests`` tokens per ``extra_window_ms`` that all entry instances share.
"""

from savoryarch.forwarding._context import DecisionContext
from savoryarch.forwarding._state import ForwardingState, ServiceBudget
from savoryarch.utils import Budget, add_tokens, replace, spend_tokens

MIN_CAPACITY = 1.0  # one token pays for one extra attempt, so a smaller budget would allow none
# Share of the fixed allowance that can be saved up. The other half is refilled within a window, so
# that a window never exceeds the allowance.
_SAVED_SHARE = 0.5
_RATIO_MARGIN = 0.9  # requests are distributed unevenly over windows and instances


def refill_budget(
    state: ForwardingState, service: str, instances: int, now_ms: float
) -> ServiceBudget:
    """Return the budget of a service, refilled up to now and for one more request.

    The first budget of a service is empty and is refilled from the time of the first forwarding
    table. What this instance sent before a restart may belong to the same window, and a full
    budget would exceed the allowance of that window.

    Parameters
    ----------
    state : ForwardingState
        Holds the settings and the budget before the request.
    service : str
        The service that receives the request.
    instances : int
        Entry instances that share the fixed allowance. Partitioned instances count: they may
        still send requests to the service.
    now_ms : float
        Time of the request.

    Returns
    -------
    budget : ServiceBudget
        The refilled budget, not yet put into the state.
    """
    settings = state.settings
    capacity = _SAVED_SHARE * settings.extra_requests / instances
    previous = state.budgets.get(service) or ServiceBudget(Budget(0.0), state.first_table_at_ms)
    refill = (now_ms - previous.refilled_at_ms) / settings.extra_window_ms * capacity
    budget = Budget(previous.budget.tokens + refill)
    refilled = add_tokens(
        budget, 1, settings.extra_ratio * _RATIO_MARGIN, max(MIN_CAPACITY, capacity)
    )
    return ServiceBudget(refilled, now_ms)


def spend_extra(context: DecisionContext, service: str) -> DecisionContext | None:
    """Spend the token of one extra attempt for a service; None if the budget has none left."""
    service_budget = context.state.budgets.get(service)
    remaining = spend_tokens(service_budget.budget) if service_budget else None
    if service_budget is None or remaining is None:
        return None
    return _put_budget(context, service, replace(service_budget, budget=remaining))


def refund_extra(context: DecisionContext, service: str) -> DecisionContext:
    """Return the token of an extra attempt that never reached a target."""
    service_budget = context.state.budgets.get(service)
    if service_budget is None:
        return context
    return _put_budget(
        context,
        service,
        replace(service_budget, budget=Budget(service_budget.budget.tokens + 1.0)),
    )


def _put_budget(context: DecisionContext, service: str, budget: ServiceBudget) -> DecisionContext:
    """Put the budget of a service into the state."""
    budgets = context.state.budgets.set(service, budget)
    return replace(context, state=replace(context.state, budgets=budgets))
