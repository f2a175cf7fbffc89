"""HTTP requests of the command line and their outcomes."""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP request.

    Parameters
    ----------
    method : str
        HTTP method.
    url : str
        URL with path and query.
    body : bytes or None
        JSON body.
    headers : tuple of (str, str)
        Headers in addition to the authorization.
    timeout_s : float
        Time after which the request fails if the reply is not complete.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()
    timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class HttpReplied:
    """Outcome: a reply. Its `value` is the decoded JSON, or the text of a body that is not JSON."""

    status: int
    value: Any


@dataclass(frozen=True, slots=True)
class HttpFailed:
    """Outcome: the request failed without a reply.

    Parameters
    ----------
    detail : str
        Description of the error.
    may_have_arrived : bool
        Whether the server may have received the request.
    """

    detail: str
    may_have_arrived: bool


HttpOutcome = HttpReplied | HttpFailed
RequestSteps = Generator[HttpCall, HttpOutcome, int]
RequestRunner = Callable[[RequestSteps], int]
