"""State of searches: the queries, their pending shards and their attempts."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from savoryarch.admission import AdmissionSettings, AdmissionState, make_admission_state
from savoryarch.model import (
    Declarations,
    LeftOutReason,
    Part,
    Preference,
    Priority,
    RefusalReason,
    Search,
    SearchRequested,
    SnapshotId,
)
from savoryarch.quarantine import (
    QuarantineSettings,
    QuarantineState,
    make_quarantine_state,
)
from savoryarch.search._settings import SearchSettings
from savoryarch.utils import Budget

_ADMISSION = AdmissionSettings()
_QUARANTINE = QuarantineSettings()


class Purpose(Enum):
    """Why an attempt is sent; hedges and retries draw on the extra-load budget."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"
    TRIAL = "trial"  # a copy of the first attempt, to find out whether a slow target has recovered
    RESEND = "resend"  # of an attempt that a target refused, so that nothing of it has run


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt that has not ended: a sub-request that was sent to one target.

    Parameters
    ----------
    attempt_id : str
        Unique within this instance and incarnation.
    request_id : str
        Id of the request that it belongs to.
    service, target_id : str
        The shard, and the replica that it was sent to.
    chart_state : str
        State in the chart ``attempt``.
    purpose : Purpose
        Why it was sent.
    snapshot : SnapshotId
        The snapshot that it requests.
    started_at_ms : float
        When it was sent.
    """

    attempt_id: str
    request_id: str
    service: str
    target_id: str
    chart_state: str
    purpose: Purpose
    snapshot: SnapshotId
    started_at_ms: float


@dataclass(frozen=True, slots=True)
class PendingShard:
    """A shard of a query that is neither answered nor left out.

    Parameters
    ----------
    attempt_ids : tuple of str
        Its attempts in flight, the oldest first; cancelled attempts and trials are not among them.
    attempted_target_ids : frozenset of str
        Targets that its next attempt avoids, since they got one before. Targets that shed it are
        not among them.
    retries : int
        Number of retries sent.
    next_check_at_ms : float
        When its attempts are next checked for being overdue.
    last_failure : LeftOutReason or None
        Why its last failed attempt failed; None if none has failed.
    """

    attempt_ids: tuple[str, ...] = ()
    attempted_target_ids: frozenset[str] = frozenset()
    retries: int = 0
    next_check_at_ms: float = float("inf")
    last_failure: LeftOutReason | None = None


@dataclass(frozen=True, slots=True)
class Query:
    """One search of a caller that has not been answered.

    Parameters
    ----------
    request : SearchRequested
        The request as received.
    search : Search
        The search as it was declared on arrival.
    received_at_ms : float
        When the request arrived.
    deadline_at_ms : float
        The earlier of the caller's deadline and the declared one.
    priority : Priority
        Priority class of the request, or else that of the search.
    fingerprint : str
        Equal for equal queries of the same search; the quarantine identifies queries by it.
    chart_state : str
        State in the chart ``query``.
    admitted_at_ms : float
        When it was admitted and fanned out.
    snapshot : SnapshotId or None
        The snapshot that all parts of the answer come from; None before the admission.
    services : tuple of str
        The shards of the snapshot's shard map, in declared order.
    pending : Map
        `PendingShard` by service.
    parts : Map
        `Part` by service.
    left_out : Map
        `LeftOutReason` by service.
    may_have_run_count : int
        Number of sub-requests that a target may have run.
    restarts : int
        Number of restarts at another snapshot.
    next_check_at_ms : float
        When the timer is due that checks its attempts for being overdue.
    shed_count : int
        Number of sub-requests that targets shed.
    refusal : RefusalReason
        The reason that is given if it is refused.
    retry_after_ms : float or None
        Time in ms after which a resend may succeed, if it is refused; None if it is not known.
    """

    request: SearchRequested
    search: Search
    received_at_ms: float
    deadline_at_ms: float
    priority: Priority
    fingerprint: str
    chart_state: str
    admitted_at_ms: float = 0.0
    snapshot: SnapshotId | None = None
    services: tuple[str, ...] = ()
    pending: Map[str, PendingShard] = field(default_factory=Map)
    parts: Map[str, Part] = field(default_factory=Map)
    left_out: Map[str, LeftOutReason] = field(default_factory=Map)
    may_have_run_count: int = 0
    restarts: int = 0
    next_check_at_ms: float = float("inf")
    shed_count: int = 0
    refusal: RefusalReason = RefusalReason.COVERAGE_TOO_LOW
    retry_after_ms: float | None = None

    @property
    def request_id(self) -> str:
        """Id of the request, unique within this instance and incarnation."""
        return self.request.request_id

    @property
    def prefers_latency(self) -> bool:
        """Whether an early answer is preferred to one with all shards."""
        return self.search.prefer is Preference.LATENCY


@dataclass(frozen=True, slots=True)
class ChosenSnapshot:
    """The snapshot for new queries of a search, valid until the served snapshots change.

    Parameters
    ----------
    revision : int
        `TargetsState.snapshots_revision` when it was chosen.
    snapshot : SnapshotId or None
        The snapshot; None if no shard serves any.
    """

    revision: int
    snapshot: SnapshotId | None


@dataclass(frozen=True, slots=True)
class SearchState:
    """State of all searches of this instance.

    Parameters
    ----------
    settings : SearchSettings
        Fixed while the process runs.
    admission : AdmissionState
        Queries that run, and queries that wait for admission.
    quarantine : QuarantineState
        Queries that are suspected or known to crash targets.
    declarations : Declarations
        Declarations in force at this instance.
    queries : Map
        `Query` by request id.
    attempts : Map
        `Attempt` by attempt id, also cancelled attempts and those of queries that have ended.
    waiting : Map
        Ids of the requests whose shard waits for capacity, by service; the most urgent first.
    budgets : Map
        `Budget` of extra sub-requests by search.
    chosen_snapshots : Map
        `ChosenSnapshot` by search.
    median_duration_ms : Map
        By search, a running estimate of the median time from admission to answer.
    wake_at_ms : float or None
        When admission control has to be called next; the admission timer is set for it.
    live_peers : frozenset of str
        Ids of the live peers.
    attempts_sent : int
        Number of attempts sent, which is also the number of the next attempt.
    stopping : bool
        Whether new requests are refused because this instance stops.
    """

    settings: SearchSettings
    admission: AdmissionState
    quarantine: QuarantineState
    declarations: Declarations = field(default_factory=Declarations)
    queries: Map[str, Query] = field(default_factory=Map)
    attempts: Map[str, Attempt] = field(default_factory=Map)
    waiting: Map[str, tuple[str, ...]] = field(default_factory=Map)
    budgets: Map[str, Budget] = field(default_factory=Map)
    chosen_snapshots: Map[str, ChosenSnapshot] = field(default_factory=Map)
    median_duration_ms: Map[str, float] = field(default_factory=Map)
    wake_at_ms: float | None = None
    live_peers: frozenset[str] = frozenset()
    attempts_sent: int = 0
    stopping: bool = False


def make_search_state(
    settings: SearchSettings,
    admission: AdmissionSettings = _ADMISSION,
    quarantine: QuarantineSettings = _QUARANTINE,
) -> SearchState:
    """Return the initial state of an instance, without declarations."""
    return SearchState(
        settings=settings,
        admission=make_admission_state(admission),
        quarantine=make_quarantine_state(quarantine),
    )


def unfinished_requests(state: SearchState) -> tuple[str, ...]:
    """Return the ids of the requests that have not been answered."""
    return tuple(state.queries)
