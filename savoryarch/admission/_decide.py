"""Admits, queues, refuses and expires requests."""

from dataclasses import dataclass, replace

from savoryarch.admission._fair import IsWaiting
from savoryarch.admission._limit import Sample, is_idle, learn, make_limit
from savoryarch.admission._pool import (
    can_serve,
    enqueue,
    expected_wait_ms,
    has_backlog,
    has_room,
    rank_of,
    serve_next,
    withdraw,
)
from savoryarch.admission._state import AdmissionState, Backlog, Pool, Running
from savoryarch.admission._ticket import AdmissionOutcome, Admitted, Queued, Rejected, Ticket
from savoryarch.model import RefusalReason
from savoryarch.utils import heap_pop, heap_push


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """The state afterwards and what became of the ticket."""

    state: AdmissionState
    outcome: AdmissionOutcome


@dataclass(frozen=True, slots=True)
class AdmitWaitingResult:
    """Who may start and who has waited too long.

    Parameters
    ----------
    state : AdmissionState
        Afterwards.
    admitted : tuple of Ticket
        Run them now, and call `finish_request` when they ended.
    expired : tuple of Ticket
        They can't be answered in time any more; nothing of them has run.
    wake_at_ms : float or None
        Call `admit_waiting` again at this time; None if nothing waits.
    """

    state: AdmissionState
    admitted: tuple[Ticket, ...] = ()
    expired: tuple[Ticket, ...] = ()
    wake_at_ms: float | None = None


def request_admission(state: AdmissionState, ticket: Ticket, now_ms: float) -> AdmissionResult:
    """Ask for the admission of a request.

    Parameters
    ----------
    state : AdmissionState
        Before.
    ticket : Ticket
        The request.
    now_ms : float
        Current time.

    Returns
    -------
    offered : AdmissionResult
        With `Admitted`, `Queued` or `Rejected`. A queued request comes back from `admit_waiting`.
    """
    if ticket.latest_start_at_ms < now_ms:
        return AdmissionResult(state, Rejected(RefusalReason.DEADLINE_TOO_SHORT, None))
    pool = state.pools.get(ticket.pool) or Pool(make_limit(state.settings, ticket.cost))
    rank = rank_of(ticket)
    room = _has_instance_room(state) and has_room(pool, rank, state.settings)
    if room and not has_backlog(pool, rank):
        return AdmissionResult(_start(state, pool, ticket, now_ms, waited=False), Admitted())
    wait_ms = expected_wait_ms(pool, ticket, state.settings)
    backlog = pool.classes[rank].callers.get(ticket.caller, Backlog())
    latest_at_ms = now_ms + state.settings.max_wait_share * (ticket.latest_start_at_ms - now_ms)
    if (
        now_ms + wait_ms > latest_at_ms
        or len(state.waiting) >= state.settings.max_waiting
        or backlog.count >= state.settings.max_waiting_per_caller
    ):
        late_ms = now_ms + wait_ms - latest_at_ms
        retry_after_ms = max(late_ms, pool.limit.latency_ms, 1.0)
        return AdmissionResult(state, Rejected(RefusalReason.OVERLOADED, retry_after_ms))
    number = state.numbered
    pool = enqueue(pool, ticket, number)
    state = replace(
        state,
        numbered=number + 1,
        waiting=state.waiting.set(ticket.request_id, ticket),
        expiry=heap_push(state.expiry, (ticket.latest_start_at_ms, number), ticket),
    )
    return AdmissionResult(_put_pool(state, ticket.pool, pool), Queued(wait_ms))


def admit_waiting(state: AdmissionState, now_ms: float) -> AdmitWaitingResult:
    """Return who may start now and who has waited too long.

    Call it after `request_admission` said `Queued`, after `finish_request` and `withdraw_ticket`,
    and at `wake_at_ms`.
    """
    state, expired = _expire(state, now_ms)
    admitted: list[Ticket] = []
    while state.ready is not None and _has_instance_room(state):
        start_tag, name = state.ready.key[0], state.ready.value
        state = replace(state, ready=heap_pop(state.ready), virtual_time=start_tag)
        pool = replace(state.pools[name], is_ready=False)
        pool, ticket = serve_next(pool, state.settings, _is_waiting(state))
        if ticket is None:
            state = _put_pool(state, name, pool)
            continue
        pool = replace(pool, finish_tag=start_tag + ticket.cost)
        state = replace(state, waiting=state.waiting.delete(ticket.request_id))
        state = _start(state, pool, ticket, now_ms, waited=True)
        admitted.append(ticket)
    wake_at_ms = state.expiry.key[0] if state.expiry is not None else None
    return AdmitWaitingResult(state, tuple(admitted), expired, wake_at_ms)


def finish_request(
    state: AdmissionState,
    request_id: str,
    now_ms: float,
    *,
    sheds: int = 0,
    use_latency: bool = True,
) -> AdmissionState:
    """Give back the place of an admitted request, and learn from it.

    Parameters
    ----------
    state : AdmissionState
        Before.
    request_id : str
        An admitted request; others change nothing.
    now_ms : float
        Current time.
    sheds : int
        Sub-requests of it that targets shed.
    use_latency : bool
        Whether its latency says anything; not so if its caller left or it was turned away.
    """
    running = state.running.get(request_id)
    if running is None:
        return state
    ticket = running.ticket
    pool = state.pools[ticket.pool]
    if use_latency:
        latency_ms = max(now_ms - running.admitted_at_ms, 1e-3)
        idle = running.is_idle and is_idle(pool.limit, pool.in_flight, state.settings)
        sample = Sample(latency_ms, ticket.cost, sheds, running.was_full, idle)
        pool = replace(pool, limit=learn(pool.limit, sample, state.settings))
    pool = replace(pool, in_flight=max(0.0, pool.in_flight - ticket.cost))
    state = replace(
        state,
        running=state.running.delete(request_id),
        in_flight=max(0.0, state.in_flight - ticket.cost),
    )
    return _put_pool(state, ticket.pool, pool)


def withdraw_ticket(state: AdmissionState, request_id: str) -> AdmissionState:
    """Forget a request that waits, for example because its caller left."""
    ticket = state.waiting.get(request_id)
    if ticket is None:
        return state
    state = replace(state, waiting=state.waiting.delete(request_id))
    return _put_pool(state, ticket.pool, withdraw(state.pools[ticket.pool], ticket))


def _start(
    state: AdmissionState, pool: Pool, ticket: Ticket, now_ms: float, *, waited: bool
) -> AdmissionState:
    in_flight = pool.in_flight + ticket.cost
    was_full = waited or in_flight >= pool.limit.value
    idle = not waited and is_idle(pool.limit, in_flight, state.settings)
    running = Running(ticket, now_ms, was_full, idle)
    state = replace(
        state,
        running=state.running.set(ticket.request_id, running),
        in_flight=state.in_flight + ticket.cost,
    )
    return _put_pool(state, ticket.pool, replace(pool, in_flight=in_flight))


def _put_pool(state: AdmissionState, name: str, pool: Pool) -> AdmissionState:
    """Keep the pool, in the ready heap if something waits that may start now."""
    if not pool.is_ready and can_serve(pool, state.settings):
        start_tag = max(state.virtual_time, pool.finish_tag)
        ready = heap_push(state.ready, (start_tag, state.numbered), name)
        state = replace(state, ready=ready, numbered=state.numbered + 1)
        pool = replace(pool, is_ready=True)
    return replace(state, pools=state.pools.set(name, pool))


def _expire(state: AdmissionState, now_ms: float) -> tuple[AdmissionState, tuple[Ticket, ...]]:
    expired: list[Ticket] = []
    while state.expiry is not None:
        ticket, heap = state.expiry.value, state.expiry
        if _is_waiting(state)(ticket):
            if heap.key[0] >= now_ms:
                break
            state = withdraw_ticket(state, ticket.request_id)
            expired.append(ticket)
        state = replace(state, expiry=heap_pop(heap))
    return state, tuple(expired)


def _is_waiting(state: AdmissionState) -> IsWaiting:
    return lambda ticket: state.waiting.get(ticket.request_id) is ticket


def _has_instance_room(state: AdmissionState) -> bool:
    return state.in_flight < state.settings.instance_limit
