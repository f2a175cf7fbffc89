"""Requests of the command line and what comes of them."""

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One request.

    Parameters
    ----------
    method, url : str
        As in HTTP.
    body : bytes or None
        JSON.
    headers : tuple of (str, str)
        Further headers.
    timeout_s : float
        How long to wait for the whole reply.
    """

    method: str
    url: str
    body: bytes | None = None
    headers: tuple[tuple[str, str], ...] = ()
    timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class HttpReplied:
    """A reply; `value` is its decoded JSON, or its text."""

    status: int
    value: Any


@dataclass(frozen=True, slots=True)
class HttpFailed:
    """No reply came.

    Parameters
    ----------
    detail : str
        What happened.
    sent : bool
        Whether the request may have been received.
    """

    detail: str
    may_have_arrived: bool


HttpOutcome = HttpReplied | HttpFailed
RequestSteps = Generator[HttpCall, HttpOutcome, int]
RequestRunner = Callable[[RequestSteps], int]
