"""Forwarded requests, their pieces and their attempts."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.forwarding._settings import ForwardingSettings
from savoryarch.model import (
    RefusalReason,
    ResponseReturned,
)
from savoryarch.model.forwarding import (
    ForwardedRoute,
    ForwardingTable,
    ForwardRequested,
)
from savoryarch.quarantine import QuarantineSettings, QuarantineState, make_quarantine_state
from savoryarch.utils import Budget

NEVER_MS = float("inf")
_QUARANTINE = QuarantineSettings()


@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """One request to one target that has not ended."""

    attempt_id: str
    request_id: str
    service: str
    target_id: str
    begun_at_ms: float


@dataclass(frozen=True, slots=True)
class SubRequest:
    """The share of one service in a request.

    Parameters
    ----------
    service : str
        The service.
    chart_state : str
        State in the chart ``piece``.
    attempt_ids : tuple of str
        Its attempts in flight.
    attempted_target_ids : frozenset of str
        Targets that it reached, or may have reached.
    excluded : frozenset of str
        Targets that are not asked again.
    delivered_attempts : int
        Attempts that reached, or may have reached, a target.
    may_have_run : bool
        Whether a target may have run it.
    hedge_at_ms : float
        When another attempt is considered.
    reply : ResponseReturned or None
        The reply that goes to the client; that of a failure until there is a better one.
    failure : str
        Why the last attempt failed.
    """

    service: str
    chart_state: str = "waiting"
    attempt_ids: tuple[str, ...] = ()
    attempted_target_ids: frozenset[str] = frozenset()
    excluded: frozenset[str] = frozenset()
    delivered_attempts: int = 0
    may_have_run: bool = False
    hedge_at_ms: float = NEVER_MS
    reply: ResponseReturned | None = None
    failure: str = ""


@dataclass(frozen=True, slots=True)
class Forward:
    """One request of a client that has no answer yet.

    Parameters
    ----------
    asked : ForwardRequested
        What the client sent.
    route : ForwardedRoute
        As in force when it came.
    asked_at_ms, objective_at_ms, deadline_at_ms : float
        When it came, when its answer is worth less, and when it is over.
    fingerprint : str
        Equal for equal requests.
    services : tuple of str
        What it is sent to, in the order of its route.
    pieces : Map
        `SubRequest` by service.
    required : int
        Pieces that an answer needs.
    answered, left_out : int
        Pieces in those states.
    life : str
        State in the chart ``forward``.
    check_at_ms : float
        When its timer is due.
    refusal : RefusalReason
        Why it is refused, if it is.
    """

    asked: ForwardRequested
    route: ForwardedRoute
    asked_at_ms: float
    objective_at_ms: float
    deadline_at_ms: float
    fingerprint: str
    services: tuple[str, ...]
    pieces: Map[str, SubRequest]
    required: int
    answered: int = 0
    left_out: int = 0
    life: str = "asked"
    check_at_ms: float = NEVER_MS
    refusal: RefusalReason = RefusalReason.NO_TARGET

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.asked.request_id

    @property
    def ordered_pieces(self) -> tuple[SubRequest, ...]:
        """The pieces in the order of the route: that of a map differs between processes."""
        return tuple(self.pieces[service] for service in self.services)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run any of it."""
        return any(piece.may_have_run for piece in self.pieces.values())


@dataclass(frozen=True, slots=True)
class ServiceBudget:
    """Extra requests that a service may get from this instance, and when they were counted."""

    budget: Budget
    at_ms: float


@dataclass(frozen=True, slots=True)
class ForwardingState:
    """All forwarded requests of this instance.

    Parameters
    ----------
    settings : ForwardingSettings
        Fixed from start to end.
    quarantine : QuarantineState
        Requests that crash targets.
    table : ForwardingTable or None
        In force here.
    begun_at_ms : float
        When the first table came into force.
    hosts : Map
        Routes by host, those with the longest path prefix first.
    split_turns : Map
        By route, how far the requests given to each part are behind its share.
    forwards : Map
        `Forward` by request id.
    attempts : Map
        `ForwardAttempt` by attempt id, of ended requests as well.
    waiting : Map
        Request ids by service, of the pieces that wait for room; the most urgent first.
    budgets : Map
        `ServiceBudget` by service.
    usual_wait_ms : Map
        By route, how long a client waits from its first attempt.
    attempts_sent : int
        Attempts sent; the next attempt id.
    stopping : bool
        Whether new requests are refused.
    """

    settings: ForwardingSettings
    quarantine: QuarantineState
    table: ForwardingTable | None = None
    begun_at_ms: float = 0.0
    hosts: Map[str, tuple[ForwardedRoute, ...]] = field(default_factory=Map)
    split_turns: Map[str, Map[str, float]] = field(default_factory=Map)
    forwards: Map[str, Forward] = field(default_factory=Map)
    attempts: Map[str, ForwardAttempt] = field(default_factory=Map)
    waiting: Map[str, tuple[str, ...]] = field(default_factory=Map)
    budgets: Map[str, ServiceBudget] = field(default_factory=Map)
    usual_wait_ms: Map[str, float] = field(default_factory=Map)
    attempts_sent: int = 0
    stopping: bool = False


def make_forwarding_state(
    settings: ForwardingSettings, quarantine: QuarantineSettings = _QUARANTINE
) -> ForwardingState:
    """Make the state of an instance that has no forwarding table yet."""
    return ForwardingState(settings, make_quarantine_state(quarantine))


def unfinished_forwards(state: ForwardingState) -> tuple[str, ...]:
    """Return the ids of the requests that have no answer yet."""
    return tuple(state.forwards)
