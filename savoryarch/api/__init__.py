"""Operators' API over HTTP: resources, status, notices and metrics."""

from savoryarch.api._access import AccessPolicy, Role, Token, find_role, hash_token, make_token
from savoryarch.api._app import make_operator_app
from savoryarch.api._bridge import OperatorBridge, OperatorState
from savoryarch.api._tls import make_tls_options

__all__ = [
    "AccessPolicy",
    "OperatorBridge",
    "OperatorState",
    "Role",
    "Token",
    "find_role",
    "hash_token",
    "make_operator_app",
    "make_tls_options",
    "make_token",
]
