"""Searches: requests of callers, and the answers and refusals that they get."""

from dataclasses import dataclass
from enum import Enum

from savoryarch.model._declarations import Priority


@dataclass(frozen=True, slots=True, order=True)
class SnapshotId:
    """A consistent version of the indexes of all shards of a shard map.

    Parameters
    ----------
    shard_map : int
        Version of the shard map, which determines the partitioning.
    index : int
        Version of the indexes.
    """

    shard_map: int
    index: int

    def __str__(self) -> str:
        return f"{self.shard_map}.{self.index}"


class LeftOutReason(Enum):
    """Why a shard is missing from an answer."""

    LATE = "late"  # no reply in time
    REFUSED = "refused"  # targets refused it, or none had capacity in time
    LOST = "lost"  # a connection or a target failed
    SNAPSHOT = "snapshot"  # no target serves it at the snapshot of the answer
    CUT_SHORT = "cut_short"  # the target searched only a part of it
    MALFORMED = "malformed"  # the reply could not be decoded
    NO_TARGET = "no_target"  # no target serves it at any snapshot
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
    """A shard that is missing from an answer.

    Parameters
    ----------
    service : str
        Name of the shard's service.
    reason : LeftOutReason
        Why it is missing.
    """

    service: str
    reason: LeftOutReason


@dataclass(frozen=True, slots=True)
class Coverage:
    """The shards that an answer covers.

    Parameters
    ----------
    asked : int
        Number of shards of the snapshot's shard map.
    answered : int
        Number of shards whose complete part is in the answer.
    left_out : tuple of LeftOut
        The other shards, with the reasons.
    """

    asked: int
    answered: int
    left_out: tuple[LeftOut, ...] = ()


@dataclass(frozen=True, slots=True)
class SearchRequested:
    """Event: a caller requests a declared search.

    Parameters
    ----------
    request_id : str
        Unique within this instance and incarnation.
    search : str
        Name of the declared search.
    caller : str
        Name of the caller; empty if the request has none.
    query : bytes
        The query as JSON, passed to targets unchanged.
    deadline_at_ms : float or None
        The caller's deadline, on the clock of the process. The declared deadline holds if it is
        earlier, or if this one is None.
    priority : Priority or None
        Priority class of the request; None for the declared one.
    """

    request_id: str
    search: str
    caller: str
    query: bytes
    deadline_at_ms: float | None = None
    priority: Priority | None = None


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Event: the caller closed its connection before it was answered."""

    request_id: str


@dataclass(frozen=True, slots=True)
class Part:
    """The complete reply of one shard.

    Parameters
    ----------
    service : str
        Name of the shard's service.
    records : bytes
        The records as a JSON array, passed to the caller unchanged.
    """

    service: str
    records: bytes


@dataclass(frozen=True, slots=True)
class SearchAnswered:
    """An answer from one snapshot.

    Parameters
    ----------
    snapshot : SnapshotId
        The snapshot that all parts come from.
    coverage : Coverage
        The shards that the parts cover.
    parts : tuple of Part
        One part per answered shard.
    """

    snapshot: SnapshotId
    coverage: Coverage
    parts: tuple[Part, ...]


@dataclass(frozen=True, slots=True)
class Refused:
    """The refusal of a request.

    Parameters
    ----------
    reason : RefusalReason
        Tag for the caller, the counters and the logs.
    detail : str
        Text that says what was found and what was expected.
    not_run : bool
        True only if no target can have run any of the request.
    retry_after_ms : float or None
        Time in ms after which a resend may succeed; None if it is not known.
    """

    reason: RefusalReason
    detail: str
    not_run: bool
    retry_after_ms: float | None = None


SearchOutcome = SearchAnswered | Refused


@dataclass(frozen=True, slots=True)
class AnswerSearch:
    """Effect: send the caller its outcome, exactly once per request."""

    request_id: str
    outcome: SearchOutcome
