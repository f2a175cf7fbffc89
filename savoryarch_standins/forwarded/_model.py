"""What a target of forwarded requests is, what it can be made to do, and what it records."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetPlan:
    """One target.

    Parameters
    ----------
    name : str
        Under which it registers.
    service : str
        The service of which it is a replica.
    slots : int
        Requests that it runs at a time; it refuses more than twice as many.
    connection_limit : int
        Connections that it accepts.
    """

    name: str
    service: str
    slots: int = 4
    connection_limit: int = 24


@dataclass(frozen=True, slots=True)
class TargetSwitches:
    """How all targets of a process behave.

    Parameters
    ----------
    work_ms : float
        Time that a request runs.
    refuse_share, fail_share : float
        Requests that are refused without running, and that run and end with status 500.
    garble_share, double_share, cut_share, silent_share : float
        Replies that repeat another request's id, come twice, end within their body, or never come.
    drop_idle_ms : float
        Age at which an idle connection is closed without notice; never if 0.
    crash_word : str
        A request with this word in its path ends the process's connections.
    """

    work_ms: float = 4.0
    refuse_share: float = 0.0
    fail_share: float = 0.0
    garble_share: float = 0.0
    double_share: float = 0.0
    cut_share: float = 0.0
    silent_share: float = 0.0
    drop_idle_ms: float = 0.0
    crash_word: str = ""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request that reached a target.

    Parameters
    ----------
    at_ms : float
        On the steady clock of the machine.
    target : str
        Name of the target.
    service : str
        Its service.
    request_id : str
        The client's.
    ran : bool
        Whether it ran, at least in part.
    draining : bool
        Whether the target had said that it drains.
    """

    at_ms: float
    target: str
    service: str
    request_id: str
    ran: bool
    draining: bool


@dataclass(frozen=True, slots=True)
class TargetState:
    """One target at work.

    Parameters
    ----------
    plan : TargetPlan
        What it is.
    life : str
        State in the chart ``forwarded_target``.
    born_ms : int
        Unix time of its start in milliseconds.
    running : int
        Requests that run.
    connections, most_connections : int
        Open now, and the most at a time.
    drawn : int
        Draws made so far.
    """

    plan: TargetPlan
    chart_state: str
    started_at_unix_ms: int
    running_count: int = 0
    open_connections: int = 0
    max_connections: int = 0
    draw_count: int = 0
