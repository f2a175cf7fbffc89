"""Commits an operator's change to the store by compare-and-swap.

An instance processes one change at a time and queues the others. After a compare-and-swap whose
reply was lost, the store is read again: the history of the stored record contains the change if
the write took effect.
"""

from collections.abc import Callable

from savoryarch.configuration._dissemination import disseminate_change
from savoryarch.configuration._evaluate import (
    AlreadyCommitted,
    Proposal,
    StaleRead,
    check_size,
    evaluate_change,
)
from savoryarch.configuration._following import apply_stored, decode_stored
from savoryarch.configuration._state import (
    CHANGE_CHART,
    CONFIGURATION_KEY,
    ConfigurationDecided,
    ConfigurationState,
    PendingChange,
    ProposedSwap,
    UnconfirmedChange,
    allocate_call_id,
    chain_decisions,
)
from savoryarch.model import (
    AnswerChange,
    ChangeAccepted,
    ChangeBlocked,
    ChangeConflicts,
    ChangeInvalid,
    ChangeOutcome,
    ChangeRequested,
    ChangeUnavailable,
    ChangeUnknown,
    ClearTimer,
    Count,
    Decided,
    KeyAbsent,
    KeyRead,
    LogEvent,
    ReadKey,
    SetTimer,
    StoreLimited,
    StoreReply,
    SwapConflict,
    SwapKey,
    Swapped,
)
from savoryarch.utils import replace

RETRY_TIMER = "configuration/change-retry"
ACKNOWLEDGE_TIMER = "configuration/acknowledge"
DEADLINE_TIMER = "configuration/deadline/"
# Index in `pending_changes` of the change in progress.
_HEAD = 0
_OUTCOME_LABELS: dict[type, str] = {
    ChangeAccepted: "accepted",
    ChangeConflicts: "conflict",
    ChangeInvalid: "invalid",
    ChangeUnavailable: "store_unavailable",
    ChangeBlocked: "blocked",
    ChangeUnknown: "unknown",
}


def queue_change(
    state: ConfigurationState, request: ChangeRequested, now_ms: float
) -> ConfigurationDecided:
    """Queue a change, and start it if no other change is in progress.

    A full queue refuses the change. A request that repeats the id of a queued change is not queued;
    it gets the answer of the first request.
    """
    if len(state.pending_changes) >= state.settings.change_queue_limit:
        outcome = ChangeUnavailable("too many changes wait on this instance")
        return Decided(
            state, (AnswerChange(request.change_id, outcome), Count("changes", "queue_full"))
        )
    if any(change.change_id == request.change_id for change in state.pending_changes):
        # `AnswerChange` for the first request also answers this one.
        return Decided(state, (Count("changes", "repeated"),))
    change = PendingChange(request.change_id, request.changes)
    state = replace(state, pending_changes=(*state.pending_changes, change))
    timer = SetTimer(DEADLINE_TIMER + request.change_id, now_ms + state.settings.change_timeout_ms)
    decided: ConfigurationDecided = Decided(state, (timer,))
    if len(state.pending_changes) == 1:
        decided = chain_decisions(decided, lambda after: _step_change(after, "dequeued", now_ms))
    return decided


def handle_change_reply(
    state: ConfigurationState, call_id: str, reply: StoreReply, now_ms: float
) -> ConfigurationDecided:
    """Continue the change in progress with the reply to its store call; ignore other replies."""
    if not state.pending_changes or state.pending_changes[_HEAD].call_id != call_id:
        return Decided(state)
    state = _set_change(state, _HEAD, replace(state.pending_changes[_HEAD], call_id=""))
    match reply:
        case KeyRead() | KeyAbsent():
            return _handle_read(state, reply, now_ms)
        case Swapped():
            return _step_change(state, "committed", now_ms)
        case SwapConflict():
            return _step_change(state, "conflict", now_ms)
        case StoreLimited():
            return _step_change(state, "rate_limited", now_ms)
        case _:
            return _step_change(state, "unreachable", now_ms)


def check_acknowledgements(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Accept the committed change as soon as enough live peers have announced its generation."""
    if not state.pending_changes:
        return Decided(state)
    head = state.pending_changes[_HEAD]
    if head.chart_state != "disseminating" or head.proposed is None:
        return Decided(state)
    generation = head.proposed.record.generation
    holders = sum(
        1
        for peer in state.peers
        if peer in state.peer_versions
        and state.peer_versions[peer].version.generation >= generation
    )
    if holders < min(state.settings.acknowledgements, len(state.peers)):
        return Decided(state)
    return _step_change(state, "acknowledged", now_ms)


def time_out_change(
    state: ConfigurationState, change_id: str, now_ms: float
) -> ConfigurationDecided:
    """Answer a change whose deadline has passed, whether or not it was started."""
    index = next(
        (
            position
            for position, item in enumerate(state.pending_changes)
            if item.change_id == change_id
        ),
        -1,
    )
    if index < 0:
        return Decided(state)
    return _step_change(state, "timed_out", now_ms, index)


def retry_change(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Read the store again after the retry interval."""
    return _step_change(state, "retry", now_ms)


def accept_unacknowledged(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Accept the committed change without the acknowledgements that have not arrived in time."""
    if state.pending_changes and state.pending_changes[_HEAD].chart_state == "disseminating":
        return _step_change(state, "timed_out", now_ms)
    return Decided(state)


def _handle_read(
    state: ConfigurationState, entry: KeyRead | KeyAbsent, now_ms: float
) -> ConfigurationDecided:
    """Evaluate the change in progress against the record that was read from the store."""
    head = state.pending_changes[_HEAD]
    stored = decode_stored(state, entry)
    if stored is None and _may_still_commit(head, entry):
        return _step_change(state, "unreachable", now_ms)
    if stored is None:
        return _resolve_change(
            state, ChangeUnavailable("the store's value cannot be decoded"), now_ms
        )
    state = replace(state, store=replace(state.store, last_contact_at_ms=now_ms))
    result = evaluate_change(
        head.change_id, head.changes, stored, state.record, head.version_at_read
    )
    if isinstance(result, AlreadyCommitted):
        outcome = ChangeAccepted(result.version.generation)
        head = replace(head, proposed=ProposedSwap(stored), outcome=outcome)
        return _step_change(_set_change(state, _HEAD, head), "committed", now_ms)
    decided = apply_stored(state, entry, head.version_at_read.generation)
    return chain_decisions(decided, lambda after: _apply_evaluation(after, result, entry, now_ms))


def _apply_evaluation(
    state: ConfigurationState,
    result: Proposal | StaleRead | ChangeOutcome,
    entry: KeyRead | KeyAbsent,
    now_ms: float,
) -> ConfigurationDecided:
    """Write the proposed record, read again or resolve the change.

    While an earlier write may still take effect, the change is not refused, and the store is read
    again.
    """
    match result:
        case StaleRead():
            return _step_change(state, "stale", now_ms)
        case Proposal(record=record):
            value = state.codec.encode_record(record)
            if too_large := check_size(value):
                return _resolve_change(state, too_large, now_ms)
            revision = entry.revision if isinstance(entry, KeyRead) else 0
            head = replace(
                state.pending_changes[_HEAD],
                proposed=ProposedSwap(record, value, revision),
                outcome=ChangeAccepted(record.generation),
            )
            return _step_change(_set_change(state, _HEAD, head), "prepared", now_ms)
        case outcome if _may_still_commit(state.pending_changes[_HEAD], entry):
            return _step_change(state, "unreachable", now_ms)
        case outcome:
            return _resolve_change(state, outcome, now_ms)


def _may_still_commit(change: PendingChange, entry: KeyRead | KeyAbsent) -> bool:
    """Return whether a compare-and-swap without a reply may still take effect.

    It may as long as the key is at the revision that the compare-and-swap expects. Until then an
    answer that nothing was changed could turn out to be wrong.
    """
    revision = entry.revision if isinstance(entry, KeyRead) else 0
    proposed = change.proposed
    return (
        change.swap_reply_lost and proposed is not None and proposed.expected_revision == revision
    )


def _resolve_change(
    state: ConfigurationState, outcome: ChangeOutcome, now_ms: float
) -> ConfigurationDecided:
    head = replace(state.pending_changes[_HEAD], outcome=outcome)
    return _step_change(_set_change(state, _HEAD, head), "resolved", now_ms)


def _step_change(
    state: ConfigurationState, event: str, now_ms: float, index: int = _HEAD
) -> ConfigurationDecided:
    """Step the chart ``change`` for the change at `index` and perform the transition's actions.

    An event that the current chart state does not accept changes nothing.
    """
    if index >= len(state.pending_changes):
        return Decided(state)
    change = state.pending_changes[index]
    if not CHANGE_CHART.has_transition(change.chart_state, event):
        return Decided(state)
    transition = CHANGE_CHART.step(change.chart_state, event)
    change = replace(change, chart_state=transition.next_state)
    decided: ConfigurationDecided = Decided(_set_change(state, index, change))
    for action in transition.actions:
        decided = chain_decisions(decided, _action_handler(action, index, now_ms))
    match transition.next_state:
        case "disseminating":
            return chain_decisions(decided, lambda after: check_acknowledgements(after, now_ms))
        case "done":
            return chain_decisions(decided, lambda after: _remove_change(after, index, now_ms))
        case _:
            return decided


def _action_handler(
    action: str, index: int, now_ms: float
) -> Callable[[ConfigurationState], ConfigurationDecided]:
    match action:
        case "read_store":
            return _read_store
        case "swap_store":
            return _swap_store
        case "set_retry":
            return lambda state: _set_retry(state, now_ms)
        case "record_lost_reply":
            return _record_lost_reply
        case "apply_committed":
            return lambda state: _apply_committed(state, now_ms)
        case "answer_timed_out":
            return lambda state: _answer_timed_out(state, index, now_ms)
        case _:
            return lambda state: _answer_change(state, index, state.pending_changes[index].outcome)


def _read_store(state: ConfigurationState) -> ConfigurationDecided:
    state, call_id = allocate_call_id(state, "change")
    head = replace(
        state.pending_changes[_HEAD],
        call_id=call_id,
        version_at_read=state.record.version,
        outcome=None,
    )
    return Decided(_set_change(state, _HEAD, head), (ReadKey(call_id, CONFIGURATION_KEY),))


def _swap_store(state: ConfigurationState) -> ConfigurationDecided:
    state, call_id = allocate_call_id(state, "change")
    head = replace(state.pending_changes[_HEAD], call_id=call_id)
    assert head.proposed is not None
    call = SwapKey(call_id, CONFIGURATION_KEY, head.proposed.value, head.proposed.expected_revision)
    return Decided(_set_change(state, _HEAD, head), (call,))


def _set_retry(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    timer = SetTimer(RETRY_TIMER, now_ms + state.settings.retry_interval_ms)
    return Decided(state, (timer, Count("retries", "configuration_store")))


def _record_lost_reply(state: ConfigurationState) -> ConfigurationDecided:
    head = replace(state.pending_changes[_HEAD], swap_reply_lost=True)
    return Decided(_set_change(state, _HEAD, head), (Count("changes", "reply_lost"),))


def _apply_committed(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    proposed = state.pending_changes[_HEAD].proposed
    assert proposed is not None
    state = replace(
        state, store=replace(state.store, last_contact_at_ms=now_ms, restored_generation=None)
    )
    decided = disseminate_change(state, proposed.record)
    timer = SetTimer(ACKNOWLEDGE_TIMER, now_ms + state.settings.acknowledge_timeout_ms)
    return chain_decisions(decided, lambda after: Decided(after, (timer,)))


def _answer_timed_out(state: ConfigurationState, index: int, now_ms: float) -> ConfigurationDecided:
    """Answer with `ChangeUnknown` if a write may have taken effect, else `ChangeUnavailable`."""
    change = state.pending_changes[index]
    if not change.swap_reply_lost or change.proposed is None:
        return _answer_change(
            state, index, ChangeUnavailable("the store gave no usable reply in time")
        )
    base_generation = change.proposed.record.generation - 1
    unconfirmed_changes = state.unconfirmed_changes.set(
        change.change_id, UnconfirmedChange(base_generation, now_ms)
    )
    state = replace(state, unconfirmed_changes=unconfirmed_changes)
    return _answer_change(
        state, index, ChangeUnknown("the reply of the store to the write was lost")
    )


def _answer_change(
    state: ConfigurationState, index: int, outcome: ChangeOutcome | None
) -> ConfigurationDecided:
    assert outcome is not None
    change_id = state.pending_changes[index].change_id
    label = _OUTCOME_LABELS[type(outcome)]
    effects = (
        AnswerChange(change_id, outcome),
        Count("changes", label),
        LogEvent("change_answered", (("change_id", change_id), ("outcome", label))),
    )
    return Decided(state, effects)


def _remove_change(state: ConfigurationState, index: int, now_ms: float) -> ConfigurationDecided:
    change_id = state.pending_changes[index].change_id
    changes = state.pending_changes[:index] + state.pending_changes[index + 1 :]
    effects: tuple[object, ...] = (ClearTimer(DEADLINE_TIMER + change_id),)
    if index == _HEAD:
        effects += (ClearTimer(RETRY_TIMER), ClearTimer(ACKNOWLEDGE_TIMER))
    decided: ConfigurationDecided = Decided(replace(state, pending_changes=changes), effects)
    return chain_decisions(decided, lambda after: _step_change(after, "dequeued", now_ms))


def _set_change(state: ConfigurationState, index: int, change: PendingChange) -> ConfigurationState:
    changes = (*state.pending_changes[:index], change, *state.pending_changes[index + 1 :])
    return replace(state, pending_changes=changes)
