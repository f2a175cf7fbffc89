"""Decides on searches: admission, replies, timers and the end of each query."""

from collections import Counter
from collections.abc import Callable
from dataclasses import replace

from immutables import Map

from savoryarch.admission import admit_waiting
from savoryarch.model import (
    AttemptEnded,
    CallerDisconnected,
    DecidedOnTargets,
    Declarations,
    DeclarationsInForce,
    PeerMessageReceived,
    PeersChanged,
    RefusalReason,
    RequestIntakeStopped,
    Search,
    SearchRequested,
    SendToPeer,
    SetTimer,
    TimerFired,
)
from savoryarch.quarantine import (
    active_quarantines,
    fingerprint_request,
    handle_quarantine_message,
    record_attempt_result,
)
from savoryarch.search._admit import (
    ADMISSION_TIMER,
    offer_query,
    release,
    start_query,
    turn_away,
)
from savoryarch.search._attempt_chart import (
    check_slowness,
    resume_waiting,
    step_attempt,
)
from savoryarch.search._guard import is_suspect, quarantined_for_ms
from savoryarch.search._query_chart import (
    DUE_TIMER,
    EARLY_TIMER,
    is_enough,
    is_finished,
    step_query,
)
from savoryarch.search._replies import is_whole_part
from savoryarch.search._sending import ROOM_TIMER, SLOW_TIMER
from savoryarch.search._state import Attempt, Query, SearchState
from savoryarch.search._turn import Turn, end_turn
from savoryarch.targets import TargetsState, end_attempt, has_capacity

DecidedSearch = DecidedOnTargets[SearchState, TargetsState]

_BURST_RATIO = 2.0  # bursts of the instances seldom coincide
_WAKE_MARGIN_MS = 1.0  # admission expires what is past its time, not what is at it
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
        Among its effects is exactly one `AnswerSearch` for each `SearchRequested`, unless the
        caller has gone.
    """
    decided = _decide(state, targets, event, now_ms)
    if not decided.state.admission.waiting:
        return decided
    return _admit_waiting(decided, now_ms)


def _decide(
    state: SearchState, targets: TargetsState, event: object, now_ms: float
) -> DecidedSearch:
    match event:
        case SearchRequested():
            return _ask(state, targets, event, now_ms)
        case AttemptEnded(attempt_id=attempt_id) if attempt_id in state.attempts:
            return _end_attempt(state, targets, event, now_ms)
        case TimerFired(timer_id=timer_id):
            return _fire(state, targets, timer_id, now_ms)
        case CallerDisconnected(request_id=request_id):
            return _on_query(state, targets, request_id, now_ms, _leave_caller)
        case DeclarationsInForce(declarations=declarations):
            return DecidedOnTargets(_declare(state, targets, declarations), targets)
        case PeerMessageReceived(message=message):
            heard = handle_quarantine_message(state.quarantine, message, now_ms)
            return DecidedOnTargets(replace(state, quarantine=heard.state), targets, heard.effects)
        case PeersChanged(live=live):
            return _meet_peers(state, targets, frozenset(live), now_ms)
        case RequestIntakeStopped():
            return DecidedOnTargets(replace(state, stopping=True), targets)
        case _:
            return DecidedOnTargets(state, targets)


def _declare(state: SearchState, targets: TargetsState, declarations: Declarations) -> SearchState:
    """Take the declarations over; admission starts from this instance's share of the slots."""
    slots: Counter[str] = Counter()
    for service in declarations.services.values():
        slots[service.group] += service.slots * len(service.targets)
    admission = state.admission
    if slots:
        share = max(1.0, _BURST_RATIO * min(slots.values()) / targets.live_instances)
        admission = replace(admission, settings=replace(admission.settings, initial_limit=share))
    return replace(state, declarations=declarations, chosen=Map(), admission=admission)


def _meet_peers(
    state: SearchState, targets: TargetsState, live: frozenset[str], now_ms: float
) -> DecidedSearch:
    """Tell new peers what is quarantined."""
    messages = active_quarantines(state.quarantine, now_ms)
    effects = tuple(
        SendToPeer(peer_id, message)
        for peer_id in sorted(live - state.peers)
        for message in messages
    )
    return DecidedOnTargets(replace(state, peers=live), targets, effects)


def _ask(
    state: SearchState, targets: TargetsState, asked: SearchRequested, now_ms: float
) -> DecidedSearch:
    search = state.declarations.searches.get(asked.search)
    turn = Turn(state, targets, _make_query(asked, search or _ANY_SEARCH, now_ms), now_ms)
    reason = _turn_away(state.declarations, search, stopping=state.stopping)
    if reason is not None:
        return _end(turn_away(turn, reason))
    left_ms = quarantined_for_ms(turn)
    if left_ms is not None:
        return _end(turn_away(turn, RefusalReason.QUARANTINED, left_ms))
    return _end(offer_query(turn))


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


def _make_query(asked: SearchRequested, search: Search, now_ms: float) -> Query:
    deadline_at_ms = now_ms + search.deadline_ms
    if asked.deadline_at_ms is not None:
        deadline_at_ms = min(deadline_at_ms, asked.deadline_at_ms)
    return Query(
        asked=asked,
        search=search,
        asked_at_ms=now_ms,
        deadline_at_ms=deadline_at_ms,
        priority=asked.priority or search.priority,
        fingerprint=fingerprint_request(search.name, asked.query),
        life="asked",
    )


def _end(turn: Turn) -> DecidedSearch:
    """Put the query back; if it has ended, give its place to those that wait for admission."""
    if not is_finished(turn):
        return end_turn(turn, keep=True)
    turn = replace(turn, state=release(turn.state, turn.query, turn.now_ms))
    return end_turn(turn, keep=False)


def _admit_waiting(decided: DecidedSearch, now_ms: float) -> DecidedSearch:
    """Start the queries that have room now, and refuse those that have waited too long."""
    while decided.state.admission.waiting:
        taken = admit_waiting(decided.state.admission, now_ms)
        decided = replace(decided, state=replace(decided.state, admission=taken.state))
        for ticket in taken.admitted:
            decided = _then(decided, ticket.request_id, now_ms, start_query)
        for ticket in taken.expired:
            decided = _then(decided, ticket.request_id, now_ms, _expire)
        if not taken.admitted and not taken.expired:
            return _set_wake(decided, taken.wake_at_ms)
    return decided


def _then(
    decided: DecidedSearch, request_id: str, now_ms: float, act: Callable[[Turn], Turn]
) -> DecidedSearch:
    after = _on_query(decided.state, decided.targets, request_id, now_ms, act)
    return replace(after, effects=decided.effects + after.effects)


def _expire(turn: Turn) -> Turn:
    return turn_away(turn, RefusalReason.OVERLOADED)


def _set_wake(decided: DecidedSearch, wake_at_ms: float | None) -> DecidedSearch:
    if wake_at_ms is None or wake_at_ms == decided.state.wake_at_ms:
        return decided
    state = replace(decided.state, wake_at_ms=wake_at_ms)
    timer = SetTimer(ADMISSION_TIMER, wake_at_ms + _WAKE_MARGIN_MS)
    return replace(decided, state=state, effects=(*decided.effects, timer))


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
    noted = record_attempt_result(state.quarantine, ended, now_ms)
    attempts = state.attempts.delete(ended.attempt_id)
    state = replace(state, attempts=attempts, quarantine=noted.state)
    targets = end_attempt(targets, ended, now_ms - attempt.begun_at_ms, now_ms)
    decided = _use_reply(state, targets, attempt, ended, now_ms)
    decided = replace(decided, effects=noted.effects + decided.effects)
    for service in _services_to_resume(decided.state, attempt):
        room = _give_room(decided.state, decided.targets, service, now_ms, rearm=False)
        decided = replace(room, effects=decided.effects + room.effects)
    return decided


def _services_to_resume(state: SearchState, attempt: Attempt) -> tuple[str, ...]:
    """Return the services with shards that may go on now that an attempt has ended."""
    query = state.queries.get(attempt.request_id)
    services = {attempt.service}
    if query is not None and is_suspect(state, query.fingerprint):
        services.update(query.pending)  # they waited for this attempt to end
    return tuple(sorted(service for service in services if service in state.waiting))


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
    for request_id in state.waiting.get(service, ()):
        if not has_capacity(targets, service, now_ms):
            break
        query = state.queries.get(request_id)
        if query is not None and _waits(query, service):
            turn = resume_waiting(Turn(state, targets, query, now_ms), service)
            if turn is None:
                continue  # has no replica left that has room, or has to run alone
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
