"""Decides on searches: admission, replies, timers and the end of each query."""

from collections.abc import Callable
from dataclasses import replace

from immutables import Map

from savoryarch.model import (
    AttemptEnded,
    CallerGone,
    DecidedOnTargets,
    Declarations,
    DeclarationsInForce,
    NewWorkEnded,
    RefusalReason,
    Search,
    SearchAsked,
    SetTimer,
    TimerFired,
)
from savoryarch.search._attempt_chart import (
    check_slowness,
    is_whole_part,
    resume_waiting,
    step_attempt,
)
from savoryarch.search._query_chart import (
    DUE_TIMER,
    EARLY_TIMER,
    is_enough,
    is_finished,
    step_query,
)
from savoryarch.search._sending import ROOM_TIMER, SLOW_TIMER
from savoryarch.search._snapshots import choose_snapshot
from savoryarch.search._state import Attempt, Query, SearchState
from savoryarch.search._turn import Turn, end_turn
from savoryarch.targets import TargetsState, end_attempt

DecidedSearch = DecidedOnTargets[SearchState, TargetsState]

_ANY_SEARCH = Search("", (), 0.0)


def decide_search(
    state: SearchState, targets: TargetsState, event: object, now_ms: float
) -> DecidedSearch:
    """Decide on one event of the searches.

    Parameters
    ----------
    state : SearchState
        Before the event.
    targets : TargetsState
        The targets, whose places the attempts take and give back.
    event : object
        Any event; those that do not concern searches change nothing.
    now_ms : float
        Time of the event.

    Returns
    -------
    decided : DecidedOnTargets
        Among its effects is exactly one `AnswerSearch` for each `SearchAsked`, unless the caller
        has gone.
    """
    match event:
        case SearchAsked():
            return _ask(state, targets, event, now_ms)
        case AttemptEnded(attempt_id=attempt_id) if attempt_id in state.attempts:
            return _end_attempt(state, targets, event, now_ms)
        case TimerFired(timer_id=timer_id):
            return _fire(state, targets, timer_id, now_ms)
        case CallerGone(request_id=request_id):
            return _on_query(state, targets, request_id, now_ms, _leave_caller)
        case DeclarationsInForce(declarations=declarations):
            return DecidedOnTargets(
                replace(state, declarations=declarations, chosen=Map()), targets
            )
        case NewWorkEnded():
            return DecidedOnTargets(replace(state, stopping=True), targets)
        case _:
            return DecidedOnTargets(state, targets)


def _ask(
    state: SearchState, targets: TargetsState, asked: SearchAsked, now_ms: float
) -> DecidedSearch:
    search = state.declarations.searches.get(asked.search)
    reason = _turn_away(state.declarations, search, stopping=state.stopping)
    query = _make_query(asked, search or _ANY_SEARCH, now_ms)
    turn = Turn(state, targets, query, now_ms)
    if reason is None and search is not None:
        state, snapshot = choose_snapshot(state, targets, search)
        turn = replace(turn, state=state, query=replace(query, snapshot=snapshot))
        if snapshot is None:
            reason = RefusalReason.NO_SNAPSHOT
        elif query.deadline_at_ms - now_ms <= state.settings.answer_margin_ms:
            reason = RefusalReason.DEADLINE_TOO_SHORT
    if reason is not None:
        turn = replace(turn, query=replace(turn.query, refusal=reason))
        return _end(step_query(turn, "turned_away"))
    return _end(step_query(turn, "admitted"))


def _turn_away(
    declarations: Declarations, search: Search | None, *, stopping: bool
) -> RefusalReason | None:
    if stopping:
        return RefusalReason.STOPPING
    if search is not None:
        return None
    if declarations.generation == 0:
        return RefusalReason.NO_CONFIGURATION
    return RefusalReason.UNKNOWN_SEARCH


def _make_query(asked: SearchAsked, search: Search, now_ms: float) -> Query:
    deadline_at_ms = now_ms + search.deadline_ms
    if asked.deadline_at_ms is not None:
        deadline_at_ms = min(deadline_at_ms, asked.deadline_at_ms)
    return Query(
        asked=asked,
        search=search,
        asked_at_ms=now_ms,
        deadline_at_ms=deadline_at_ms,
        priority=asked.priority or search.priority,
        life="asked",
    )


def _end(turn: Turn) -> DecidedSearch:
    return end_turn(turn, keep=not is_finished(turn))


def _on_query(
    state: SearchState,
    targets: TargetsState,
    request_id: str,
    now_ms: float,
    act: Callable[[Turn], Turn],
) -> DecidedSearch:
    """Act on a query, if it has no answer yet."""
    query = state.queries.get(request_id)
    if query is None:
        return DecidedOnTargets(state, targets)
    return _end(act(Turn(state, targets, query, now_ms)))


def _leave_caller(turn: Turn) -> Turn:
    return step_query(turn, "caller_gone")


def _answer_due(turn: Turn) -> Turn:
    return step_query(turn, "due" if is_enough(turn, len(turn.query.parts)) else "fell_short")


def _answer_early(turn: Turn) -> Turn:
    return step_query(turn, "due") if is_enough(turn, len(turn.query.parts)) else turn


def _fire(state: SearchState, targets: TargetsState, timer_id: str, now_ms: float) -> DecidedSearch:
    for prefix, act in _TIMERS.items():
        if timer_id.startswith(prefix):
            return _on_query(state, targets, timer_id.removeprefix(prefix), now_ms, act)
    if timer_id.startswith(ROOM_TIMER):
        return _give_room(state, targets, timer_id.removeprefix(ROOM_TIMER), now_ms)
    return DecidedOnTargets(state, targets)


def _end_attempt(
    state: SearchState, targets: TargetsState, ended: AttemptEnded, now_ms: float
) -> DecidedSearch:
    """Give the place back, let the query use the reply if it still wants it, fill the place."""
    attempt = state.attempts[ended.attempt_id]
    state = replace(state, attempts=state.attempts.delete(ended.attempt_id))
    targets = end_attempt(targets, ended, now_ms - attempt.begun_at_ms, now_ms)
    decided = _use_reply(state, targets, attempt, ended, now_ms)
    if attempt.service not in decided.state.waiting:
        return decided
    room = _give_room(decided.state, decided.targets, attempt.service, now_ms, rearm=False)
    return replace(room, effects=decided.effects + room.effects)


def _use_reply(
    state: SearchState,
    targets: TargetsState,
    attempt: Attempt,
    ended: AttemptEnded,
    now_ms: float,
) -> DecidedSearch:
    event = "returned" if is_whole_part(attempt, ended.reply) else "failed"
    query = state.queries.get(attempt.request_id)
    if query is None:
        return DecidedOnTargets(state, targets)  # answered already; the reply goes nowhere
    turn = Turn(state, targets, query, now_ms, ended)
    return _end(step_attempt(turn, attempt, event))


def _give_room(
    state: SearchState,
    targets: TargetsState,
    service: str,
    now_ms: float,
    *,
    rearm: bool = True,
) -> DecidedSearch:
    """Let shards that wait for a service go, as far as there is room."""
    effects: tuple[object, ...] = ()
    while queue := state.waiting.get(service, ()):
        request_id = queue[0]
        query = state.queries.get(request_id)
        if query is not None and _waits(query, service):
            turn = resume_waiting(Turn(state, targets, query, now_ms), service)
            if turn is None:
                break
            decided = _end(turn)
            state, targets = decided.state, decided.targets
            effects += decided.effects
        state = _leave_queue(state, service, request_id)
    if rearm and service in state.waiting:
        effects += (SetTimer(ROOM_TIMER + service, now_ms + state.settings.room_wait_ms),)
    return DecidedOnTargets(state, targets, effects)


def _waits(query: Query, service: str) -> bool:
    shard = query.pending.get(service)
    return shard is not None and not shard.attempt_ids


def _leave_queue(state: SearchState, service: str, request_id: str) -> SearchState:
    queue = tuple(item for item in state.waiting.get(service, ()) if item != request_id)
    if queue:
        return replace(state, waiting=state.waiting.set(service, queue))
    return replace(state, waiting=state.waiting.delete(service))


_TIMERS: dict[str, Callable[[Turn], Turn]] = {
    DUE_TIMER: _answer_due,
    EARLY_TIMER: _answer_early,
    SLOW_TIMER: check_slowness,
}
