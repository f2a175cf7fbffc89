"""What this instance knows from the store, and how it keeps up."""

from collections.abc import Callable
from dataclasses import dataclass, field

from immutables import Map

from savoryarch.discovery._settings import DiscoverySettings
from savoryarch.model.forwarding import (
    ForwardingTable,
    RegisteredInstance,
    RegisteredTarget,
)

NEVER_MS = float("-inf")


@dataclass(frozen=True, slots=True)
class MalformedEntry:
    """An entry that cannot be used, and why."""

    detail: str


@dataclass(frozen=True, slots=True)
class UnrelatedEntry:
    """An entry that does not concern the discovery."""


StoreEntry = (
    ForwardingTable | RegisteredTarget | RegisteredInstance | MalformedEntry | UnrelatedEntry
)


@dataclass(frozen=True, slots=True)
class StoreEntryCodec:
    """How entries of the store are read and written.

    Parameters
    ----------
    decode : callable
        Takes the key and value of an entry and returns a `StoreEntry`.
    encode_instance : callable
        Takes a `RegisteredInstance` and returns its value.
    """

    decode: Callable[[str, bytes], StoreEntry]
    encode_instance: Callable[[RegisteredInstance], bytes]


@dataclass(frozen=True, slots=True)
class DiscoveryState:
    """State of the discovery.

    Parameters
    ----------
    settings : DiscoverySettings
        Fixed from start to end.
    codec : StoreEntryCodec
        Reads and writes entries.
    life : str
        State in the chart ``discovery``.
    revision : int
        Changes up to this revision are known.
    table : ForwardingTable or None
        The newest one that was read.
    targets : Map
        `RegisteredTarget` by key.
    instances : Map
        `RegisteredInstance` by key.
    lapsed : Map
        By key of a target whose entry is missing, when it is taken for gone.
    known : bool
        Whether table and targets were read at least once.
    failures : int
        Calls that failed in a row.
    regained_at_ms : float
        When the store last came back after failures.
    lease_id : int or None
        Of this instance's registration.
    registration : RegisteredInstance or None
        This instance.
    live_instances : int
        Instances that share the looks at the store, this one included.
    told_revision : int
        The newest revision that this instance told its peers of, or was told of.
    doubted_revision : int
        A revision that it was told of and that its last look did not find.
    look_at_ms : float
        When the next look is due, after a look that succeeded.
    polls : int
        Draws made so far for the time of the next look.
    """

    settings: DiscoverySettings
    codec: StoreEntryCodec
    life: str
    revision: int = 0
    table: ForwardingTable | None = None
    targets: Map[str, RegisteredTarget] = field(default_factory=Map)
    instances: Map[str, RegisteredInstance] = field(default_factory=Map)
    lapsed: Map[str, float] = field(default_factory=Map)
    known: bool = False
    failures: int = 0
    regained_at_ms: float = NEVER_MS
    lease_id: int | None = None
    registration: RegisteredInstance | None = None
    live_instances: int = 1
    told_revision: int = 0
    doubted_revision: int = 0
    look_at_ms: float = NEVER_MS
    polls: int = 0


def make_null_codec() -> StoreEntryCodec:
    """Return a codec for an instance without discovery."""
    return StoreEntryCodec(lambda key, value: UnrelatedEntry(), lambda instance: b"")
