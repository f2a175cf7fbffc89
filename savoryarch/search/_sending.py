"""Sends the attempts of a shard, or lets it wait for room at a target."""

from dataclasses import replace

from savoryarch.model import (
    CancelAttempt,
    Count,
    PartRequest,
    Priority,
    SendAttempt,
    SetTimer,
    SnapshotId,
)
from savoryarch.search._guard import may_run_at, note_sent
from savoryarch.search._settings import FixedDelayHedging, NoHedging, QuantileHedging
from savoryarch.search._state import Attempt, Purpose, SearchState, Shard
from savoryarch.search._turn import Turn, emit, put_shard
from savoryarch.targets import choose_target, is_suspect, start_attempt
from savoryarch.utils import Budget, spend_tokens

ROOM_TIMER = "search/room/"
SLOW_TIMER = "search/slow/"

_RANK = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}


def pinned_snapshot(turn: Turn) -> SnapshotId:
    """Return the snapshot of a running query."""
    snapshot = turn.query.snapshot
    if snapshot is None:
        raise AssertionError("a running query has a snapshot")
    return snapshot


def choose(turn: Turn, service: str, exclude: frozenset[str]) -> str | None:
    """Choose a target with room that serves the query's snapshot and that it may run at."""
    target_id = choose_target(
        turn.targets,
        service,
        exclude=exclude,
        snapshot=turn.query.snapshot,
        now_ms=turn.now_ms,
    )
    if target_id is None or not may_run_at(turn, service, target_id):
        return None
    return target_id


def send_attempt(turn: Turn, service: str, shard: Shard, target_id: str, purpose: Purpose) -> Turn:
    """Send one attempt for a pending shard."""
    attempt_id = f"search/{turn.state.sent}"
    check_at_ms = turn.now_ms + slow_after_ms(turn, service, target_id)
    if shard.attempt_ids:
        check_at_ms = min(check_at_ms, shard.check_at_ms)
    shard = replace(
        shard,
        attempt_ids=(*shard.attempt_ids, attempt_id),
        tried=shard.tried | {target_id},
        check_at_ms=check_at_ms,
    )
    turn = _send(turn, service, target_id, purpose, "in_flight")
    return arm_check(put_shard(turn, service, shard), check_at_ms)


def send_trial(turn: Turn, service: str, target_id: str) -> Turn:
    """Send a copy of an attempt whose reply is used for nothing but its latency."""
    return _send(turn, service, target_id, Purpose.TRIAL, "abandoned")


def _send(turn: Turn, service: str, target_id: str, purpose: Purpose, life: str) -> Turn:
    query, state, now_ms = turn.query, turn.state, turn.now_ms
    snapshot = pinned_snapshot(turn)
    attempt_id = f"search/{state.sent}"
    attempt = Attempt(
        attempt_id=attempt_id,
        request_id=query.request_id,
        service=service,
        target_id=target_id,
        life=life,
        purpose=purpose,
        snapshot=snapshot,
        begun_at_ms=now_ms,
    )
    send = SendAttempt(
        attempt_id,
        target_id,
        query.deadline_at_ms - state.settings.answer_margin_ms,
        PartRequest(query.search.name, query.asked.query, snapshot),
    )
    state = replace(
        state,
        sent=state.sent + 1,
        attempts=state.attempts.set(attempt_id, attempt),
        quarantine=note_sent(turn, attempt),
    )
    return replace(
        turn,
        state=state,
        targets=start_attempt(turn.targets, target_id, now_ms),
        query=replace(query, may_have_run=query.may_have_run + 1),
        effects=(*turn.effects, send),
    )


def arm_check(turn: Turn, at_ms: float) -> Turn:
    """Have the slowness of the query's attempts judged at a time, or earlier."""
    query = turn.query
    if at_ms >= min(query.check_at_ms, query.deadline_at_ms):
        return turn
    turn = replace(turn, query=replace(query, check_at_ms=at_ms))
    return emit(turn, SetTimer(SLOW_TIMER + query.request_id, at_ms))


def slow_after_ms(turn: Turn, service: str, target_id: str) -> float:
    """Return how long an attempt may take before it counts as slow.

    The delay grows as the budget empties, so that it is spent on the slowest attempts. An attempt
    that tries a slow target again gets little time.
    """
    hedging = turn.state.settings.hedging
    match hedging:
        case FixedDelayHedging(delay_ms=delay_ms):
            return delay_ms
        case NoHedging():
            hedging = QuantileHedging()
        case QuantileHedging():
            pass
    known = turn.targets.services[service].latency_histogram
    if known.sample_count < hedging.least_samples:
        return hedging.first_delay_ms
    if is_suspect(turn.targets.usages[target_id]):
        return known.median_ms
    return known.tail_ms * (2.0 - _budget_level(turn))


def _budget_level(turn: Turn) -> float:
    """Return 1 while at least half of the budget is there, down to 0 when it is spent."""
    budget = turn.state.budgets.get(turn.query.search.name)
    burst = max(turn.state.settings.extra_load_burst, 1)
    return min(1.0, 2.0 * budget.tokens / burst) if budget else 1.0


def pay(turn: Turn, requests: int = 1) -> Turn | None:
    """Take extra sub-requests from the budget of the search; None if it is spent."""
    name = turn.query.search.name
    budget = spend_tokens(turn.state.budgets.get(name, Budget(0.0)), requests)
    if budget is None:
        return None
    return replace(turn, state=replace(turn.state, budgets=turn.state.budgets.set(name, budget)))


def give_back(turn: Turn) -> Turn:
    """Put the price of an extra sub-request back, because nothing of it has run."""
    name = turn.query.search.name
    budget = Budget(turn.state.budgets.get(name, Budget(0.0)).tokens + 1.0)
    return replace(turn, state=replace(turn.state, budgets=turn.state.budgets.set(name, budget)))


def cancel_attempt(turn: Turn, attempt_id: str) -> Turn:
    """Stop wanting an attempt; its place at the target is held until it ends."""
    attempt = turn.state.attempts[attempt_id]
    attempts = turn.state.attempts.set(attempt_id, replace(attempt, life="abandoned"))
    turn = replace(turn, state=replace(turn.state, attempts=attempts))
    return emit(turn, CancelAttempt(attempt_id, attempt.target_id))


def wait_for_room(turn: Turn, service: str, shard: Shard) -> Turn:
    """Queue a shard for the next free place, urgent requests first."""
    turn = put_shard(turn, service, shard)
    queue = turn.state.waiting.get(service, ())
    request_id = turn.query.request_id
    if request_id in queue:
        return turn
    place = _place(turn, queue)
    waiting = turn.state.waiting.set(service, (*queue[:place], request_id, *queue[place:]))
    turn = replace(turn, state=replace(turn.state, waiting=waiting))
    if queue:
        return turn
    at_ms = turn.now_ms + turn.state.settings.room_wait_ms
    return emit(turn, SetTimer(ROOM_TIMER + service, at_ms))


def _place(turn: Turn, queue: tuple[str, ...]) -> int:
    rank = _RANK[turn.query.priority]
    place = len(queue)
    while place and _rank_of(turn.state, queue[place - 1]) > rank:
        place -= 1
    return place


def _rank_of(state: SearchState, request_id: str) -> int:
    query = state.queries.get(request_id)
    return _RANK[query.priority] if query else 0


def count_retry(turn: Turn, reason: str) -> Turn:
    """Count an extra sub-request by its reason."""
    return emit(turn, Count("retries", reason))
