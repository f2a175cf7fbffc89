"""Requests of routes; those that are not idempotent run at most once."""

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
