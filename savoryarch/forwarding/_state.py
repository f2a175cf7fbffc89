"""State of forwarded requests: the requests, their sub-requests and their attempts."""

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
from savoryarch.utils import Budget, fast_init

NEVER_MS = float("inf")  # time of an event that is not scheduled
_QUARANTINE = QuarantineSettings()


@fast_init
@dataclass(frozen=True, slots=True)
class ForwardAttempt:
    """One attempt that has not ended: a sub-request that was sent to one target.

    Parameters
    ----------
    attempt_id : str
        Unique within this instance and incarnation.
    request_id : str
        The forwarded request that it belongs to.
    service, target_id : str
        Where it was sent.
    started_at_ms : float
        When it was sent.
    """

    attempt_id: str
    request_id: str
    service: str
    target_id: str
    started_at_ms: float


@fast_init
@dataclass(frozen=True, slots=True)
class SubRequest:
    """The part of a forwarded request that goes to one service, in one or more attempts.

    Parameters
    ----------
    service : str
        The service.
    chart_state : str
        State in the chart ``sub_request``.
    attempt_ids : tuple of str
        Its attempts in flight.
    attempted_target_ids : frozenset of str
        Targets that an attempt reached or may have reached.
    excluded : frozenset of str
        Ids of targets that get no further attempt.
    delivered_attempts : int
        Number of attempts that reached or may have reached a target.
    may_have_run : bool
        Whether a target may have run it.
    hedge_at_ms : float
        When a hedge is considered; infinite if none is scheduled.
    reply : ResponseReturned or None
        The reply for the client. A failed reply is retained until a successful one replaces it.
    failure : str
        Label of the last attempt's failure; empty if no attempt has failed.
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


@fast_init
@dataclass(frozen=True, slots=True)
class Forward:
    """One request of a client that has not been answered.

    Parameters
    ----------
    event : ForwardRequested
        The event with which the request arrived.
    route : ForwardedRoute
        The matching route of the table that was in force on arrival.
    received_at_ms : float
        When the request arrived.
    objective_at_ms : float
        When its latency objective has passed. From then on, an answer needs only the required
        number of sub-requests.
    deadline_at_ms : float
        When it fails for lack of an answer.
    fingerprint : str
        Equal for equal requests; the quarantine identifies requests by it.
    services : tuple of str
        The services that it is sent to, in the order of its route.
    sub_requests : Map
        `SubRequest` by service.
    required_count : int
        Number of answered sub-requests that an answer needs.
    answered_count, left_out_count : int
        Numbers of sub-requests in the states ``answered`` and ``left_out``.
    chart_state : str
        State in the chart ``forward``.
    next_check_at_ms : float
        When its timer is due.
    refusal : RefusalReason
        The reason that is given if it is refused.
    load : str
        For the log: the load of the services for which it was refused as overloaded.
    """

    event: ForwardRequested
    route: ForwardedRoute
    received_at_ms: float
    objective_at_ms: float
    deadline_at_ms: float
    fingerprint: str
    services: tuple[str, ...]
    sub_requests: Map[str, SubRequest]
    required_count: int
    answered_count: int = 0
    left_out_count: int = 0
    chart_state: str = "received"
    next_check_at_ms: float = NEVER_MS
    refusal: RefusalReason = RefusalReason.NO_TARGET
    load: str = ""

    @property
    def request_id(self) -> str:
        """Id of the request, unique within this instance and incarnation."""
        return self.event.request_id

    @property
    def ordered_sub_requests(self) -> tuple[SubRequest, ...]:
        """The sub-requests in the order of the route; the order of a map varies by process."""
        return tuple(self.sub_requests[service] for service in self.services)

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run any of its sub-requests."""
        return any(sub_request.may_have_run for sub_request in self.sub_requests.values())


@fast_init
@dataclass(frozen=True, slots=True)
class ServiceBudget:
    """The extra attempts that this instance may send to a service.

    Parameters
    ----------
    budget : Budget
        One token per extra attempt.
    refilled_at_ms : float
        When it was last refilled.
    """

    budget: Budget
    refilled_at_ms: float


@fast_init
@dataclass(frozen=True, slots=True)
class ForwardingState:
    """State of all forwarded requests of this instance.

    Parameters
    ----------
    settings : ForwardingSettings
        Settings in force; a reload replaces them.
    quarantine : QuarantineState
        Requests that are suspected or known to crash targets.
    table : ForwardingTable or None
        The table in force; None before the first one arrives.
    first_table_at_ms : float
        When the first table came into force.
    routes_by_host : Map
        Routes by host, sorted by descending length of their path prefix.
    split_deficits : Map
        By route and service, the requests that a part of a split is owed by its weight.
    forwards : Map
        `Forward` by request id.
    attempts : Map
        `ForwardAttempt` by attempt id, also those of requests that have ended.
    waiting : Map
        Ids of the requests that wait for capacity, by service; the most urgent first.
    budgets : Map
        `ServiceBudget` by service.
    max_client_wait_ms : Map
        By route, the longest remaining time that a client has sent. It estimates the time that
        clients allow from their first attempt.
    attempts_sent : int
        Number of attempts sent, which is also the number of the next attempt.
    stopping : bool
        Whether new requests are refused because this instance stops.
    """

    settings: ForwardingSettings
    quarantine: QuarantineState
    table: ForwardingTable | None = None
    first_table_at_ms: float = 0.0
    routes_by_host: Map[str, tuple[ForwardedRoute, ...]] = field(default_factory=Map)
    split_deficits: Map[str, Map[str, float]] = field(default_factory=Map)
    forwards: Map[str, Forward] = field(default_factory=Map)
    attempts: Map[str, ForwardAttempt] = field(default_factory=Map)
    waiting: Map[str, tuple[str, ...]] = field(default_factory=Map)
    budgets: Map[str, ServiceBudget] = field(default_factory=Map)
    max_client_wait_ms: Map[str, float] = field(default_factory=Map)
    attempts_sent: int = 0
    stopping: bool = False


def make_forwarding_state(
    settings: ForwardingSettings, quarantine: QuarantineSettings = _QUARANTINE
) -> ForwardingState:
    """Return the initial state of an instance, without a forwarding table."""
    return ForwardingState(settings, make_quarantine_state(quarantine))


def unfinished_forwards(state: ForwardingState) -> tuple[str, ...]:
    """Return the ids of the requests that have not been answered."""
    return tuple(state.forwards)
