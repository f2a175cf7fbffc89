"""State of orders, and the context of one decision on it."""

from dataclasses import dataclass, field
from typing import Any

from immutables import Map

from savoryarch.model import (
    Claim,
    Claimant,
    ClaimMessage,
    ClaimResolution,
    Declarations,
    Route,
    RouteRequested,
)
from savoryarch.orders._claims import BucketValue, PendingClaim
from savoryarch.orders._settings import OrdersSettings
from savoryarch.utils import replace


@dataclass(frozen=True, slots=True)
class Order:
    """A request of a route that this instance has accepted and not yet answered.

    Parameters
    ----------
    request : RouteRequested
        The request as received.
    route : Route
        The route as it was declared on arrival.
    deadline_at_ms : float
        Time by which the caller gets an answer.
    chart_state : str
        Current state in the chart ``order``.
    claim : Claim or None
        Claim on the idempotency key; None for idempotent routes.
    claim_writers : tuple of str
        Instances that were asked to write the claim, in that order; the last one has not replied.
    key_unused : bool
        Whether a read that began after the arrival showed the key without a claim.
    may_be_written : bool
        Whether an instance that did not confirm the claim may have written it.
    attempts_sent : int
        Number of attempts sent to targets.
    attempted_target_ids : frozenset of str
        Targets of those attempts.
    target_waits : int
        Number of times that no target had capacity.
    target_id : str
        Target of the last attempt.
    last_sent_at_ms : float
        Time of the last attempt.
    may_have_run : bool
        Whether an earlier attempt may have run. Only requests of idempotent routes are retried
        after such an attempt.
    detail : str
        Label of the last attempt's reply.
    """

    request: RouteRequested
    route: Route
    deadline_at_ms: float
    chart_state: str
    claim: Claim | None = None
    claim_writers: tuple[str, ...] = ()
    key_unused: bool = False
    may_be_written: bool = False
    attempts_sent: int = 0
    attempted_target_ids: frozenset[str] = frozenset()
    target_waits: int = 0
    target_id: str = ""
    last_sent_at_ms: float = 0.0
    may_have_run: bool = False
    detail: str = ""

    @property
    def request_id(self) -> str:
        """Id of the request, unique within this instance and incarnation."""
        return self.request.request_id


@dataclass(frozen=True, slots=True)
class PendingOutcome:
    """An outcome that is not yet known to be in the store.

    Parameters
    ----------
    claim : Claim
        The claim in its final state.
    request_id : str
        Id of the request if this instance answered it; empty for outcomes of peers.
    from_peer : str
        Peer that is notified once the outcome is recorded; empty for none.
    calls_before : int
        Number of store calls that this instance had made when the outcome was submitted. The
        value of a later call is newer than the outcome.
    relay_count : int
        Number of peers that were asked to record the outcome because calls of this instance to
        the store failed.
    """

    claim: Claim
    request_id: str = ""
    from_peer: str = ""
    calls_before: int = 0
    relay_count: int = 0


@dataclass(frozen=True, slots=True)
class Bucket:
    """One bucket as this instance reads and writes it.

    Parameters
    ----------
    number : int
        Number of the bucket, from 0.
    chart_state : str
        Current state in the chart ``claim_bucket``.
    value : BucketValue
        Value as last read or written.
    revision : int
        Revision of that value in the store; 0 if the store has none.
    swap_value : BucketValue or None
        Value that the outstanding swap writes.
    pending_claims : Map
        `PendingClaim` by claimant.
    pending_outcomes : Map
        `PendingOutcome` by claimant.
    outcomes_due_at_ms : float
        Time at which outcomes are written even if no claim shares the write.
    call_id : str
        Id of the last store call; replies to other calls are ignored.
    value_call_number : int
        Number of the store call that returned or wrote `value`, as counted by
        `OrdersState.store_calls`.
    failures : int
        Number of failed calls in a row.
    """

    number: int
    chart_state: str
    value: BucketValue = BucketValue()
    revision: int = 0
    swap_value: BucketValue | None = None
    pending_claims: Map[Claimant, PendingClaim] = field(default_factory=Map)
    pending_outcomes: Map[Claimant, PendingOutcome] = field(default_factory=Map)
    outcomes_due_at_ms: float = 0.0
    call_id: str = ""
    value_call_number: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class RelayedOutcome:
    """An outcome of this instance that another instance was asked to record.

    Parameters
    ----------
    outcome : PendingOutcome
        The outcome.
    owner : str
        Owner of the bucket at that time.
    due_at_ms : float
        Time after which this instance records the outcome itself.
    """

    outcome: PendingOutcome
    owner: str
    due_at_ms: float


@dataclass(frozen=True, slots=True)
class OrdersState:
    """State of all orders at one instance.

    Parameters
    ----------
    settings : OrdersSettings
        Fixed while the process runs.
    instance_id : str
        Id of this instance.
    incarnation : int
        Start time of this instance in milliseconds since the Unix epoch.
    wall_clock_offset_ms : float or None
        Calendar time minus the clock of the process; None before the first event.
    declarations : Declarations
        The configuration in force.
    live_peer_ids : tuple of str
        Ids of the live peers, sorted.
    stopping : bool
        Whether new requests are refused because the instance stops.
    orders : Map
        `Order` by request id.
    claimants : Map
        Request id by the sequence number of the order's claim.
    buckets : Map
        `Bucket` by number, for buckets that this instance has used.
    relayed_outcomes : Map
        `RelayedOutcome` by claimant.
    write_queue : tuple of int
        Numbers of the buckets that wait to be written.
    write_tokens : float
        Tokens in the token bucket of the write rate; a write takes one.
    refilled_at_ms : float
        Time of the last refill of that token bucket.
    next_write_at_ms : float
        Time for which the timer of the write queue is set.
    outboxes : Map
        Messages that wait to share a frame, by peer id.
    recently_flushed_peers : frozenset of str
        Peers that were sent a frame within the batch time.
    sequence : int
        Sequence number of the last claim of this incarnation.
    store_calls : int
        Number of store calls so far.
    """

    settings: OrdersSettings
    instance_id: str
    incarnation: int
    wall_clock_offset_ms: float | None = None
    declarations: Declarations = field(default_factory=Declarations)
    live_peer_ids: tuple[str, ...] = ()
    stopping: bool = False
    orders: Map[str, Order] = field(default_factory=Map)
    claimants: Map[int, str] = field(default_factory=Map)
    buckets: Map[int, Bucket] = field(default_factory=Map)
    relayed_outcomes: Map[Claimant, RelayedOutcome] = field(default_factory=Map)
    write_queue: tuple[int, ...] = ()
    write_tokens: float = 0.0
    refilled_at_ms: float = float("-inf")
    next_write_at_ms: float = float("-inf")
    outboxes: Map[str, tuple[ClaimMessage, ...]] = field(default_factory=Map)
    recently_flushed_peers: frozenset[str] = frozenset()
    sequence: int = 0
    store_calls: int = 0


@dataclass(frozen=True, slots=True)
class ResolvedClaim:
    """A claim and its resolution, to be delivered to the claimant.

    Parameters
    ----------
    pending : PendingClaim
        The claim as submitted.
    resolution : ClaimResolution
        Result of the claim.
    """

    pending: PendingClaim
    resolution: ClaimResolution


@dataclass(frozen=True, slots=True)
class DecisionContext:
    """The record that the decision on one event works on.

    Parameters
    ----------
    state : OrdersState
        State with the changes of the decision so far.
    targets : TargetsState
        State of the targets with the changes of the decision so far.
    now_ms : float
        Time of the event.
    effects : tuple
        Effects decided so far, in order.
    resolved_claims : tuple of ResolvedClaim
        Resolutions that are not yet delivered.
    """

    state: OrdersState
    targets: Any
    now_ms: float
    effects: tuple[object, ...] = ()
    resolved_claims: tuple[ResolvedClaim, ...] = ()

    @property
    def wall_clock_ms(self) -> float:
        """Calendar time in milliseconds since the Unix epoch."""
        return self.now_ms + (self.state.wall_clock_offset_ms or 0.0)

    def emit(self, *effects: object) -> "DecisionContext":
        """Return the context with `effects` appended."""
        return replace(self, effects=self.effects + effects)

    def update_state(self, **fields: Any) -> "DecisionContext":
        """Return the context with `fields` of its state replaced."""
        return replace(self, state=replace(self.state, **fields))

    def put_order(self, order: Order) -> "DecisionContext":
        """Return the context with `order` stored under its request id."""
        return self.update_state(orders=self.state.orders.set(order.request_id, order))

    def put_bucket(self, bucket: Bucket) -> "DecisionContext":
        """Return the context with `bucket` stored under its number."""
        return self.update_state(buckets=self.state.buckets.set(bucket.number, bucket))

    def send_to_peer(self, peer_id: str, message: ClaimMessage) -> "DecisionContext":
        """Return the context with `message` appended to the outbox of a peer."""
        queued = self.state.outboxes.get(peer_id, ())
        return self.update_state(outboxes=self.state.outboxes.set(peer_id, (*queued, message)))

    def add_resolution(
        self, pending: PendingClaim, resolution: ClaimResolution
    ) -> "DecisionContext":
        """Return the context with a resolution that is delivered at the end of the decision."""
        return replace(
            self, resolved_claims=(*self.resolved_claims, ResolvedClaim(pending, resolution))
        )


def make_orders_state(
    settings: OrdersSettings,
    instance_id: str,
    incarnation: int,
    wall_clock_offset_ms: float | None = None,
) -> OrdersState:
    """Return the state of an instance that has accepted no request.

    Parameters
    ----------
    settings : OrdersSettings
        Fixed while the process runs.
    instance_id : str
        Id of this instance.
    incarnation : int
        Start time of this instance in milliseconds since the Unix epoch.
    wall_clock_offset_ms : float, optional
        Calendar time minus the clock of the process. Without it, the calendar time of the first
        event is assumed to be the start time.
    """
    return OrdersState(settings, instance_id, incarnation, wall_clock_offset_ms)
