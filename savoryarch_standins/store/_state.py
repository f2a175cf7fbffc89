"""State of the store stand-in, and the calls and replies that only the stand-in has."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.model import KeyChange, StoreCall, StoreReply

MAX_VALUE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StoreSwitches:
    """Faults and rate limits that a test can set.

    Parameters
    ----------
    outage : bool
        Whether every call is refused with HTTP status 503.
    delay_ms : float
        Time from the arrival of a call to its effect.
    reply_delay_ms : float
        Time from the effect of a call to its reply.
    lose_replies : int
        Number of writes, from the next one on, that take effect but whose replies are lost.
    lose_calls : int
        Number of calls, from the next one on, that are lost before they take effect.
    forgets : bool
        Whether the history is dropped before each call, so that watches have to list again.
    writes_per_s, reads_per_s : float
        Rate limits of calls; each waiting watch uses one read per second.
    """

    outage: bool = False
    delay_ms: float = 0.0
    reply_delay_ms: float = 0.0
    lose_replies: int = 0
    lose_calls: int = 0
    forgets: bool = False
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0


@dataclass(frozen=True, slots=True)
class StoredValue:
    """The value of a key.

    Parameters
    ----------
    value : bytes
        The value.
    revision : int
        Revision of the write that set it.
    lease_id : int
        Lease whose end deletes the key; 0 for none.
    """

    value: bytes
    revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease, which expires at `expires_at_ms` unless it is renewed."""

    ttl_ms: float
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class CallBudget:
    """A token bucket for a rate limit, which holds at most the tokens of one second."""

    tokens: float
    refilled_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreState:
    """State of the store stand-in.

    Parameters
    ----------
    revision : int
        Revision of the last write.
    entries : Map
        The present values by key.
    history : Map
        The changes after `compacted_revision`, by revision.
    snapshots : Map
        The values by key as they were at each revision in the history.
    compacted_revision : int
        Newest revision whose change has been dropped from the history.
    history_limit : int
        Greatest number of changes in the history.
    leases : Map
        Leases that have not expired, by lease id.
    last_lease_id : int
        Id of the last granted lease.
    waiting_watches : int
        Number of watches that wait for changes.
    write_budget, read_budget : CallBudget
        Remaining calls under the rate limits.
    switches : StoreSwitches
        Present faults and rate limits.
    counts : Map
        Number of calls by class name, and of failed calls by reason.
    """

    revision: int = 0
    entries: Map[str, StoredValue] = field(default_factory=Map)
    history: Map[int, KeyChange] = field(default_factory=Map)
    snapshots: Map[int, Map[str, StoredValue]] = field(default_factory=Map)
    compacted_revision: int = 0
    history_limit: int = 500
    leases: Map[int, Lease] = field(default_factory=Map)
    last_lease_id: int = 0
    waiting_watches: int = 0
    write_budget: CallBudget = CallBudget(400.0)
    read_budget: CallBudget = CallBudget(2000.0)
    switches: StoreSwitches = StoreSwitches()
    counts: Map[str, int] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class DeleteKey:
    """Call: delete a key if its revision is `expected_revision`."""

    call_id: str
    key: str
    expected_revision: int


Call = StoreCall | DeleteKey


@dataclass(frozen=True, slots=True)
class ValueTooLarge:
    """Reply: the value exceeds `MAX_VALUE_BYTES`; the call had no effect."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Reply: the store refused the call because of an outage."""


@dataclass(frozen=True, slots=True)
class CallLost:
    """No reply: the call was lost before it took effect."""


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """No reply: the call took effect, but its reply was lost."""


@dataclass(frozen=True, slots=True)
class WatchPending:
    """No reply yet: there are no changes for the watch."""


Reply = StoreReply | ValueTooLarge | Unavailable | CallLost | ReplyLost | WatchPending


@dataclass(frozen=True, slots=True)
class CallResult:
    """State after a call, and its reply."""

    state: StoreState
    reply: Reply
