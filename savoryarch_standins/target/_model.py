"""State, events and effects of one target stand-in."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from savoryarch.utils import NAME, Boolean, Number, OneOf, Text, setting

_SHARE = Number(0, 1)
_TIME_MS = Number(0, 3_600_000)
_SNAPSHOT_LIST = Text(r"\d+\.\d+(,\d+\.\d+)*", "1.1,1.2")


class HealthReport(Enum):
    """What the health endpoint says."""

    TRUTH = "truth"
    LIVE = "live"
    DRAINING = "draining"
    COLD = "cold"
    FAILURE = "failure"


class LoadReport(Enum):
    """What the load endpoint and the ``x-load`` header say."""

    TRUTH = "truth"
    EMPTY = "empty"
    FULL = "full"
    NEGATIVE = "negative"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Everything about a target that tests may change while it runs."""

    service_median_ms: float = setting(_TIME_MS, "median of the service time", 10.0)
    service_sigma: float = setting(Number(0, 5), "sigma of the lognormal service time", 0.3)
    straggler_share: float = setting(_SHARE, "share of the requests that are stragglers", 0.0)
    straggler_factor: float = setting(Number(1, 1000), "service time of stragglers", 20.0)
    slow_factor: float = setting(Number(0.01, 1000), "service time of every request", 1.0)
    cold_start_ms: float = setting(_TIME_MS, "how long the target is cold after a start", 0.0)
    cold_factor: float = setting(Number(1, 1000), "service time while cold", 3.0)
    restart_ms: float = setting(_TIME_MS, "how long a crashed target stays away", 200.0)
    exits_on_crash: bool = setting(Boolean(), "whether a crash ends the process", False)
    crash_word: str = setting(Text(r".*", "poison"), "a request with this word crashes it", "")
    snapshots: str = setting(
        _SNAPSHOT_LIST, "the snapshots that it serves, oldest first", "1.1,1.2"
    )
    answers_from: str = setting(Text(r"(\d+\.\d+)?", "1.2"), "answer from this snapshot", "")
    record_count: int = setting(Number(0, 100_000, integer=True), "records of the shard map", 60)
    shed_share: float = setting(_SHARE, "share of the requests shed with free slots", 0.0)
    failure_share: float = setting(_SHARE, "share of the requests that fail with 500", 0.0)
    cut_short_share: float = setting(_SHARE, "share of the parts that are incomplete", 0.0)
    malformed_share: float = setting(_SHARE, "share of the replies that are not JSON", 0.0)
    crosses_replies: bool = setting(Boolean(), "whether a reply is that of the run before", False)
    retry_after_ms: float = setting(_TIME_MS, "what a shed request is told", 20.0)
    health: HealthReport = setting(OneOf(HealthReport), "what health says", HealthReport.TRUTH)
    health_lag_ms: float = setting(_TIME_MS, "age of what health says", 0.0)
    load: LoadReport = setting(OneOf(LoadReport), "what load says", LoadReport.TRUTH)
    load_lag_ms: float = setting(_TIME_MS, "age of what load says", 0.0)


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """What a target stand-in is declared as."""

    target_id: str = setting(NAME, "name of the target")
    service: str = setting(NAME, "the service that it serves")
    slots: int = setting(Number(1, 1000, integer=True), "requests that run at a time", 2)
    connection_limit: int = setting(Number(1, 10_000, integer=True), "open connections", 25)
    availability_zone: str = setting(NAME, "where it runs", "zone-a")
    port: int = setting(Number(0, 65535, integer=True), "TCP port; 0 takes a free one", 0)
    shard_maps: Map[int, tuple[str, ...]] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class SearchWork:
    """Search the shard at one snapshot."""

    snapshot: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RouteWork:
    """Run one request of a route."""

    route: str
    idempotency_key: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request came in; `exchange` tells its connection's exchange apart."""

    exchange_id: int
    request_id: str
    deadline_at_ms: float
    work: SearchWork | RouteWork


@dataclass(frozen=True, slots=True)
class RunFinished:
    """The service time of a run is over."""

    exchange_id: int


@dataclass(frozen=True, slots=True)
class RunExpired:
    """The deadline of a run has passed."""

    exchange_id: int


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """A caller no longer wants a request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class BehaviourChanged:
    """A test changed the behaviour."""

    behaviour: Behaviour


@dataclass(frozen=True, slots=True)
class ChartEventTriggered:
    """A test or a timer drives the chart: ``drain``, ``freeze``, ``crash``, ``warmed``, ..."""

    chart_event: str
    incarnation: int | None = None


@dataclass(frozen=True, slots=True)
class ConnectionCountChanged:
    """A connection opened or closed; `refused` if it was above the limit."""

    open_count: int
    is_refused: bool = False


TargetEvent = (
    RequestReceived
    | RunFinished
    | RunExpired
    | CancelRequested
    | BehaviourChanged
    | ChartEventTriggered
    | ConnectionCountChanged
)


@dataclass(frozen=True, slots=True)
class Reply:
    """Answer an exchange."""

    exchange_id: int
    request_id: str
    status: int
    body: bytes
    closes_connection: bool = False


@dataclass(frozen=True, slots=True)
class ScheduleEvent:
    """Feed `event` back at a time."""

    at_ms: float
    event: TargetEvent


@dataclass(frozen=True, slots=True)
class DropConnections:
    """Close every connection without a reply."""

    exits_process: bool


TargetEffect = Reply | ScheduleEvent | DropConnections


@dataclass(frozen=True, slots=True)
class Counts:
    """What a test reads from a target; counts are since the start of the process."""

    runs: int = 0
    sheds: int = 0
    cancelled: int = 0
    expired: int = 0
    crashes: int = 0
    held: int = 0
    refused_draining: int = 0
    snapshot_refusals: int = 0
    max_in_flight: int = 0
    max_connections: int = 0
    connections_refused: int = 0
    connections_opened: int = 0
    runs_per_key: Map[str, int] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class ReportSample:
    """A report that may lag."""

    sampled_at_ms: float
    value: str


@dataclass(frozen=True, slots=True)
class TargetStandinState:
    """State of one target stand-in.

    Parameters
    ----------
    spec, behaviour : TargetSpec, Behaviour
        What it is and how it behaves now.
    seed, draws : int
        Seed of its random draws and how many were drawn.
    chart_state : str
        State of ``target.ini``.
    incarnation : int
        Ascends with each restart.
    in_flight : Map
        Running requests by exchange.
    held : tuple of TargetEvent
        What arrived while frozen.
    last_reply : Reply or None
        For crossed replies.
    """

    spec: TargetSpec
    behaviour: Behaviour
    seed: int
    draw_count: int = 0
    chart_state: str = "cold"
    incarnation: int = 1
    in_flight: Map[int, RequestReceived] = field(default_factory=Map)
    held_events: tuple[TargetEvent, ...] = ()
    last_reply: Reply | None = None
    open_connections: int = 0
    counts: Counts = field(default_factory=Counts)
    health_sample: ReportSample | None = None
    load_sample: ReportSample | None = None
