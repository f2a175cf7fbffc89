"""Calls on the platform's key-value store and its replies."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadKey:
    """Read one key; answered by `KeyRead` or `KeyAbsent`."""

    call_id: str
    key: str


@dataclass(frozen=True, slots=True)
class SwapKey:
    """Write one key if its revision is still `expected_revision` (0: if it does not exist)."""

    call_id: str
    key: str
    value: bytes
    expected_revision: int


@dataclass(frozen=True, slots=True)
class ListKeys:
    """Read every key with a prefix; answered by `KeysListed`."""

    call_id: str
    prefix: str


@dataclass(frozen=True, slots=True)
class WatchKeys:
    """Wait for changes of keys with a prefix after a revision; answered by `KeysChanged`."""

    call_id: str
    prefix: str
    since_revision: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Ask for a lease; the keys that are put under it go when it ends."""

    call_id: str
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class KeepLease:
    """Renew a lease; answered by `LeaseGranted` or `LeaseEnded`."""

    call_id: str
    lease_id: int


@dataclass(frozen=True, slots=True)
class PutLeased:
    """Write one key under a lease; answered by `Swapped` or `LeaseEnded`."""

    call_id: str
    key: str
    value: bytes
    lease_id: int


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The lease runs for `ttl_ms` from the call."""

    lease_id: int
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease does not exist any more, and neither do its keys."""


@dataclass(frozen=True, slots=True)
class KeyRead:
    """The key's value and the revision that wrote it."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class KeyAbsent:
    """The key does not exist; `revision` is the store's."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """The write took effect."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """The write had no effect, because the key is at another revision."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeyChange:
    """One change of a watched key; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class KeysListed:
    """Every key with the prefix, at one revision of the store."""

    entries: tuple[KeyRead, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class KeysChanged:
    """Changes after the asked revision (none if the wait ran out), up to `revision`."""

    changes: tuple[KeyChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchCompacted:
    """The asked revision is too old to watch from; list the keys again."""

    revision: int


@dataclass(frozen=True, slots=True)
class StoreLimited:
    """The store refused the call because of its rate limit; it had no effect."""


@dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """No usable reply came; a write may have taken effect."""

    detail: str


StoreCall = ReadKey | SwapKey | ListKeys | WatchKeys | GrantLease | KeepLease | PutLeased
StoreReply = (
    KeyRead
    | KeyAbsent
    | Swapped
    | SwapConflict
    | KeysListed
    | KeysChanged
    | WatchCompacted
    | LeaseGranted
    | LeaseEnded
    | StoreLimited
    | StoreUnreachable
)


@dataclass(frozen=True, slots=True)
class StoreReplied:
    """The reply to the store call `call_id` (``SUBJECT/...``)."""

    call_id: str
    reply: StoreReply
