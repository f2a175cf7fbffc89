"""What the connections of clients need of the front: dialect, limits and calls."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from savoryarch.front._client_memory import ClientMemory
from savoryarch.front._parser import ParsedRequest, UnusableRequest
from savoryarch.model.forwarding import (
    ForwardedRequest,
    ForwardOutcome,
    FrontLimits,
    HeaderFields,
)


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """The answer to one request, without the headers that the connection adds."""

    status: int
    headers: HeaderFields
    body: bytes


@dataclass(frozen=True, slots=True)
class ClientDialect:
    """Decodes clients' requests and encodes the answers to them.

    Parameters
    ----------
    decode_request : callable
        Returns the request with the time in milliseconds that the client waits for the answer
        (None if it states none), or an `UnusableRequest`.
    encode_answer : callable
        Returns the `ClientAnswer` for an outcome.
    """

    decode_request: Callable[
        [ParsedRequest], "tuple[ForwardedRequest, float | None] | UnusableRequest"
    ]
    encode_answer: Callable[[ForwardOutcome], ClientAnswer]


class ConnectionOwner(Protocol):
    """Functions of the `Front` that its connections use."""

    reactor: Any
    dialect: ClientDialect
    memory: ClientMemory

    def limits(self) -> FrontLimits:
        """Return the limits and timeouts that are in force."""

    def is_closing(self) -> bool:
        """Return whether each connection closes after its next answer."""

    def submit(
        self,
        request: ForwardedRequest,
        remaining_ms: float | None,
        answer: Callable[[ForwardOutcome], None],
    ) -> str:
        """Forward a request, call `answer` with its outcome, and return its id."""

    def abandon(self, request_id: str) -> None:
        """Abandon a request whose client has disconnected; its outcome is discarded."""

    def count_refusal(self, reason: str) -> None:
        """Count a request that is refused before it is forwarded."""

    def report_memory_shortage(self, detail: str) -> None:
        """Count and log that a connection was made to release memory, or a request refused."""

    def remove_connection(self, connection: Any) -> None:
        """Remove a connection that has ended."""
