"""Start-time fair queueing between callers, and between the searches of a caller."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from immutables import Map

from savoryarch.admission._ticket import Ticket
from savoryarch.utils import Heap, heap_pop, heap_push

IsWaiting = Callable[[Ticket], bool]


@dataclass(frozen=True, slots=True)
class Flow:
    """The tickets of one name, and the share of service that they have had.

    Parameters
    ----------
    finish_tag : float
        Virtual time at which the service that it has had ends.
    weight : float
        Its share relative to the other flows.
    queue : FairQueue or Line
        Its tickets.
    """

    finish_tag: float
    weight: float
    queue: "FairQueue | Line"


@dataclass(frozen=True, slots=True)
class Line:
    """Tickets of one caller and search, by deadline."""

    heap: Heap[Ticket] = None


@dataclass(frozen=True, slots=True)
class FairQueue:
    """Flows that share service in proportion to their weights.

    Parameters
    ----------
    virtual_time : float
        Start tag of the ticket that was served last.
    flows : Map
        `Flow` by name: those with tickets, and those whose finish tag is still ahead.
    ready : Heap
        Names of flows with tickets, by start tag.
    idle : Heap
        Names of flows without tickets, by finish tag.
    pushed : int
        Makes the keys of the heaps differ.
    """

    virtual_time: float = 0.0
    flows: Map[str, Flow] = field(default_factory=Map)
    ready: Heap[str] = None
    idle: Heap[str] = None
    pushed: int = 0


@dataclass(frozen=True, slots=True)
class Served:
    """The queue afterwards, and the ticket that is served; None if there is none."""

    queue: FairQueue
    ticket: Ticket | None


@dataclass(frozen=True, slots=True)
class _LineServed:
    line: Line
    ticket: Ticket | None


def add(queue: FairQueue, ticket: Ticket, number: int) -> FairQueue:
    """Add a ticket; `number` ascends from ticket to ticket."""
    path = ((ticket.caller, ticket.weight), (ticket.search, 1.0))
    return _add(queue, path, ticket, number)


def serve(queue: FairQueue, is_waiting: IsWaiting) -> Served:
    """Take the next ticket that still waits; others are dropped on the way."""
    while queue.ready is not None:
        (start_tag, _), name = queue.ready.key, queue.ready.value
        flow = queue.flows[name]
        below = _serve_below(flow.queue, is_waiting)
        queue = replace(queue, ready=heap_pop(queue.ready), virtual_time=start_tag)
        if below.ticket is not None:
            start_tag += below.ticket.cost / flow.weight
        flow = replace(flow, queue=_queue_of(below), finish_tag=start_tag)
        queue = _put_back(queue, name, flow)
        if below.ticket is not None:
            return Served(_forget_idle(queue), below.ticket)
    return Served(queue, None)


def _add(
    queue: FairQueue, path: tuple[tuple[str, float], ...], ticket: Ticket, number: int
) -> FairQueue:
    (name, weight), *below = path
    flow = queue.flows.get(name)
    if flow is None:
        flow = Flow(0.0, weight, FairQueue() if below else Line())
    starts = _is_empty(flow.queue)
    match flow.queue:
        case FairQueue() as inner:
            grown: FairQueue | Line = _add(inner, tuple(below), ticket, number)
        case Line(heap=heap):
            grown = Line(heap_push(heap, (ticket.deadline_at_ms, number), ticket))
    flows = queue.flows.set(name, Flow(flow.finish_tag, weight, grown))
    if not starts:
        return replace(queue, flows=flows)
    start_tag = max(queue.virtual_time, flow.finish_tag)
    ready = heap_push(queue.ready, (start_tag, queue.pushed), name)
    return replace(queue, flows=flows, ready=ready, pushed=queue.pushed + 1)


def _serve_below(queue: FairQueue | Line, is_waiting: IsWaiting) -> Served | _LineServed:
    match queue:
        case FairQueue():
            return serve(queue, is_waiting)
        case Line(heap=heap):
            while heap is not None:
                ticket, heap = heap.value, heap_pop(heap)
                if is_waiting(ticket):
                    return _LineServed(Line(heap), ticket)
            return _LineServed(Line(), None)


def _queue_of(served: Served | _LineServed) -> FairQueue | Line:
    match served:
        case Served(queue=queue):
            return queue
        case _LineServed(line=line):
            return line


def _is_empty(queue: FairQueue | Line) -> bool:
    match queue:
        case FairQueue(ready=ready):
            return ready is None
        case Line(heap=heap):
            return heap is None


def _put_back(queue: FairQueue, name: str, flow: Flow) -> FairQueue:
    key = (flow.finish_tag, queue.pushed)
    flows = queue.flows.set(name, flow)
    if _is_empty(flow.queue):
        return replace(queue, flows=flows, idle=heap_push(queue.idle, key, name), pushed=key[1] + 1)
    return replace(queue, flows=flows, ready=heap_push(queue.ready, key, name), pushed=key[1] + 1)


def _forget_idle(queue: FairQueue) -> FairQueue:
    """Forget up to two flows that would start afresh anyway, so that old names don't pile up."""
    for _ in range(2):
        idle = queue.idle
        if idle is None or (idle.key[0] > queue.virtual_time and queue.ready is not None):
            break
        flow = queue.flows.get(idle.value)
        queue = replace(queue, idle=heap_pop(idle))
        if flow is not None and _is_empty(flow.queue) and flow.finish_tag <= idle.key[0]:
            queue = replace(queue, flows=queue.flows.delete(idle.value))
    return queue
