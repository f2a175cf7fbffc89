"""One pool: its classes, their backlog, and which class is served next."""

from dataclasses import replace

from savoryarch.admission._fair import IsWaiting, add, serve
from savoryarch.admission._limit import rate_per_ms
from savoryarch.admission._settings import AdmissionSettings
from savoryarch.admission._state import Backlog, ClassQueue, Pool
from savoryarch.admission._ticket import Ticket
from savoryarch.model import Priority

_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}
_MAX_CREDIT = 100.0


def rank_of(ticket: Ticket) -> int:
    """Return the place of the ticket's class; urgent is 0."""
    return _RANKS[ticket.priority]


def has_room(pool: Pool, rank: int, settings: AdmissionSettings) -> bool:
    """Return whether a request of a class may start now, as far as the pool goes."""
    headroom = 1.0 + settings.urgent_headroom if rank == 0 else 1.0
    return pool.in_flight < pool.limit.value * headroom


def has_backlog(pool: Pool, last_rank: int = 2) -> bool:
    """Return whether anything waits in the classes up to `last_rank`."""
    return any(queue.cost > 0 for queue in pool.classes[: last_rank + 1])


def can_serve(pool: Pool, settings: AdmissionSettings) -> bool:
    """Return whether something waits that may start now."""
    return any(
        queue.cost > 0 and has_room(pool, rank, settings) for rank, queue in enumerate(pool.classes)
    )


def expected_wait_ms(pool: Pool, ticket: Ticket, settings: AdmissionSettings) -> float:
    """Return when a new ticket would be admitted, from now.

    What is ahead of it: higher classes as far as the floor lets them pass, and of its own class
    what the fair shares let pass before its caller's turn.
    """
    rank = rank_of(ticket)
    own = pool.classes[rank]
    backlog = own.callers.get(ticket.caller, Backlog(weight=ticket.weight))
    weights = own.weight + (0.0 if backlog.count else backlog.weight)
    share_ahead = (backlog.cost + ticket.cost) * weights / backlog.weight
    ahead = min(own.cost + ticket.cost, share_ahead)
    higher = sum(queue.cost for queue in pool.classes[:rank])
    floor = _floor(rank, settings)
    if floor > 0:
        higher = min(higher, ahead * (1.0 - floor) / floor)
    return (higher + ahead) / rate_per_ms(pool.limit)


def enqueue(pool: Pool, ticket: Ticket, number: int) -> Pool:
    """Add a ticket to its class."""
    rank = rank_of(ticket)
    own = pool.classes[rank]
    own = replace(own, queue=add(own.queue, ticket, number))
    return _put(pool, rank, _charge(own, ticket, 1))


def withdraw(pool: Pool, ticket: Ticket) -> Pool:
    """Take a ticket that no longer waits out of the backlog; its entry is dropped in its turn."""
    rank = rank_of(ticket)
    return _put(pool, rank, _charge(pool.classes[rank], ticket, -1))


def serve_next(
    pool: Pool, settings: AdmissionSettings, is_waiting: IsWaiting
) -> tuple[Pool, Ticket | None]:
    """Take the next ticket of the pool, if one may start now."""
    rank = _next_rank(pool, settings)
    if rank is None:
        return pool, None
    served = serve(pool.classes[rank].queue, is_waiting)
    pool = _put(pool, rank, replace(pool.classes[rank], queue=served.queue))
    if served.ticket is None:
        return pool, None
    pool = withdraw(pool, served.ticket)
    return _settle_credits(pool, rank, served.ticket.cost, settings), served.ticket


def _next_rank(pool: Pool, settings: AdmissionSettings) -> int | None:
    ranks = [
        rank
        for rank, queue in enumerate(pool.classes)
        if queue.cost > 0 and has_room(pool, rank, settings)
    ]
    with_credit = [rank for rank in ranks if pool.classes[rank].credit > 0]
    return max(with_credit, default=min(ranks, default=None))


def _settle_credits(pool: Pool, served: int, cost: float, settings: AdmissionSettings) -> Pool:
    """Charge the class that was served, and give the lower ones that wait their floor."""
    for rank, queue in enumerate(pool.classes):
        credit = queue.credit
        if rank == served:
            credit -= cost
        elif rank > served:
            floor = _floor(rank, settings)
            credit = min(_MAX_CREDIT, credit + cost * floor / (1.0 - floor))
        if queue.cost == 0:
            credit = min(credit, 0.0)
        if credit != queue.credit:
            pool = _put(pool, rank, replace(queue, credit=max(credit, -_MAX_CREDIT)))
    return pool


def _floor(rank: int, settings: AdmissionSettings) -> float:
    return (0.0, settings.normal_floor, settings.batch_floor)[rank]


def _charge(queue: ClassQueue, ticket: Ticket, sign: int) -> ClassQueue:
    old = queue.callers.get(ticket.caller, Backlog(weight=ticket.weight))
    new = Backlog(old.cost + sign * ticket.cost, old.count + sign, old.weight)
    weight = queue.weight
    if old.count == 0:
        weight += old.weight
    if new.count > 0:
        callers = queue.callers.set(ticket.caller, new)
    else:
        callers = queue.callers.delete(ticket.caller)
        weight -= old.weight
    if not callers:
        return replace(queue, callers=callers, cost=0.0, weight=0.0)
    cost = max(queue.cost + sign * ticket.cost, 1e-9)
    return replace(queue, callers=callers, cost=cost, weight=weight)


def _put(pool: Pool, rank: int, queue: ClassQueue) -> Pool:
    classes = list(pool.classes)
    classes[rank] = queue
    return replace(pool, classes=(classes[0], classes[1], classes[2]))
