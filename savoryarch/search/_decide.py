"""Decides on searches: their admission, replies, timers and end."""

from collections import Counter
from collections.abc import Callable

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
    ShutdownTimeExpired,
    TimerFired,
)
from savoryarch.quarantine import (
    active_quarantines,
    fingerprint_request,
    handle_quarantine_message,
    record_attempt_result,
)
from savoryarch.search._admission import (
    ADMISSION_TIMER,
    admit_query,
    reject_query,
    release_admission,
    start_query,
)
from savoryarch.search._attempt_chart import (
    check_overdue,
    send_waiting,
    step_attempt,
)
from savoryarch.search._context import DecisionContext, commit_context
from savoryarch.search._quarantine import is_suspect, quarantined_for_ms
from savoryarch.search._query_chart import (
    ANSWER_TIMER,
    EARLY_ANSWER_TIMER,
    abandon_query,
    answer_early,
    answer_when_due,
    end_query,
    is_finished,
)
from savoryarch.search._replies import is_complete_part
from savoryarch.search._sending import CAPACITY_TIMER, OVERDUE_TIMER
from savoryarch.search._state import Attempt, Query, SearchState
from savoryarch.targets import TargetsState, end_attempt, has_capacity
from savoryarch.utils import replace

DecidedSearch = DecidedOnTargets[SearchState, TargetsState]

# Ratio of the initial limit to this instance's share of the slots. It is above 1, because bursts at
# several instances seldom coincide.
_BURST_RATIO = 2.0
_WAKE_MARGIN_MS = 1.0  # admission expires a ticket only after its latest start time has passed
_UNKNOWN_SEARCH = Search("", (), 0.0)


def decide_search(
    state: SearchState, targets: TargetsState, event: object, now_ms: float
) -> DecidedSearch:
    """Decide on one event that concerns searches.

    Parameters
    ----------
    state : SearchState
        State before the event.
    targets : TargetsState
        State of the targets. Attempts use their slots and release them.
    event : object
        Any event. One that does not concern searches has no effect.
    now_ms : float
        Time of the event, on the clock of the process.

    Returns
    -------
    decided : DecidedOnTargets
        The states after the event, and the effects. Each `SearchRequested` leads to exactly one
        `AnswerSearch`, in this decision or a later one, unless the caller disconnects.
    """
    decided = _handle_event(state, targets, event, now_ms)
    if not decided.state.admission.waiting:
        return decided
    return _admit_waiting(decided, now_ms)


def _handle_event(
    state: SearchState, targets: TargetsState, event: object, now_ms: float
) -> DecidedSearch:
    """Dispatch an event to the step that handles it."""
    match event:
        case SearchRequested():
            return _handle_request(state, targets, event, now_ms)
        case AttemptEnded(attempt_id=attempt_id) if attempt_id in state.attempts:
            return _handle_attempt_end(state, targets, event, now_ms)
        case TimerFired(timer_id=timer_id):
            return _handle_timer(state, targets, timer_id, now_ms)
        case CallerDisconnected(request_id=request_id):
            return _update_query(state, targets, request_id, now_ms, abandon_query)
        case DeclarationsInForce(declarations=declarations):
            return DecidedOnTargets(_apply_declarations(state, targets, declarations), targets)
        case PeerMessageReceived(message=message):
            handled = handle_quarantine_message(state.quarantine, message, now_ms)
            return DecidedOnTargets(
                replace(state, quarantine=handled.state), targets, handled.effects
            )
        case PeersChanged(live=live):
            return _update_peers(state, targets, frozenset(live), now_ms)
        case RequestIntakeStopped():
            return DecidedOnTargets(replace(state, stopping=True), targets)
        case ShutdownTimeExpired():
            return _end_queries(state, targets, now_ms)
        case _:
            return DecidedOnTargets(state, targets)


def _end_queries(state: SearchState, targets: TargetsState, now_ms: float) -> DecidedSearch:
    """Answer or refuse every query now, because its caller would get no answer after the exit.

    New requests are refused; an urgent stop does not stop their intake before.
    """
    decided: DecidedSearch = DecidedOnTargets(replace(state, stopping=True), targets)
    for request_id in sorted(state.queries):
        decided = _chain_decisions(decided, request_id, now_ms, end_query)
    return decided


def _apply_declarations(
    state: SearchState, targets: TargetsState, declarations: Declarations
) -> SearchState:
    """Put declarations into force; the initial limit of admission follows from the slots.

    The pools of all groups of services have the same initial limit. It is based on this instance's
    share of the slots of the smallest group.
    """
    slots: Counter[str] = Counter()
    for service in declarations.services.values():
        slots[service.group] += service.slots * len(service.targets)
    admission = state.admission
    if slots:
        share = max(1.0, _BURST_RATIO * min(slots.values()) / targets.live_instances)
        admission = replace(admission, settings=replace(admission.settings, initial_limit=share))
    return replace(state, declarations=declarations, chosen_snapshots=Map(), admission=admission)


def _update_peers(
    state: SearchState, targets: TargetsState, live: frozenset[str], now_ms: float
) -> DecidedSearch:
    """Record the live peers, and send the active quarantines to those that are new."""
    messages = active_quarantines(state.quarantine, now_ms)
    effects = tuple(
        SendToPeer(peer_id, message)
        for peer_id in sorted(live - state.live_peers)
        for message in messages
    )
    return DecidedOnTargets(replace(state, live_peers=live), targets, effects)


def _handle_request(
    state: SearchState, targets: TargetsState, request: SearchRequested, now_ms: float
) -> DecidedSearch:
    """Admit, queue or refuse a new request."""
    search = state.declarations.searches.get(request.search)
    context = DecisionContext(
        state, targets, _make_query(request, search or _UNKNOWN_SEARCH, now_ms), now_ms
    )
    reason = _rejection_reason(state.declarations, search, stopping=state.stopping)
    if reason is not None:
        return _commit_query(reject_query(context, reason))
    remaining_ms = quarantined_for_ms(context)
    if remaining_ms is not None:
        return _commit_query(reject_query(context, RefusalReason.QUARANTINED, remaining_ms))
    return _commit_query(admit_query(context))


def _rejection_reason(
    declarations: Declarations, search: Search | None, *, stopping: bool
) -> RefusalReason | None:
    """Return why a new request has to be refused without regard to the load; None if it has not."""
    if stopping:
        return RefusalReason.STOPPING
    if search is not None:
        return None
    if declarations.generation == 0:
        return RefusalReason.NO_CONFIGURATION
    return RefusalReason.UNKNOWN_SEARCH


def _make_query(request: SearchRequested, search: Search, now_ms: float) -> Query:
    """Return the query of a new request, with the earlier deadline of its search and caller."""
    deadline_at_ms = now_ms + search.deadline_ms
    if request.deadline_at_ms is not None:
        deadline_at_ms = min(deadline_at_ms, request.deadline_at_ms)
    return Query(
        request=request,
        search=search,
        received_at_ms=now_ms,
        deadline_at_ms=deadline_at_ms,
        priority=request.priority or search.priority,
        fingerprint=fingerprint_request(search.name, request.query),
        chart_state="asked",
    )


def _commit_query(context: DecisionContext) -> DecidedSearch:
    """Put the query into the state, or release its admission and remove it if it has ended."""
    if not is_finished(context):
        return commit_context(context, keep=True)
    context = replace(
        context, state=release_admission(context.state, context.query, context.now_ms)
    )
    return commit_context(context, keep=False)


def _admit_waiting(decided: DecidedSearch, now_ms: float) -> DecidedSearch:
    """Start the queries that are admitted now, and refuse those that cannot meet their deadline.

    Repeats until admission control admits or expires no further query, since each step may release
    capacity. The admission timer is then set for the next call.
    """
    while decided.state.admission.waiting:
        result = admit_waiting(decided.state.admission, now_ms)
        decided = replace(decided, state=replace(decided.state, admission=result.state))
        for ticket in result.admitted:
            decided = _chain_decisions(decided, ticket.request_id, now_ms, start_query)
        for ticket in result.expired:
            decided = _chain_decisions(decided, ticket.request_id, now_ms, _reject_expired)
        if not result.admitted and not result.expired:
            return _set_admission_timer(decided, result.wake_at_ms)
    return decided


def _chain_decisions(
    decided: DecidedSearch,
    request_id: str,
    now_ms: float,
    step: Callable[[DecisionContext], DecisionContext],
) -> DecidedSearch:
    """Run a further step on the decided state, and append its effects."""
    following = _update_query(decided.state, decided.targets, request_id, now_ms, step)
    return replace(following, effects=decided.effects + following.effects)


def _reject_expired(context: DecisionContext) -> DecisionContext:
    return reject_query(context, RefusalReason.OVERLOADED)


def _set_admission_timer(decided: DecidedSearch, wake_at_ms: float | None) -> DecidedSearch:
    """Set the admission timer unless it is set for the same time."""
    if wake_at_ms is None or wake_at_ms == decided.state.wake_at_ms:
        return decided
    state = replace(decided.state, wake_at_ms=wake_at_ms)
    timer = SetTimer(ADMISSION_TIMER, wake_at_ms + _WAKE_MARGIN_MS)
    return replace(decided, state=state, effects=(*decided.effects, timer))


def _update_query(
    state: SearchState,
    targets: TargetsState,
    request_id: str,
    now_ms: float,
    step: Callable[[DecisionContext], DecisionContext],
) -> DecidedSearch:
    """Run a step on a query; the id of a query that has ended has no effect."""
    query = state.queries.get(request_id)
    if query is None:
        return DecidedOnTargets(state, targets)
    return _commit_query(step(DecisionContext(state, targets, query, now_ms)))


def _handle_timer(
    state: SearchState, targets: TargetsState, timer_id: str, now_ms: float
) -> DecidedSearch:
    """Step the query, or check the queue of the service, whose timer has expired."""
    for prefix, step in _TIMER_STEPS.items():
        if timer_id.startswith(prefix):
            return _update_query(state, targets, timer_id.removeprefix(prefix), now_ms, step)
    if timer_id.startswith(CAPACITY_TIMER):
        return _dispatch_waiting(state, targets, timer_id.removeprefix(CAPACITY_TIMER), now_ms)
    return DecidedOnTargets(state, targets)


def _handle_attempt_end(
    state: SearchState, targets: TargetsState, ended: AttemptEnded, now_ms: float
) -> DecidedSearch:
    """Release the target's slot, apply the reply to the query, and dispatch waiting queries."""
    attempt = state.attempts[ended.attempt_id]
    recorded = record_attempt_result(state.quarantine, ended, now_ms)
    attempts = state.attempts.delete(ended.attempt_id)
    state = replace(state, attempts=attempts, quarantine=recorded.state)
    targets = end_attempt(targets, ended, now_ms - attempt.started_at_ms, now_ms)
    decided = _apply_reply(state, targets, attempt, ended, now_ms)
    decided = replace(decided, effects=recorded.effects + decided.effects)
    for service in _services_to_dispatch(decided.state, attempt):
        dispatched = _dispatch_waiting(
            decided.state, decided.targets, service, now_ms, set_timer=False
        )
        decided = replace(dispatched, effects=decided.effects + dispatched.effects)
    return decided


def _services_to_dispatch(state: SearchState, attempt: Attempt) -> tuple[str, ...]:
    """Return the services whose waiting queries may continue after an attempt has ended.

    A query that is suspected of crashing targets runs one attempt at a time, so that its other
    pending shards may have waited for this one.
    """
    query = state.queries.get(attempt.request_id)
    services = {attempt.service}
    if query is not None and is_suspect(state, query.fingerprint):
        services.update(query.pending)
    return tuple(sorted(service for service in services if service in state.waiting))


def _apply_reply(
    state: SearchState,
    targets: TargetsState,
    attempt: Attempt,
    ended: AttemptEnded,
    now_ms: float,
) -> DecidedSearch:
    """Step the attempt by its reply; the reply of a query that has ended is ignored."""
    event = "returned" if is_complete_part(attempt, ended.reply) else "failed"
    query = state.queries.get(attempt.request_id)
    if query is None:
        return DecidedOnTargets(state, targets)
    context = DecisionContext(state, targets, query, now_ms, ended)
    return _commit_query(step_attempt(context, attempt, event))


def _dispatch_waiting(
    state: SearchState,
    targets: TargetsState,
    service: str,
    now_ms: float,
    *,
    set_timer: bool = True,
) -> DecidedSearch:
    """Send the sub-requests that wait for a service, as long as it has capacity.

    `set_timer` sets the timer of the next check if queries still wait. After the end of an
    attempt, the timer is already set.
    """
    effects: tuple[object, ...] = ()
    for request_id in state.waiting.get(service, ()):
        if not has_capacity(targets, service, now_ms):
            break
        query = state.queries.get(request_id)
        if query is not None and _is_waiting(query, service):
            context = send_waiting(DecisionContext(state, targets, query, now_ms), service)
            if context is None:
                continue  # No replica that it may use has capacity, or the quarantine defers it.
            decided = _commit_query(context)
            state, targets = decided.state, decided.targets
            effects += decided.effects
        state = _remove_from_queue(state, service, request_id)
    if set_timer and service in state.waiting:
        effects += (SetTimer(CAPACITY_TIMER + service, now_ms + state.settings.room_wait_ms),)
    return DecidedOnTargets(state, targets, effects)


def _is_waiting(query: Query, service: str) -> bool:
    """Return whether the shard of a service is pending without an attempt in flight."""
    shard = query.pending.get(service)
    return shard is not None and not shard.attempt_ids


def _remove_from_queue(state: SearchState, service: str, request_id: str) -> SearchState:
    """Return the state without a request in the queue of a service."""
    queue = tuple(item for item in state.waiting.get(service, ()) if item != request_id)
    if queue:
        return replace(state, waiting=state.waiting.set(service, queue))
    return replace(state, waiting=state.waiting.delete(service))


_TIMER_STEPS: dict[str, Callable[[DecisionContext], DecisionContext]] = {
    ANSWER_TIMER: answer_when_due,
    EARLY_ANSWER_TIMER: answer_early,
    OVERDUE_TIMER: check_overdue,
}
