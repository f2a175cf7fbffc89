"""Requests of routes: orders, bookings and other calls on one service."""

from dataclasses import dataclass

from savoryarch.model._declarations import Priority
from savoryarch.model._search import Refused


@dataclass(frozen=True, slots=True)
class RouteRequested:
    """A caller sends a request to a declared route.

    Parameters
    ----------
    request_id : str
        Unique within this instance and incarnation.
    route : str
        Name of the declared route.
    caller : str
        Name of the caller; empty if it gave none.
    idempotency_key : str
        Taken from the header or the field that the route names; empty if absent.
    body : bytes
        Passed to the target unchanged.
    deadline_at_ms : float or None
        The caller's own deadline on the clock of the process, if earlier than the declared one.
    priority : Priority or None
        Overrides the declared priority class.
    created_at_ms : int or None
        Calendar time at which the caller made the request, in milliseconds since the Unix epoch;
        resends carry the time of the first send.
    """

    request_id: str
    route: str
    caller: str
    idempotency_key: str
    body: bytes
    deadline_at_ms: float | None = None
    priority: Priority | None = None
    created_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class RouteDone:
    """The request ran once; a resend gets the same status and body.

    Parameters
    ----------
    status : int
        HTTP status of the target.
    body : bytes
        Body of the target.
    recorded : bool
        Whether this is the recorded outcome of an earlier send of the same key.
    body_kept : bool
        False for a recorded outcome whose body was too large to be kept; `body` is then empty.
    """

    status: int
    body: bytes
    recorded: bool = False
    body_kept: bool = True


@dataclass(frozen=True, slots=True)
class RouteOutcomeUnknown:
    """The request may have run; it is not run again under this key."""

    detail: str


RouteOutcome = RouteDone | RouteOutcomeUnknown | Refused


@dataclass(frozen=True, slots=True)
class AnswerRoute:
    """Give the caller its outcome, exactly once per request."""

    request_id: str
    outcome: RouteOutcome
