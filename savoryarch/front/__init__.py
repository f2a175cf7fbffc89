"""HTTP server for clients whose requests are forwarded to targets."""

from savoryarch.front._connection import ClientAnswer, ClientConnection, ClientDialect
from savoryarch.front._front import Front
from savoryarch.front._parser import ParsedRequest, RequestParser, UnusableRequest
from savoryarch.front._readiness import MetricsPage, ReadinessPage

__all__ = [
    "ClientAnswer",
    "ClientConnection",
    "ClientDialect",
    "Front",
    "MetricsPage",
    "ParsedRequest",
    "ReadinessPage",
    "RequestParser",
    "UnusableRequest",
]
