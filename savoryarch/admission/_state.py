"""State of admission: the pools, and who waits and runs in them."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.admission._fair import FairQueue
from savoryarch.admission._limit import Limit
from savoryarch.admission._settings import AdmissionSettings
from savoryarch.admission._ticket import Ticket
from savoryarch.utils import Heap


@dataclass(frozen=True, slots=True)
class Backlog:
    """What waits of one caller in one class."""

    cost: float = 0.0
    count: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class ClassQueue:
    """One priority class of one pool.

    Parameters
    ----------
    queue : FairQueue
        Its tickets; some may have been withdrawn.
    cost : float
        Sub-requests that wait.
    weight : float
        Weights of the callers that wait.
    credit : float
        Sub-requests that it may run ahead of higher classes.
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
    """The targets that some searches and routes share.

    Parameters
    ----------
    limit : Limit
        How much may be in flight.
    in_flight : float
        Sub-requests of admitted requests.
    classes : tuple of ClassQueue
        Urgent, normal and batch.
    finish_tag : float
        Virtual time at which the service that it has had ends, for sharing the instance.
    is_ready : bool
        Whether it is in the ready heap of the state.
    """

    limit: Limit
    in_flight: float = 0.0
    classes: tuple[ClassQueue, ClassQueue, ClassQueue] = (ClassQueue(), ClassQueue(), ClassQueue())
    finish_tag: float = 0.0
    is_ready: bool = False


@dataclass(frozen=True, slots=True)
class Running:
    """An admitted request."""

    ticket: Ticket
    admitted_at_ms: float
    was_full: bool
    is_idle: bool


@dataclass(frozen=True, slots=True)
class AdmissionState:
    """Who waits and who runs at this instance.

    Parameters
    ----------
    settings : AdmissionSettings
        Fixed from start to end.
    pools : Map
        `Pool` by name.
    waiting : Map
        Tickets that wait, by request id.
    running : Map
        `Running` by request id.
    in_flight : float
        Sub-requests of all admitted requests.
    expiry : Heap
        Tickets by the time at which they have to be admitted at the latest.
    ready : Heap
        Names of pools with tickets and room, by start tag.
    virtual_time : float
        Start tag of the pool that was served last.
    numbered : int
        Makes the keys of the heaps differ.
    """

    settings: AdmissionSettings
    pools: Map[str, Pool] = field(default_factory=Map)
    waiting: Map[str, Ticket] = field(default_factory=Map)
    running: Map[str, Running] = field(default_factory=Map)
    in_flight: float = 0.0
    expiry: Heap[Ticket] = None
    ready: Heap[str] = None
    virtual_time: float = 0.0
    numbered: int = 0


def make_admission_state(settings: AdmissionSettings) -> AdmissionState:
    """Make the state of an instance where nothing waits or runs."""
    return AdmissionState(settings)
