"""Calls to the platform's key-value store, and the replies of the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReadKey:
    """Read one key; the reply is `KeyRead` or `KeyAbsent`."""

    call_id: str
    key: str


@dataclass(frozen=True, slots=True)
class SwapKey:
    """Write a key if its revision is `expected_revision` (0 if the key must not exist).

    The reply is `Swapped` or `SwapConflict`.
    """

    call_id: str
    key: str
    value: bytes
    expected_revision: int


@dataclass(frozen=True, slots=True)
class ListKeys:
    """Read all keys that have a prefix; the reply is `KeysListed`."""

    call_id: str
    prefix: str


@dataclass(frozen=True, slots=True)
class WatchKeys:
    """Wait up to `wait_ms` for changes after a revision of the keys that have a prefix.

    The reply is `KeysChanged` or `WatchCompacted`.
    """

    call_id: str
    prefix: str
    since_revision: int
    wait_ms: float


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Request a lease of `ttl_ms`; the store deletes the keys attached to it when it ends.

    The reply is `LeaseGranted`.
    """

    call_id: str
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class KeepLease:
    """Renew a lease; the reply is `LeaseGranted` or `LeaseEnded`."""

    call_id: str
    lease_id: int


@dataclass(frozen=True, slots=True)
class PutLeased:
    """Write a key and attach it to a lease; the reply is `Swapped` or `LeaseEnded`."""

    call_id: str
    key: str
    value: bytes
    lease_id: int


@dataclass(frozen=True, slots=True)
class LeaseGranted:
    """The lease lasts for `ttl_ms` from the time of the call."""

    lease_id: int
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class LeaseEnded:
    """The lease has ended, and the store has deleted its keys."""


@dataclass(frozen=True, slots=True)
class KeyRead:
    """Value of a key, and the revision of the store that wrote it."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class KeyAbsent:
    """The key does not exist; `revision` is the current revision of the store."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class Swapped:
    """The write took effect as `revision`."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class SwapConflict:
    """The write had no effect, because the key is at `revision` and not at the expected one."""

    key: str
    revision: int


@dataclass(frozen=True, slots=True)
class KeyChange:
    """One change of a watched key; `value` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclass(frozen=True, slots=True)
class KeysListed:
    """All keys that have the prefix, as of one revision of the store."""

    entries: tuple[KeyRead, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class KeysChanged:
    """Changes after the requested revision up to `revision`; none if the watch timed out."""

    changes: tuple[KeyChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class WatchCompacted:
    """The changes after the requested revision cannot be read; list the keys again.

    The store no longer has them, or they are too large together.
    """

    revision: int


@dataclass(frozen=True, slots=True)
class StoreLimited:
    """Reply to any call: the store refused it because of its rate limit; it had no effect."""


@dataclass(frozen=True, slots=True)
class StoreUnreachable:
    """Stands for the reply to any call if no usable one came; a write may have taken effect."""

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
    """The store replied to the call `call_id`, which starts with the component (``orders/...``)."""

    call_id: str
    reply: StoreReply
