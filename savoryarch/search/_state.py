"""Queries, their shards and their attempts."""

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
    TRIAL = "trial"  # beside the first, to learn whether a slow target has recovered
    RESEND = "resend"  # of an attempt that a target shed, so that nothing has run


@dataclass(frozen=True, slots=True)
class Attempt:
    """One sub-request that has not ended.

    Parameters
    ----------
    attempt_id, request_id, service, target_id : str
        What it is, for whom, of which shard and where.
    life : str
        State in the chart ``attempt``.
    purpose : Purpose
        Why it was sent.
    snapshot : SnapshotId
        What it asked for.
    begun_at_ms : float
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
    """A shard whose part is still expected.

    Parameters
    ----------
    attempt_ids : tuple of str
        Its wanted attempts in flight, the oldest first.
    tried : frozenset of str
        Targets that were asked.
    retries : int
        Retries sent.
    check_at_ms : float
        When its slowness is judged next.
    failure : LeftOutReason or None
        Of its last attempt that failed.
    """

    attempt_ids: tuple[str, ...] = ()
    attempted_target_ids: frozenset[str] = frozenset()
    retries: int = 0
    next_check_at_ms: float = float("inf")
    last_failure: LeftOutReason | None = None


@dataclass(frozen=True, slots=True)
class Query:
    """One search of a caller that has no answer yet.

    Parameters
    ----------
    asked : SearchRequested
        What the caller asked.
    search : Search
        As declared when it was asked.
    asked_at_ms, deadline_at_ms : float
        When it was asked, and when the answer is due.
    priority : Priority
        The caller's or the declared one.
    fingerprint : str
        Equal for equal queries of the same search.
    life : str
        State in the chart ``query``.
    admitted_at_ms : float
        When it was fanned out.
    snapshot : SnapshotId or None
        The only snapshot of the answer.
    services : tuple of str
        The shards of the snapshot's shard map.
    pending : Map
        `Shard` by service; those without an outcome.
    parts : Map
        `Part` by service.
    left_out : Map
        `LeftOutReason` by service.
    may_have_run : int
        Sub-requests that a target may have run.
    restarts : int
        Times that it was restarted at another snapshot.
    check_at_ms : float
        When the timer is due that judges the slowness of its attempts.
    sheds : int
        Sub-requests that targets shed.
    refusal : RefusalReason
        Why it is refused, if it is.
    retry_after_ms : float or None
        When a resend may succeed, if it is refused.
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
        """Id of the caller's request."""
        return self.request.request_id

    @property
    def prefers_latency(self) -> bool:
        """Whether the search is answered early rather than whole."""
        return self.search.prefer is Preference.LATENCY


@dataclass(frozen=True, slots=True)
class ChosenSnapshot:
    """The snapshot that new queries of a search use, until what is served changes.

    Parameters
    ----------
    revision : int
        `TargetsState.snapshots_revision` when it was chosen.
    snapshot : SnapshotId or None
        None if no shard serves any.
    """

    revision: int
    snapshot: SnapshotId | None


@dataclass(frozen=True, slots=True)
class SearchState:
    """All searches of this instance.

    Parameters
    ----------
    settings : SearchSettings
        Fixed from start to end.
    admission : AdmissionState
        Who runs and who waits.
    quarantine : QuarantineState
        Queries that crash targets.
    declarations : Declarations
        In force here.
    queries : Map
        `Query` by request id; those without an answer.
    attempts : Map
        `Attempt` by attempt id; those that have not ended, wanted or not.
    waiting : Map
        Request ids by service, of the shards that wait for room at a target.
    budgets : Map
        `Budget` by search.
    chosen : Map
        `ChosenSnapshot` by search.
    usual_ms : Map
        How long answered queries take, by search.
    wake_at_ms : float or None
        When the admission timer is due.
    peers : frozenset of str
        Live peers.
    sent : int
        Attempts sent; the next attempt id.
    stopping : bool
        Whether new requests are refused.
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
    """Make the state of an instance that has no configuration yet."""
    return SearchState(
        settings=settings,
        admission=make_admission_state(admission),
        quarantine=make_quarantine_state(quarantine),
    )


def unfinished_requests(state: SearchState) -> tuple[str, ...]:
    """Return the ids of the requests that have no answer yet."""
    return tuple(state.queries)
