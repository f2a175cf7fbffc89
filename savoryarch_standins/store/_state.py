"""What the store stand-in holds, and the types of what may be asked of it."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.model import KeyChange, StoreCall, StoreReply

MAX_VALUE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class StoreSwitches:
    """What a test can set to make the store fail.

    Parameters
    ----------
    outage : bool
        Every call is refused with 503.
    delay_ms : float
        Time before a call takes effect.
    reply_delay_ms : float
        Time between the effect of a call and its reply.
    lose_replies : int
        The next so many writes take effect and their replies are lost.
    lose_calls : int
        The next so many calls are lost before they take effect.
    forgets : bool
        The history before each call is dropped, so that watches have to list anew.
    writes_per_s, reads_per_s : float
        Rate limits; each waiting watch takes one read per second.
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
    """The value of a key, the revision that wrote it, and the lease it lapses with."""

    value: bytes
    revision: int
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease and when it lapses."""

    ttl_ms: float
    expires_at_ms: float


@dataclass(frozen=True, slots=True)
class CallBudget:
    """A token bucket of calls, refilled up to the rate of one second."""

    tokens: float
    refilled_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreState:
    """Everything that the store stand-in holds.

    Parameters
    ----------
    revision : int
        Of the last write.
    entries : Map
        The keys.
    history : Map
        The changes by their revision, those after `compacted_revision`.
    snapshots : Map
        The keys as they were at each revision of the history.
    compacted_revision : int
        The newest revision whose change was dropped from the history.
    history_limit : int
        Changes that are kept.
    leases : Map
        Leases that have not lapsed.
    lease_count : int
        Leases granted so far.
    waiting_watches : int
        Watches that wait now.
    writes, reads : CallBudget
        What is left of the rate limits.
    switches : StoreSwitches
        What a test has set.
    counts : Map
        Calls by kind, and refusals by reason.
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
    """Delete a key if its revision is still `expected_revision`."""

    call_id: str
    key: str
    expected_revision: int


Call = StoreCall | DeleteKey


@dataclass(frozen=True, slots=True)
class ValueTooLarge:
    """The value is larger than the store takes; the call had no effect."""


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The store refused the call because of an outage."""


@dataclass(frozen=True, slots=True)
class CallLost:
    """The call never reached the store."""


@dataclass(frozen=True, slots=True)
class ReplyLost:
    """The call took effect and its reply was lost."""


@dataclass(frozen=True, slots=True)
class WatchPending:
    """A watch that has nothing to report yet."""


Reply = StoreReply | ValueTooLarge | Unavailable | CallLost | ReplyLost | WatchPending


@dataclass(frozen=True, slots=True)
class CallResult:
    """The store after a call, and the reply."""

    state: StoreState
    reply: Reply
