"""Declaration, switches, state and records of a target of forwarded requests."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetPlan:
    """A declared target.

    Parameters
    ----------
    name : str
        Name that the target registers under.
    service : str
        Service that the target is a replica of.
    slots : int
        Registered number of slots; the target refuses requests while twice as many are running.
    connection_limit : int
        Greatest number of open connections.
    """

    name: str
    service: str
    slots: int = 4
    connection_limit: int = 24


@dataclass(frozen=True, slots=True)
class TargetSwitches:
    """Behaviour of all targets of a process.

    Parameters
    ----------
    work_ms : float
        Service time of each request.
    refuse_share : float
        Share of requests that are refused without running.
    hold_ms : float
        Pause that a refusal asks for.
    fail_share : float
        Share of requests that run and get a reply with status 500.
    garble_share : float
        Share of replies that carry a wrong request id.
    double_share : float
        Share of replies that are sent twice.
    cut_share : float
        Share of replies that end within their body, as the connection is closed.
    silent_share : float
        Share of requests that run and get no reply.
    drop_idle_ms : float
        Time after a reply at which the connection is closed without notice if no request has come
        since; never if 0.
    crash_word : str
        A request with this word in its path crashes the target, which restarts after one second.
    """

    work_ms: float = 4.0
    refuse_share: float = 0.0
    hold_ms: float = 50.0
    fail_share: float = 0.0
    garble_share: float = 0.0
    double_share: float = 0.0
    cut_share: float = 0.0
    silent_share: float = 0.0
    drop_idle_ms: float = 0.0
    crash_word: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target.

    Parameters
    ----------
    at_ms : float
        Time of arrival on the monotonic clock of the machine.
    target : str
        Name of the target.
    service : str
        Service of the target.
    request_id : str
        Request id that the client chose.
    ran : bool
        Whether the target ran it, at least in part.
    draining : bool
        Whether the target was registered as draining.
    leaving : bool
        Whether the reply says that the target leaves.
    hold_ms : float
        Pause that the reply asks for; 0 if the request was not refused.
    """

    at_ms: float
    target: str
    service: str
    request_id: str
    ran: bool
    draining: bool
    leaving: bool = False
    hold_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class TargetState:
    """State of a target.

    Parameters
    ----------
    plan : TargetPlan
        The declared target.
    chart_state : str
        Present state in the chart ``forwarded_target``.
    started_at_unix_ms : int
        Unix time of the last start in milliseconds.
    running_count : int
        Number of running requests.
    open_connections : int
        Number of open connections.
    max_connections : int
        Greatest number of open connections so far; one above the limit if one was refused.
    draw_count : int
        Number of random draws so far.
    """

    plan: TargetPlan
    chart_state: str
    started_at_unix_ms: int
    running_count: int = 0
    open_connections: int = 0
    max_connections: int = 0
    draw_count: int = 0
