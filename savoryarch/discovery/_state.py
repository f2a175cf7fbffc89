"""State of discovery: the entries read from the store, and the schedule of polls."""

from collections.abc import Callable
from dataclasses import dataclass, field

from immutables import Map

from savoryarch.discovery._settings import DiscoverySettings
from savoryarch.model.forwarding import (
    ForwardingTable,
    RegisteredInstance,
    RegisteredTarget,
)

# Time of an event that has not happened or is not scheduled; earlier than every other time.
NEVER_MS = float("-inf")


@dataclass(frozen=True, slots=True)
class MalformedEntry:
    """An entry that cannot be decoded.

    Parameters
    ----------
    detail : str
        What is wrong with the entry.
    """

    detail: str


@dataclass(frozen=True, slots=True)
class UnrelatedEntry:
    """An entry that does not concern discovery."""


StoreEntry = (
    ForwardingTable | RegisteredTarget | RegisteredInstance | MalformedEntry | UnrelatedEntry
)


@dataclass(frozen=True, slots=True)
class StoreEntryCodec:
    """Decodes entries of the store, and encodes the entry of this instance.

    Parameters
    ----------
    decode : callable
        Maps the key and value of an entry to a `StoreEntry`.
    encode_instance : callable
        Maps a `RegisteredInstance` to the value of its entry.
    """

    decode: Callable[[str, bytes], StoreEntry]
    encode_instance: Callable[[RegisteredInstance], bytes]


@dataclass(frozen=True, slots=True)
class DrainReport:
    """The registration with which a target reported that it drains.

    Parameters
    ----------
    sequence : int
        Number of the registration.
    read_at_ms : float
        When it was read.
    """

    sequence: int
    read_at_ms: float


@dataclass(frozen=True, slots=True)
class DiscoveryState:
    """State of discovery.

    Parameters
    ----------
    settings : DiscoverySettings
        Settings in force; a reload replaces them.
    codec : StoreEntryCodec
        Decodes and encodes entries.
    chart_state : str
        State in the chart ``discovery``.
    instance_id : str
        Id of this instance; empty before its start.
    revision : int
        Revision of the store up to which changes have been applied.
    table : ForwardingTable or None
        The table with the highest version that was read.
    targets : Map
        `RegisteredTarget` by key.
    instances : Map
        `RegisteredInstance` by key.
    lapsed : Map
        Time at which a target is removed because its entry is missing, by key of the entry.
    refused : Map
        What is wrong with a malformed entry, by key of the entry.
    drained : Map
        `DrainReport` by target id, of targets that reported recently that they drain, also if their
        entries are gone.
    targets_discovered : bool
        Whether a table and at least one target have been read.
    failures : int
        Number of consecutive failed calls.
    replied_at_ms : float
        When the store last replied.
    regained_at_ms : float
        When the store last replied again after an outage in which entries may have lapsed.
    lease_id : int or None
        Id of the lease of this instance's registration; None without a lease.
    registration : RegisteredInstance or None
        This instance as it registers itself; None before its address is known.
    live_instances : int
        Live entry instances that poll the store, this one included.
    announced_revision : int
        The newest revision that this instance read or that a peer announced.
    unconfirmed_revision : int
        An announced revision that the last poll did not reach; 0 if there is none.
    next_poll_at_ms : float
        When the next poll is due; `NEVER_MS` while a call is in flight or a retry is scheduled.
    sample_count : int
        Number of random samples taken for the times of polls.
    """

    settings: DiscoverySettings
    codec: StoreEntryCodec
    chart_state: str
    instance_id: str = ""
    revision: int = 0
    table: ForwardingTable | None = None
    targets: Map[str, RegisteredTarget] = field(default_factory=Map)
    instances: Map[str, RegisteredInstance] = field(default_factory=Map)
    lapsed: Map[str, float] = field(default_factory=Map)
    refused: Map[str, str] = field(default_factory=Map)
    drained: Map[str, DrainReport] = field(default_factory=Map)
    targets_discovered: bool = False
    failures: int = 0
    replied_at_ms: float = NEVER_MS
    regained_at_ms: float = NEVER_MS
    lease_id: int | None = None
    registration: RegisteredInstance | None = None
    live_instances: int = 1
    announced_revision: int = 0
    unconfirmed_revision: int = 0
    next_poll_at_ms: float = NEVER_MS
    sample_count: int = 0


def make_null_codec() -> StoreEntryCodec:
    """Return a codec for an instance without discovery, to which every entry is unrelated."""
    return StoreEntryCodec(lambda key, value: UnrelatedEntry(), lambda instance: b"")
