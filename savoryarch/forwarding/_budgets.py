"""The extra requests that each service may get from this instance."""

from savoryarch.forwarding._state import ForwardingState, ServiceBudget
from savoryarch.forwarding._turn import Turn
from savoryarch.utils import Budget, earn, replace, spend

MIN_SAVED = 1.0  # so that what several requests earn adds up to a whole extra request
_SAVED_SHARE = 0.5  # of the fixed allowance; the other half comes back within a window
_RATIO_MARGIN = 0.9  # requests are not spread evenly over windows and instances


def earn_extra(
    state: ForwardingState, service: str, instances: int, now_ms: float
) -> ServiceBudget:
    """Return the budget of a service after time has passed and one more request has come.

    The first budget of a service counts from the first table: what this instance sent before a
    restart may lie in the same window.

    Parameters
    ----------
    state : ForwardingState
        Holds the budget as it was.
    service : str
        The service.
    instances : int
        Entry instances that share the fixed allowance, those that are cut off included.
    now_ms : float
        Current time.
    """
    settings = state.settings
    most = _SAVED_SHARE * settings.extra_requests / instances
    old = state.budgets.get(service) or ServiceBudget(Budget(0.0), state.begun_at_ms)
    refilled = (now_ms - old.at_ms) / settings.extra_window_ms * most
    budget = Budget(old.budget.tokens + refilled)
    earned = earn(budget, 1, settings.extra_ratio * _RATIO_MARGIN, max(MIN_SAVED, most))
    return ServiceBudget(earned, now_ms)


def pay_extra(turn: Turn, service: str) -> Turn | None:
    """Take one extra request from the budget of a service; None if it is spent."""
    held = turn.state.budgets.get(service)
    left = spend(held.budget) if held else None
    if held is None or left is None:
        return None
    return _put(turn, service, replace(held, budget=left))


def refund_extra(turn: Turn, service: str) -> Turn:
    """Give one extra request back, because it never reached a target."""
    held = turn.state.budgets.get(service)
    if held is None:
        return turn
    return _put(turn, service, replace(held, budget=Budget(held.budget.tokens + 1.0)))


def _put(turn: Turn, service: str, budget: ServiceBudget) -> Turn:
    budgets = turn.state.budgets.set(service, budget)
    return replace(turn, state=replace(turn.state, budgets=budgets))
