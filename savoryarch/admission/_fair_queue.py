"""Start-time fair queueing between callers, and between the searches of each caller."""

from collections.abc import Callable
from dataclasses import dataclass, field

from immutables import Map

from savoryarch.admission._ticket import Ticket
from savoryarch.utils import Heap, heap_pop, heap_push, replace

IsWaiting = Callable[[Ticket], bool]


@dataclass(frozen=True, slots=True)
class Flow:
    """The tickets of one caller or search, and how far they have been served.

    Parameters
    ----------
    finish_tag : float
        Virtual time up to which the flow has been served.
    weight : float
        Its share relative to the other flows.
    queue : FairQueue or DeadlineQueue
        Its tickets: a queue of its searches for a caller, or of requests for a search.
    """

    finish_tag: float
    weight: float
    queue: "FairQueue | DeadlineQueue"


@dataclass(frozen=True, slots=True)
class DeadlineQueue:
    """Tickets of one caller and search, ordered by deadline."""

    heap: Heap[Ticket] = None


@dataclass(frozen=True, slots=True)
class FairQueue:
    """Flows that share service in proportion to their weights.

    Parameters
    ----------
    virtual_time : float
        Start tag of the ticket that was served last.
    flows : Map
        `Flow` by name: flows with tickets, and those whose finish tag is in the future.
    ready : Heap
        Names of flows with tickets, by start tag.
    idle : Heap
        Names of flows without tickets, by finish tag.
    push_count : int
        Number of pushes to the heaps; it makes their keys unique.
    """

    virtual_time: float = 0.0
    flows: Map[str, Flow] = field(default_factory=Map)
    ready: Heap[str] = None
    idle: Heap[str] = None
    push_count: int = 0


@dataclass(frozen=True, slots=True)
class ServeResult:
    """The queue after serving, and the served ticket; None if no ticket waits."""

    queue: FairQueue
    ticket: Ticket | None


@dataclass(frozen=True, slots=True)
class _DeadlineServeResult:
    """The queue after serving, and the served ticket; None if no ticket waits."""

    queue: DeadlineQueue
    ticket: Ticket | None


def add_ticket(queue: FairQueue, ticket: Ticket, number: int) -> FairQueue:
    """Add a ticket; its `number` is greater than that of each ticket before."""
    path = ((ticket.caller, ticket.weight), (ticket.search, 1.0))
    return _add_along(queue, path, ticket, number)


def serve_ticket(queue: FairQueue, is_waiting: IsWaiting) -> ServeResult:
    """Remove the next ticket that still waits, and drop withdrawn ones before it."""
    while queue.ready is not None:
        (start_tag, _), name = queue.ready.key, queue.ready.value
        flow = queue.flows[name]
        served = _serve_flow(flow.queue, is_waiting)
        queue = replace(queue, ready=heap_pop(queue.ready), virtual_time=start_tag)
        if served.ticket is not None:
            start_tag += served.ticket.cost / flow.weight
        flow = replace(flow, queue=_remaining_queue(served), finish_tag=start_tag)
        queue = _put_flow(queue, name, flow)
        if served.ticket is not None:
            return ServeResult(_evict_idle_flows(queue), served.ticket)
    return ServeResult(queue, None)


def _add_along(
    queue: FairQueue, path: tuple[tuple[str, float], ...], ticket: Ticket, number: int
) -> FairQueue:
    """Add a ticket to the flow that a path of names and weights leads to."""
    (name, weight), *rest = path
    flow = queue.flows.get(name)
    if flow is None:
        flow = Flow(0.0, weight, FairQueue() if rest else DeadlineQueue())
    was_empty = _is_empty(flow.queue)
    match flow.queue:
        case FairQueue() as inner:
            extended: FairQueue | DeadlineQueue = _add_along(inner, tuple(rest), ticket, number)
        case DeadlineQueue(heap=heap):
            extended = DeadlineQueue(heap_push(heap, (ticket.deadline_at_ms, number), ticket))
    flows = queue.flows.set(name, Flow(flow.finish_tag, weight, extended))
    if not was_empty:
        return replace(queue, flows=flows)
    start_tag = max(queue.virtual_time, flow.finish_tag)
    ready = heap_push(queue.ready, (start_tag, queue.push_count), name)
    return replace(queue, flows=flows, ready=ready, push_count=queue.push_count + 1)


def _serve_flow(
    queue: FairQueue | DeadlineQueue, is_waiting: IsWaiting
) -> ServeResult | _DeadlineServeResult:
    """Remove the next ticket of a flow that still waits."""
    match queue:
        case FairQueue():
            return serve_ticket(queue, is_waiting)
        case DeadlineQueue(heap=heap):
            while heap is not None:
                ticket, heap = heap.value, heap_pop(heap)
                if is_waiting(ticket):
                    return _DeadlineServeResult(DeadlineQueue(heap), ticket)
            return _DeadlineServeResult(DeadlineQueue(), None)


def _remaining_queue(served: ServeResult | _DeadlineServeResult) -> FairQueue | DeadlineQueue:
    """Return the queue of a result."""
    match served:
        case ServeResult(queue=queue):
            return queue
        case _DeadlineServeResult(queue=deadline_queue):
            return deadline_queue


def _is_empty(queue: FairQueue | DeadlineQueue) -> bool:
    """Return whether a queue has no tickets, withdrawn ones included."""
    match queue:
        case FairQueue(ready=ready):
            return ready is None
        case DeadlineQueue(heap=heap):
            return heap is None


def _put_flow(queue: FairQueue, name: str, flow: Flow) -> FairQueue:
    """Put a flow into the queue, and its name into the ready heap or the idle heap."""
    key = (flow.finish_tag, queue.push_count)
    flows = queue.flows.set(name, flow)
    if _is_empty(flow.queue):
        return replace(
            queue, flows=flows, idle=heap_push(queue.idle, key, name), push_count=key[1] + 1
        )
    return replace(
        queue, flows=flows, ready=heap_push(queue.ready, key, name), push_count=key[1] + 1
    )


def _evict_idle_flows(queue: FairQueue) -> FairQueue:
    """Remove up to two idle flows that would start like new ones.

    These are flows whose finish tag is not ahead of the virtual time, and any flow if no ticket
    waits. Without their removal, the queue would keep each name that was ever used.
    """
    for _ in range(2):
        idle = queue.idle
        if idle is None or (idle.key[0] > queue.virtual_time and queue.ready is not None):
            break
        flow = queue.flows.get(idle.value)
        queue = replace(queue, idle=heap_pop(idle))
        if flow is not None and _is_empty(flow.queue) and flow.finish_tag <= idle.key[0]:
            queue = replace(queue, flows=queue.flows.delete(idle.value))
    return queue
