"""Requests of routes, such as orders and bookings, and their outcomes."""

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
        Name of the caller; empty if it sent none.
    idempotency_key : str
        Key from the header or the body field that the route declares; empty if absent.
    body : bytes
        Body, which the target gets unchanged.
    deadline_at_ms : float or None
        The caller's own deadline on the clock of the process, if earlier than the declared one.
    priority : Priority or None
        Priority class; None for the declared one.
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
    """The request ran once. A resend gets the same status and body.

    Parameters
    ----------
    status : int
        HTTP status of the target's response.
    body : bytes
        Body of the target's response.
    recorded : bool
        Whether this is the recorded outcome of an earlier request with the same key.
    body_kept : bool
        False for a recorded outcome whose body was too large to be recorded; `body` is then empty.
    """

    status: int
    body: bytes
    recorded: bool = False
    body_kept: bool = True


@dataclass(frozen=True, slots=True)
class RouteOutcomeUnknown:
    """The request may have run. It is not run again under this key.

    Parameters
    ----------
    detail : str
        The reason, for the caller.
    """

    detail: str


RouteOutcome = RouteDone | RouteOutcomeUnknown | Refused


@dataclass(frozen=True, slots=True)
class AnswerRoute:
    """Effect: answer the caller with the outcome, exactly once per request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    outcome : RouteOutcome
        The outcome.
    """

    request_id: str
    outcome: RouteOutcome
