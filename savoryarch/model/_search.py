"""Searches: what a caller asks, what targets reply, and what the caller gets."""

from dataclasses import dataclass
from enum import Enum

from savoryarch.model._declarations import Priority


@dataclass(frozen=True, slots=True, order=True)
class SnapshotId:
    """One version of the indexes over one version of the partitioning.

    Parameters
    ----------
    shard_map : int
        Version of the shard map.
    index : int
        Version of the index.
    """

    shard_map: int
    index: int

    def __str__(self) -> str:
        return f"{self.shard_map}.{self.index}"


class LeftOutReason(Enum):
    """Why a shard is missing from an answer."""

    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"
    SNAPSHOT = "snapshot"
    CUT_SHORT = "cut_short"
    MALFORMED = "malformed"
    NO_TARGET = "no_target"
    QUARANTINED = "quarantined"


class RefusalReason(Enum):
    """Why a request was refused."""

    UNKNOWN_SEARCH = "unknown_search"
    UNKNOWN_ROUTE = "unknown_route"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_SHORT = "deadline_too_short"
    COVERAGE_TOO_LOW = "coverage_too_low"
    NO_SNAPSHOT = "no_snapshot"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    NO_CONFIGURATION = "no_configuration"
    KEY_MISSING = "key_missing"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    STORE_UNAVAILABLE = "store_unavailable"
    NO_TARGET = "no_target"


@dataclass(frozen=True, slots=True)
class LeftOut:
    """A shard that is missing from an answer."""

    service: str
    reason: LeftOutReason


@dataclass(frozen=True, slots=True)
class Coverage:
    """Which shards an answer holds.

    Parameters
    ----------
    asked : int
        Shards of the snapshot's shard map.
    answered : int
        Shards whose part is whole and in the answer.
    left_out : tuple of LeftOut
        Every other shard with the reason.
    """

    asked: int
    answered: int
    left_out: tuple[LeftOut, ...] = ()


@dataclass(frozen=True, slots=True)
class SearchRequested:
    """A caller asks a declared search.

    Parameters
    ----------
    request_id : str
        Unique within this instance and incarnation.
    search : str
        Name of the declared search.
    caller : str
        Name of the caller; empty if it gave none.
    query : bytes
        The query as JSON, passed to targets unchanged.
    deadline_at_ms : float or None
        The caller's own deadline on the clock of the process, if earlier than the declared one.
    priority : Priority or None
        Overrides the declared priority class.
    """

    request_id: str
    search: str
    caller: str
    query: bytes
    deadline_at_ms: float | None = None
    priority: Priority | None = None


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection before the answer."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Part:
    """The whole reply of one shard.

    Parameters
    ----------
    service : str
        The shard.
    records : bytes
        JSON array, passed to the caller unchanged.
    """

    service: str
    records: bytes


@dataclass(frozen=True, slots=True)
class SearchAnswered:
    """An answer from one snapshot.

    Parameters
    ----------
    snapshot : SnapshotId
        The only snapshot that the parts come from.
    coverage : Coverage
        What the parts hold of it.
    parts : tuple of Part
        One per answered shard.
    """

    snapshot: SnapshotId
    coverage: Coverage
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """A request that got no answer.

    Parameters
    ----------
    reason : RefusalReason
        Tag for the caller, the counters and the logs.
    detail : str
        What was got and what was expected.
    not_run : bool
        True only if no target can have run any of it.
    retry_after_ms : float or None
        When a resend may succeed.
    """

    reason: RefusalReason
    detail: str
    not_run: bool
    retry_after_ms: float | None = None


SearchOutcome = SearchAnswered | Refused


@dataclass(frozen=True, slots=True)
class AnswerSearch:
    """Give the caller its outcome, exactly once per request."""

    request_id: str
    outcome: SearchOutcome
