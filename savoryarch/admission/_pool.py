"""Operations on one pool: its classes, their backlogs, and which class is served next."""

from savoryarch.admission._fair_queue import IsWaiting, add_ticket, serve_ticket
from savoryarch.admission._limit import completions_per_ms
from savoryarch.admission._settings import AdmissionSettings
from savoryarch.admission._state import Backlog, ClassQueue, Pool
from savoryarch.admission._ticket import Ticket
from savoryarch.model import Priority
from savoryarch.utils import replace

_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}
_MAX_CREDIT = 100.0  # sub-requests; bounds how long a class runs ahead of the higher ones


def rank_of(ticket: Ticket) -> int:
    """Return the rank of the ticket's priority class; urgent is 0."""
    return _RANKS[ticket.priority]


def has_capacity(pool: Pool, rank: int, settings: AdmissionSettings) -> bool:
    """Return whether the limit of the pool lets a request of a class start now."""
    headroom = 1.0 + settings.urgent_headroom if rank == 0 else 1.0
    return pool.in_flight < pool.limit.value * headroom


def has_backlog(pool: Pool, last_rank: int = 2) -> bool:
    """Return whether requests wait in the classes up to `last_rank`."""
    return any(queue.cost > 0 for queue in pool.classes[: last_rank + 1])


def can_serve(pool: Pool, settings: AdmissionSettings) -> bool:
    """Return whether the pool has a waiting request that may start now."""
    return any(
        queue.cost > 0 and has_capacity(pool, rank, settings)
        for rank, queue in enumerate(pool.classes)
    )


def expected_wait_ms(pool: Pool, ticket: Ticket, settings: AdmissionSettings) -> float:
    """Return the expected time in ms until a new ticket is admitted.

    Ahead of it are the backlog of the higher classes, as far as the guaranteed share of its own
    class permits, and the part of its own class that fair queueing serves before it.
    """
    rank = rank_of(ticket)
    queue = pool.classes[rank]
    backlog = queue.callers.get(ticket.caller, Backlog(weight=ticket.weight))
    weights = queue.weight + (0.0 if backlog.count else backlog.weight)
    share_ahead = (backlog.cost + ticket.cost) * weights / backlog.weight
    ahead = min(queue.cost + ticket.cost, share_ahead)
    higher = sum(other.cost for other in pool.classes[:rank])
    guaranteed = _guaranteed_share(rank, settings)
    if guaranteed > 0:
        higher = min(higher, ahead * (1.0 - guaranteed) / guaranteed)
    return (higher + ahead) / completions_per_ms(pool.limit)


def enqueue(pool: Pool, ticket: Ticket, number: int) -> Pool:
    """Add a ticket to the queue of its class."""
    rank = rank_of(ticket)
    queue = pool.classes[rank]
    queue = replace(queue, queue=add_ticket(queue.queue, ticket, number))
    return _put_class(pool, rank, _update_backlog(queue, ticket, 1))


def remove_from_backlog(pool: Pool, ticket: Ticket) -> Pool:
    """Subtract a ticket that no longer waits from the backlog of its class.

    The ticket stays in the fair queue until it is due, and is dropped then.
    """
    rank = rank_of(ticket)
    return _put_class(pool, rank, _update_backlog(pool.classes[rank], ticket, -1))


def serve_next(
    pool: Pool, settings: AdmissionSettings, is_waiting: IsWaiting
) -> tuple[Pool, Ticket | None]:
    """Return the pool without its next ticket, and that ticket; None if none may start now."""
    rank = _next_rank(pool, settings)
    if rank is None:
        return pool, None
    served = serve_ticket(pool.classes[rank].queue, is_waiting)
    pool = _put_class(pool, rank, replace(pool.classes[rank], queue=served.queue))
    if served.ticket is None:
        return pool, None
    pool = remove_from_backlog(pool, served.ticket)
    return _update_credits(pool, rank, served.ticket.cost, settings), served.ticket


def _next_rank(pool: Pool, settings: AdmissionSettings) -> int | None:
    """Return the lowest class that has credit, else the highest class; None if none may start."""
    ranks = [
        rank
        for rank, queue in enumerate(pool.classes)
        if queue.cost > 0 and has_capacity(pool, rank, settings)
    ]
    with_credit = [rank for rank in ranks if pool.classes[rank].credit > 0]
    return max(with_credit, default=min(ranks, default=None))


def _update_credits(pool: Pool, served: int, cost: float, settings: AdmissionSettings) -> Pool:
    """Charge the served class, and credit the lower ones with their guaranteed shares.

    A class without a backlog keeps no credit, so that it saves up none while it is idle.
    """
    for rank, queue in enumerate(pool.classes):
        credit = queue.credit
        if rank == served:
            credit -= cost
        elif rank > served:
            guaranteed = _guaranteed_share(rank, settings)
            credit = min(_MAX_CREDIT, credit + cost * guaranteed / (1.0 - guaranteed))
        if queue.cost == 0:
            credit = min(credit, 0.0)
        if credit != queue.credit:
            pool = _put_class(pool, rank, replace(queue, credit=max(credit, -_MAX_CREDIT)))
    return pool


def _guaranteed_share(rank: int, settings: AdmissionSettings) -> float:
    """Return the guaranteed share of a class in the sub-requests of it and all higher classes."""
    return (0.0, settings.normal_floor, settings.batch_floor)[rank]


def _update_backlog(queue: ClassQueue, ticket: Ticket, sign: int) -> ClassQueue:
    """Add a ticket to the backlog of its class and its caller, or subtract it if `sign` is -1."""
    previous = queue.callers.get(ticket.caller, Backlog(weight=ticket.weight))
    backlog = Backlog(previous.cost + sign * ticket.cost, previous.count + sign, previous.weight)
    weight = queue.weight
    if previous.count == 0:
        weight += previous.weight
    if backlog.count > 0:
        callers = queue.callers.set(ticket.caller, backlog)
    else:
        callers = queue.callers.delete(ticket.caller)
        weight -= previous.weight
    if not callers:
        return replace(queue, callers=callers, cost=0.0, weight=0.0)
    # Stays positive in spite of rounding errors, since a positive cost marks a backlog.
    cost = max(queue.cost + sign * ticket.cost, 1e-9)
    return replace(queue, callers=callers, cost=cost, weight=weight)


def _put_class(pool: Pool, rank: int, queue: ClassQueue) -> Pool:
    classes = list(pool.classes)
    classes[rank] = queue
    return replace(pool, classes=(classes[0], classes[1], classes[2]))
