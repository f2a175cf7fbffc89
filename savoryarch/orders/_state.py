"""What an instance holds of its orders, and one turn of the decision."""

from dataclasses import dataclass, field, replace
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
from savoryarch.orders._claims import BucketValue, Submitted
from savoryarch.orders._settings import OrdersSettings


@dataclass(frozen=True, slots=True)
class Order:
    """One request of a route.

    Parameters
    ----------
    asked : RouteRequested
        What the caller sent.
    route : Route
        As declared when it came.
    deadline_at_ms : float
        When the outcome is due.
    state : str
        State in the chart ``order``.
    claim : Claim or None
        Its claim; None for idempotent routes.
    writers : tuple of str
        The instances that were asked to write the claim; the last one is waited for.
    key_unused : bool
        Whether the key was seen without a claim after the request arrived.
    may_be_written : bool
        Whether an instance that failed to write the claim may have written it.
    sent : int
        Attempts that were sent.
    tried : frozenset of str
        Targets of those attempts.
    waits : int
        How often no target had room.
    target_id : str
        Target of the last attempt.
    sent_at_ms : float
        When it was sent.
    may_have_run : bool
        Whether an earlier attempt may have run; only idempotent routes go on then.
    detail : str
        What the last attempt came to.
    """

    asked: RouteRequested
    route: Route
    deadline_at_ms: float
    state: str
    claim: Claim | None = None
    writers: tuple[str, ...] = ()
    key_unused: bool = False
    may_be_written: bool = False
    sent: int = 0
    tried: frozenset[str] = frozenset()
    waits: int = 0
    target_id: str = ""
    sent_at_ms: float = 0.0
    may_have_run: bool = False
    detail: str = ""

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.asked.request_id


@dataclass(frozen=True, slots=True)
class Settled:
    """An outcome that has to be recorded.

    Parameters
    ----------
    claim : Claim
        With its outcome.
    request_id : str
        The request, if it was this instance's.
    from_peer : str
        The peer to be told when it is recorded; empty for none.
    after_call : int
        Store calls of the instance before it was submitted.
    handed_over : int
        Peers that were asked to record it, because this instance does not reach the store.
    """

    claim: Claim
    request_id: str = ""
    from_peer: str = ""
    after_call: int = 0
    handed_over: int = 0


@dataclass(frozen=True, slots=True)
class Bucket:
    """One bucket, as this instance reads and writes it.

    Parameters
    ----------
    number : int
        Which bucket.
    state : str
        State in the chart ``claim_bucket``.
    value, revision : BucketValue, int
        As last read or written.
    swapping : BucketValue or None
        What the outstanding swap writes.
    submitted : Map
        Claims that wait, by claimant.
    settled : Map
        Outcomes that are not known to be recorded, by claimant.
    settle_at_ms : float
        When outcomes are written without claims to share the write.
    call_id : str
        The outstanding call.
    value_call : int
        The call that gave the value, counted as `OrdersState.calls`.
    failures : int
        Calls that failed since the last that did not.
    """

    number: int
    state: str
    value: BucketValue = BucketValue()
    revision: int = 0
    swapping: BucketValue | None = None
    submitted: Map[Claimant, Submitted] = field(default_factory=Map)
    settled: Map[Claimant, Settled] = field(default_factory=Map)
    settle_at_ms: float = 0.0
    call_id: str = ""
    value_call: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True)
class Relayed:
    """An outcome that the owner of its bucket was asked to record."""

    settled: Settled
    owner: str
    due_at_ms: float


@dataclass(frozen=True, slots=True)
class OrdersState:
    """Everything that an instance knows of its orders.

    Parameters
    ----------
    settings : OrdersSettings
        Fixed from start to end.
    instance_id, incarnation : str, int
        Of this instance.
    wall_offset_ms : float or None
        Calendar time minus the clock of the process; None before the first event.
    declarations : Declarations
        The configuration in force.
    live : tuple of str
        The live peers.
    stopping : bool
        Whether no new requests are taken.
    orders : Map
        Orders without an outcome, by request id.
    claimants : Map
        Request ids of those that have a claim, by its sequence.
    buckets : Map
        The buckets that this instance has read, by number.
    relayed : Map
        Outcomes that owners were asked to record, by claimant.
    queue : tuple of int
        Buckets that wait for their turn to be written.
    write_tokens, refilled_at_ms : float, float
        What is left of the write rate.
    turn_at_ms : float
        When the queue is served next.
    outboxes : Map
        Messages to peers that wait to share a frame.
    closed_outboxes : frozenset of str
        Peers that were sent a frame within the batch time.
    sequence, calls : int
        Claims and store calls so far.
    """

    settings: OrdersSettings
    instance_id: str
    incarnation: int
    wall_offset_ms: float | None = None
    declarations: Declarations = field(default_factory=Declarations)
    live: tuple[str, ...] = ()
    stopping: bool = False
    orders: Map[str, Order] = field(default_factory=Map)
    claimants: Map[int, str] = field(default_factory=Map)
    buckets: Map[int, Bucket] = field(default_factory=Map)
    relayed: Map[Claimant, Relayed] = field(default_factory=Map)
    queue: tuple[int, ...] = ()
    write_tokens: float = 0.0
    refilled_at_ms: float = float("-inf")
    turn_at_ms: float = float("-inf")
    outboxes: Map[str, tuple[ClaimMessage, ...]] = field(default_factory=Map)
    closed_outboxes: frozenset[str] = frozenset()
    sequence: int = 0
    calls: int = 0


@dataclass(frozen=True, slots=True)
class Resolved:
    """A claim that came to something, on its way to its claimant."""

    submitted: Submitted
    resolution: ClaimResolution


@dataclass(frozen=True, slots=True)
class Turn:
    """The decision on one event, while it is being made.

    Parameters
    ----------
    state : OrdersState
        As changed so far.
    targets : TargetsState
        As changed so far.
    now_ms : float
        Time of the event.
    effects : tuple
        Decided so far.
    inbox : tuple of Resolved
        Claims that came to something and have not reached their orders.
    """

    state: OrdersState
    targets: Any
    now_ms: float
    effects: tuple[object, ...] = ()
    inbox: tuple[Resolved, ...] = ()

    @property
    def wall_ms(self) -> float:
        """Calendar time in milliseconds since the Unix epoch."""
        return self.now_ms + (self.state.wall_offset_ms or 0.0)

    def emit(self, *effects: object) -> "Turn":
        """Add effects."""
        return replace(self, effects=self.effects + effects)

    def change(self, **fields: Any) -> "Turn":
        """Change fields of the state."""
        return replace(self, state=replace(self.state, **fields))

    def put_order(self, order: Order) -> "Turn":
        """Put an order in place."""
        return self.change(orders=self.state.orders.set(order.request_id, order))

    def put_bucket(self, bucket: Bucket) -> "Turn":
        """Put a bucket in place."""
        return self.change(buckets=self.state.buckets.set(bucket.number, bucket))

    def post(self, peer_id: str, message: ClaimMessage) -> "Turn":
        """Add a message to a peer."""
        waiting = self.state.outboxes.get(peer_id, ())
        return self.change(outboxes=self.state.outboxes.set(peer_id, (*waiting, message)))

    def report(self, submitted: Submitted, resolution: ClaimResolution) -> "Turn":
        """Send what a claim came to on its way."""
        return replace(self, inbox=(*self.inbox, Resolved(submitted, resolution)))


def make_orders_state(
    settings: OrdersSettings,
    instance_id: str,
    incarnation: int,
    wall_offset_ms: float | None = None,
) -> OrdersState:
    """Make the state of an instance that has taken no order.

    Parameters
    ----------
    settings : OrdersSettings
        Fixed from start to end.
    instance_id : str
        Id of this instance.
    incarnation : int
        Start time of this instance in milliseconds since the Unix epoch.
    wall_offset_ms : float, optional
        Calendar time minus the clock of the process; by default the first event is taken to come
        at the start time.
    """
    return OrdersState(settings, instance_id, incarnation, wall_offset_ms)
