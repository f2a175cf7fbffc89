"""Decisions on requests of routes, which run at most once unless the route is idempotent.

An instance claims the idempotency key of a request in the store before it sends the request, and
records the outcome under the claim. A resend finds the claim at any instance and gets the recorded
outcome.
"""

from savoryarch.orders._decide import decide_orders, unfinished_requests
from savoryarch.orders._key import KeyFound, KeyNotFound, extract_created_at_ms, extract_key
from savoryarch.orders._settings import OrdersSettings
from savoryarch.orders._state import OrdersState, make_orders_state

__all__ = [
    "KeyFound",
    "KeyNotFound",
    "OrdersSettings",
    "OrdersState",
    "extract_created_at_ms",
    "decide_orders",
    "extract_key",
    "make_orders_state",
    "unfinished_requests",
]
