"""HTTP server for clients whose requests are forwarded to targets."""

from savoryarch.front._byte_sender import ByteSender
from savoryarch.front._client_memory import ClientMemory, make_client_memory
from savoryarch.front._connection import ClientConnection
from savoryarch.front._connection_owner import ClientAnswer, ClientDialect
from savoryarch.front._front import Front
from savoryarch.front._parser import ParsedRequest, RequestParser, UnusableRequest
from savoryarch.front._readiness import MetricsPage, ReadinessPage

__all__ = [
    "ByteSender",
    "ClientAnswer",
    "ClientConnection",
    "ClientDialect",
    "ClientMemory",
    "Front",
    "MetricsPage",
    "ParsedRequest",
    "ReadinessPage",
    "RequestParser",
    "UnusableRequest",
    "make_client_memory",
]
