"""State, events, effects and counters of one target stand-in."""

from dataclasses import dataclass, field
from enum import Enum

from immutables import Map

from savoryarch.utils import NAME, Boolean, Number, OneOf, Text, setting

_SHARE = Number(0, 1)
_TIME_MS = Number(0, 3_600_000)
_SNAPSHOT_LIST = Text(r"\d+\.\d+(,\d+\.\d+)*", "1.1,1.2")


class HealthReport(Enum):
    """What ``GET /health`` reports: the true state, a fixed state, or an error."""

    TRUTH = "truth"
    LIVE = "live"
    DRAINING = "draining"
    COLD = "cold"
    FAILURE = "failure"


class LoadReport(Enum):
    """What ``GET /load`` and the ``x-load`` header report: the true load, a fixed one, or none."""

    TRUTH = "truth"
    EMPTY = "empty"
    FULL = "full"
    NEGATIVE = "negative"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Properties of a target that tests can change while it runs."""

    service_median_ms: float = setting(_TIME_MS, "median service time", 10.0)
    service_sigma: float = setting(Number(0, 5), "sigma of the lognormal service time", 0.3)
    straggler_share: float = setting(_SHARE, "share of requests that are stragglers", 0.0)
    straggler_factor: float = setting(
        Number(1, 1000), "factor on the service time of stragglers", 20.0
    )
    slow_factor: float = setting(Number(0.01, 1000), "factor on all service times", 1.0)
    cold_start_ms: float = setting(_TIME_MS, "time that the target is cold after a start", 0.0)
    cold_factor: float = setting(Number(1, 1000), "factor on service times while cold", 3.0)
    restart_ms: float = setting(_TIME_MS, "time from a crash to the restart", 200.0)
    exits_on_crash: bool = setting(Boolean(), "whether a crash ends the process", False)
    crash_word: str = setting(
        Text(r".*", "poison"), "requests with this word in the body crash the target", ""
    )
    snapshots: str = setting(_SNAPSHOT_LIST, "served snapshots, oldest first", "1.1,1.2")
    answers_from: str = setting(Text(r"(\d+\.\d+)?", "1.2"), "snapshot of all replies, if set", "")
    record_count: int = setting(
        Number(0, 100_000, integer=True), "number of records in the shard map", 60
    )
    shed_share: float = setting(_SHARE, "share of requests shed despite free slots", 0.0)
    failure_share: float = setting(_SHARE, "share of requests that fail with status 500", 0.0)
    cut_short_share: float = setting(_SHARE, "share of parts that are incomplete", 0.0)
    malformed_share: float = setting(_SHARE, "share of replies that are not valid JSON", 0.0)
    crosses_replies: bool = setting(
        Boolean(), "whether a run gets the reply of the previous run", False
    )
    retry_after_ms: float = setting(_TIME_MS, "retry-after time of shed requests", 20.0)
    health: HealthReport = setting(OneOf(HealthReport), "reported health", HealthReport.TRUTH)
    health_lag_ms: float = setting(_TIME_MS, "greatest age of the reported health", 0.0)
    load: LoadReport = setting(OneOf(LoadReport), "reported load", LoadReport.TRUTH)
    load_lag_ms: float = setting(_TIME_MS, "greatest age of the reported load", 0.0)


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """A declared target.

    `shard_maps` holds the services of each shard map by the version of the map.
    """

    target_id: str = setting(NAME, "name of the target")
    service: str = setting(NAME, "service that the target is a replica of")
    slots: int = setting(Number(1, 1000, integer=True), "concurrent requests", 2)
    connection_limit: int = setting(Number(1, 10_000, integer=True), "open connections", 25)
    availability_zone: str = setting(NAME, "zone of the target", "zone-a")
    port: int = setting(Number(0, 65535, integer=True), "TCP port; 0 takes a free one", 0)
    shard_maps: Map[int, tuple[str, ...]] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class SearchWork:
    """A search of the shard at one snapshot."""

    snapshot: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RouteWork:
    """A request of a route."""

    route: str
    idempotency_key: str
    body: bytes


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request arrived.

    `exchange_id` identifies the HTTP request that is to be answered; unlike `request_id`, which
    the sender chooses, it is unique within the process.
    """

    exchange_id: int
    request_id: str
    deadline_at_ms: float
    work: SearchWork | RouteWork


@dataclass(frozen=True, slots=True)
class RunFinished:
    """The service time of a run has elapsed."""

    exchange_id: int


@dataclass(frozen=True, slots=True)
class RunExpired:
    """The deadline of a run has passed."""

    exchange_id: int


@dataclass(frozen=True, slots=True)
class CancelRequested:
    """The sender asked to cancel a request."""

    request_id: str


@dataclass(frozen=True, slots=True)
class BehaviourChanged:
    """A test replaced the behaviour."""

    behaviour: Behaviour


@dataclass(frozen=True, slots=True)
class ChartEventTriggered:
    """A test or a timer triggered an event of the chart, such as ``drain`` or ``warmed``.

    If `incarnation` is set, the event is ignored in later incarnations of the target.
    """

    chart_event: str
    incarnation: int | None = None


@dataclass(frozen=True, slots=True)
class ConnectionCountChanged:
    """A connection was opened, closed, or refused because of the connection limit."""

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
    """Effect: answer an HTTP request, and close its connection if `closes_connection`."""

    exchange_id: int
    request_id: str
    status: int
    body: bytes
    closes_connection: bool = False


@dataclass(frozen=True, slots=True)
class ScheduleEvent:
    """Effect: feed `event` to the target at `at_ms`."""

    at_ms: float
    event: TargetEvent


@dataclass(frozen=True, slots=True)
class DropConnections:
    """Effect: abort all connections without a reply, and end the process if `exits_process`."""

    exits_process: bool


TargetEffect = Reply | ScheduleEvent | DropConnections


@dataclass(frozen=True, slots=True)
class Counts:
    """Counters of a target since the start of the process, as ``GET /counts`` returns them.

    Parameters
    ----------
    runs : int
        Requests that were started.
    sheds : int
        Requests that were refused for want of a free slot, or at random by ``shed_share``.
    cancelled : int
        Runs that ended because their sender cancelled them.
    expired : int
        Runs that ended because their deadline passed.
    crashes : int
        Crashes of the target.
    held : int
        Events that were held while the target was frozen.
    refused_draining : int
        Requests that were refused while the target was draining.
    snapshot_refusals : int
        Searches that were refused because the target does not serve their snapshot.
    max_in_flight, max_connections : int
        Greatest number of concurrent runs and of open connections.
    connections_refused, connections_opened : int
        Connections that were refused because of the limit, and that were opened.
    runs_per_key : Map
        Route requests that were started, by idempotency key.
    """

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
    """A reported value and when it was sampled."""

    sampled_at_ms: float
    value: str


@dataclass(frozen=True, slots=True)
class TargetStandinState:
    """State of one target stand-in.

    Parameters
    ----------
    spec : TargetSpec
        The declared target.
    behaviour : Behaviour
        The present behaviour.
    seed : int
        Seed of the random draws.
    draw_count : int
        Number of random draws so far.
    chart_state : str
        Present state in the chart ``target.ini``.
    incarnation : int
        Increases with each crash.
    in_flight : Map
        Running requests by exchange id.
    held_events : tuple of TargetEvent
        Events that arrived while the target was frozen.
    last_reply : Reply or None
        Reply of the previous run, which is sent again if replies are crossed.
    open_connections : int
        Number of open connections.
    counts : Counts
        Counters since the start of the process.
    health_sample, load_sample : ReportSample or None
        Last reported health and load, which are reported again until their lag has elapsed.
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
