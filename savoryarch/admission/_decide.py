"""Admits, queues, rejects and expires requests."""

from dataclasses import dataclass

from savoryarch.admission._fair_queue import IsWaiting
from savoryarch.admission._limit import Sample, is_idle, make_limit, update_limit
from savoryarch.admission._pool import (
    can_serve,
    enqueue,
    expected_wait_ms,
    has_backlog,
    has_capacity,
    rank_of,
    remove_from_backlog,
    serve_next,
)
from savoryarch.admission._state import AdmissionState, Backlog, Pool, Running
from savoryarch.admission._ticket import AdmissionOutcome, Admitted, Queued, Rejected, Ticket
from savoryarch.model import RefusalReason
from savoryarch.utils import heap_pop, heap_push, replace


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """The result of `request_admission`.

    Parameters
    ----------
    state : AdmissionState
        State after the call.
    outcome : AdmissionOutcome
        Whether the request is admitted, queued or rejected.
    """

    state: AdmissionState
    outcome: AdmissionOutcome


@dataclass(frozen=True, slots=True)
class AdmitWaitingResult:
    """The result of `admit_waiting`: requests that may start, and those that have expired.

    Parameters
    ----------
    state : AdmissionState
        State after the call.
    admitted : tuple of Ticket
        Requests that may run now. `finish_request` has to be called when each has ended.
    expired : tuple of Ticket
        Requests that can no longer meet their deadline. Nothing of them has run.
    wake_at_ms : float or None
        When `admit_waiting` has to be called again; None if no request waits.
    """

    state: AdmissionState
    admitted: tuple[Ticket, ...] = ()
    expired: tuple[Ticket, ...] = ()
    wake_at_ms: float | None = None


def request_admission(state: AdmissionState, ticket: Ticket, now_ms: float) -> AdmissionResult:
    """Admit a request, queue it, or reject it.

    Parameters
    ----------
    state : AdmissionState
        State before the request.
    ticket : Ticket
        The request.
    now_ms : float
        Current time, on the clock of the process.

    Returns
    -------
    result : AdmissionResult
        The outcome is `Admitted`, `Queued` or `Rejected`. A later `admit_waiting` returns a queued
        request as admitted or as expired.
    """
    if ticket.latest_start_at_ms < now_ms:
        return AdmissionResult(state, Rejected(RefusalReason.DEADLINE_TOO_SHORT, None))
    pool = state.pools.get(ticket.pool) or Pool(make_limit(state.settings, ticket.cost))
    rank = rank_of(ticket)
    may_start = _has_instance_capacity(state) and has_capacity(pool, rank, state.settings)
    if may_start and not has_backlog(pool, rank):
        return AdmissionResult(_start(state, pool, ticket, now_ms, waited=False), Admitted())
    wait_ms = expected_wait_ms(pool, ticket, state.settings)
    backlog = pool.classes[rank].callers.get(ticket.caller, Backlog())
    # A request may wait for only a share of the time that it has left.
    latest_at_ms = now_ms + state.settings.max_wait_share * (ticket.latest_start_at_ms - now_ms)
    if (
        now_ms + wait_ms > latest_at_ms
        or len(state.waiting) >= state.settings.max_waiting
        or backlog.count >= state.settings.max_waiting_per_caller
    ):
        late_ms = now_ms + wait_ms - latest_at_ms
        retry_after_ms = max(late_ms, pool.limit.latency_ms, 1.0)
        return AdmissionResult(state, Rejected(RefusalReason.OVERLOADED, retry_after_ms))
    number = state.next_sequence
    pool = enqueue(pool, ticket, number)
    state = replace(
        state,
        next_sequence=number + 1,
        waiting=state.waiting.set(ticket.request_id, ticket),
        expiry=heap_push(state.expiry, (ticket.latest_start_at_ms, number), ticket),
    )
    return AdmissionResult(_put_pool(state, ticket.pool, pool), Queued(wait_ms))


def admit_waiting(state: AdmissionState, now_ms: float) -> AdmitWaitingResult:
    """Admit the queued requests that have capacity, and expire those that waited too long.

    Pools are served in the order of their start tags (start-time fair queueing).
    It has to be called after `request_admission` has queued a request, after `finish_request` and
    `withdraw_ticket`, and at `wake_at_ms`.
    """
    state, expired = _expire(state, now_ms)
    admitted: list[Ticket] = []
    while state.ready is not None and _has_instance_capacity(state):
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
    """Release the capacity of an admitted request, and update the limit of its pool.

    Parameters
    ----------
    state : AdmissionState
        State before the end of the request.
    request_id : str
        Id of an admitted request. Other ids have no effect.
    now_ms : float
        Current time, on the clock of the process.
    sheds : int
        Number of its sub-requests that targets shed.
    use_latency : bool
        Whether the limit is updated. The latency of a request whose caller disconnected, or that
        was refused after its admission, is not that of its targets.

    Returns
    -------
    state : AdmissionState
        State after the end of the request.
    """
    running = state.running.get(request_id)
    if running is None:
        return state
    ticket = running.ticket
    pool = state.pools[ticket.pool]
    if use_latency:
        # Positive, since a latency of 0 stands for a limit without samples.
        latency_ms = max(now_ms - running.admitted_at_ms, 1e-3)
        idle = running.pool_was_idle and is_idle(pool.limit, pool.in_flight, state.settings)
        sample = Sample(latency_ms, ticket.cost, sheds, running.limit_reached, idle)
        pool = replace(pool, limit=update_limit(pool.limit, sample, state.settings))
    pool = replace(pool, in_flight=max(0.0, pool.in_flight - ticket.cost))
    state = replace(
        state,
        running=state.running.delete(request_id),
        in_flight=max(0.0, state.in_flight - ticket.cost),
    )
    return _put_pool(state, ticket.pool, pool)


def withdraw_ticket(state: AdmissionState, request_id: str) -> AdmissionState:
    """Remove a queued request, for example because its caller has disconnected."""
    ticket = state.waiting.get(request_id)
    if ticket is None:
        return state
    state = replace(state, waiting=state.waiting.delete(request_id))
    return _put_pool(state, ticket.pool, remove_from_backlog(state.pools[ticket.pool], ticket))


def _start(
    state: AdmissionState, pool: Pool, ticket: Ticket, now_ms: float, *, waited: bool
) -> AdmissionState:
    """Put an admitted request among the running ones, and count its cost as in flight."""
    in_flight = pool.in_flight + ticket.cost
    limit_reached = waited or in_flight >= pool.limit.value
    idle = not waited and is_idle(pool.limit, in_flight, state.settings)
    running = Running(ticket, now_ms, limit_reached, idle)
    state = replace(
        state,
        running=state.running.set(ticket.request_id, running),
        in_flight=state.in_flight + ticket.cost,
    )
    return _put_pool(state, ticket.pool, replace(pool, in_flight=in_flight))


def _put_pool(state: AdmissionState, name: str, pool: Pool) -> AdmissionState:
    """Put a pool into the state, and into the ready heap if a waiting request may start."""
    if not pool.is_ready and can_serve(pool, state.settings):
        start_tag = max(state.virtual_time, pool.finish_tag)
        ready = heap_push(state.ready, (start_tag, state.next_sequence), name)
        state = replace(state, ready=ready, next_sequence=state.next_sequence + 1)
        pool = replace(pool, is_ready=True)
    return replace(state, pools=state.pools.set(name, pool))


def _expire(state: AdmissionState, now_ms: float) -> tuple[AdmissionState, tuple[Ticket, ...]]:
    """Return the state without the requests that can no longer start in time, and these."""
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
    """Return a predicate for tickets: whether the ticket still waits in the state."""
    return lambda ticket: state.waiting.get(ticket.request_id) is ticket


def _has_instance_capacity(state: AdmissionState) -> bool:
    """Return whether the limit of all pools together lets a request start now."""
    return state.in_flight < state.settings.instance_limit
