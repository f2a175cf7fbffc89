"""State of admission control: pools, queued requests and running requests."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.admission._fair_queue import FairQueue
from savoryarch.admission._limit import Limit
from savoryarch.admission._settings import AdmissionSettings
from savoryarch.admission._ticket import Ticket
from savoryarch.utils import Heap


@dataclass(frozen=True, slots=True)
class Backlog:
    """The queued requests of one caller in one class.

    Parameters
    ----------
    cost : float
        Number of sub-requests of its queued requests.
    count : int
        Number of its queued requests.
    weight : float
        Declared weight of the caller.
    """

    cost: float = 0.0
    count: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ClassQueue:
    """One priority class of one pool.

    Parameters
    ----------
    queue : FairQueue
        Its tickets. Withdrawn tickets stay in it until they are due, and are then dropped.
    cost : float
        Number of sub-requests of its queued requests.
    weight : float
        Sum of the weights of the callers with queued requests.
    credit : float
        Number of sub-requests that it may run ahead of higher classes to get its guaranteed share.
    callers : Map
        `Backlog` by caller.
    """

    queue: FairQueue = FairQueue()
    cost: float = 0.0
    weight: float = 0.0
    credit: float = 0.0
    callers: Map[str, Backlog] = field(default_factory=Map)


@dataclass(frozen=True, slots=True)
class Pool:
    """The targets that some searches and routes share, with their limit and queues.

    Parameters
    ----------
    limit : Limit
        The adaptive limit on the sub-requests in flight.
    in_flight : float
        Number of sub-requests of admitted requests.
    classes : tuple of ClassQueue
        Urgent, normal and batch.
    finish_tag : float
        Virtual time up to which it has been served. Pools with lower times are served first, so
        that all pools share the limit of the instance.
    is_ready : bool
        Whether it is in the `ready` heap of the state.
    """

    limit: Limit
    in_flight: float = 0.0
    classes: tuple[ClassQueue, ClassQueue, ClassQueue] = (ClassQueue(), ClassQueue(), ClassQueue())
    finish_tag: float = 0.0
    is_ready: bool = False


@dataclass(frozen=True, slots=True)
class Running:
    """An admitted request that has not ended.

    Parameters
    ----------
    ticket : Ticket
        The request.
    admitted_at_ms : float
        When it was admitted.
    limit_reached : bool
        Whether it was queued, or the requests in flight reached the limit with it.
    is_idle : bool
        Whether the pool was idle when it was admitted.
    """

    ticket: Ticket
    admitted_at_ms: float
    limit_reached: bool
    pool_was_idle: bool


@dataclass(frozen=True, slots=True)
class AdmissionState:
    """State of admission control of this instance.

    Parameters
    ----------
    settings : AdmissionSettings
        Settings in force.
    pools : Map
        `Pool` by name.
    waiting : Map
        Tickets of queued requests by request id.
    running : Map
        `Running` by request id.
    in_flight : float
        Number of sub-requests of all admitted requests.
    expiry : Heap
        Tickets by their latest time of admission. It also holds tickets that no longer wait.
    ready : Heap
        Names of pools with queued requests and capacity, by start tag.
    virtual_time : float
        Start tag of the pool that was served last.
    next_sequence : int
        Next sequence number; it makes the keys of the heaps unique.
    """

    settings: AdmissionSettings
    pools: Map[str, Pool] = field(default_factory=Map)
    waiting: Map[str, Ticket] = field(default_factory=Map)
    running: Map[str, Running] = field(default_factory=Map)
    in_flight: float = 0.0
    expiry: Heap[Ticket] = None
    ready: Heap[str] = None
    virtual_time: float = 0.0
    next_sequence: int = 0


def make_admission_state(settings: AdmissionSettings) -> AdmissionState:
    """Return the initial state, in which no request waits or runs."""
    return AdmissionState(settings)
