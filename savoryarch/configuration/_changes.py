"""How an operator's change is committed to the store by compare-and-swap.

One change is under way at a time; the others wait. A swap whose reply was lost is settled by
reading the store again: the change is in the history of the record if it took effect.
"""

from collections.abc import Callable
from dataclasses import replace

from savoryarch.configuration._evaluate import (
    Committed,
    Proposal,
    Stale,
    check_size,
    evaluate_change,
)
from savoryarch.configuration._following import decode_stored, take_stored
from savoryarch.configuration._spreading import spread_change
from savoryarch.configuration._state import (
    CHANGE_CHART,
    CONFIGURATION_KEY,
    ConfigurationDecided,
    ConfigurationState,
    PendingChange,
    ProposedSwap,
    Unsettled,
    number_call,
    then,
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

RETRY_TIMER = "configuration/change-retry"
ACKNOWLEDGE_TIMER = "configuration/acknowledge"
DEADLINE_TIMER = "configuration/deadline/"
_HEAD = 0
_REASONS: dict[type, str] = {
    ChangeAccepted: "accepted",
    ChangeConflicts: "conflict",
    ChangeInvalid: "invalid",
    ChangeUnavailable: "store_unavailable",
    ChangeBlocked: "blocked",
    ChangeUnknown: "unknown",
}


def ask_change(
    state: ConfigurationState, asked: ChangeRequested, now_ms: float
) -> ConfigurationDecided:
    """Queue a change and begin with it if it is the first."""
    if len(state.changes) >= state.settings.change_queue_limit:
        outcome = ChangeUnavailable("too many changes wait on this instance")
        return Decided(
            state, (AnswerChange(asked.change_id, outcome), Count("changes", "queue_full"))
        )
    if any(change.change_id == asked.change_id for change in state.changes):
        # The answer of the first is the answer of both.
        return Decided(state, (Count("changes", "repeated"),))
    change = PendingChange(asked.change_id, asked.changes)
    state = replace(state, changes=(*state.changes, change))
    timer = SetTimer(DEADLINE_TIMER + asked.change_id, now_ms + state.settings.change_timeout_ms)
    decided: ConfigurationDecided = Decided(state, (timer,))
    if len(state.changes) == 1:
        decided = then(decided, lambda after: _fire(after, "turn", now_ms))
    return decided


def hear_change_store(
    state: ConfigurationState, call_id: str, reply: StoreReply, now_ms: float
) -> ConfigurationDecided:
    """Take the reply to a store call of the change that is under way."""
    if not state.changes or state.changes[_HEAD].call_id != call_id:
        return Decided(state)
    state = _set_change(state, _HEAD, replace(state.changes[_HEAD], call_id=""))
    match reply:
        case KeyRead() | KeyAbsent():
            return _evaluate(state, reply, now_ms)
        case Swapped():
            return _fire(state, "committed", now_ms)
        case SwapConflict():
            return _fire(state, "conflict", now_ms)
        case StoreLimited():
            return _fire(state, "limited", now_ms)
        case _:
            return _fire(state, "unreachable", now_ms)


def check_holders(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Accept a committed change once enough peers hold it too."""
    if not state.changes:
        return Decided(state)
    head = state.changes[_HEAD]
    if head.chart_state != "spreading" or head.proposed is None:
        return Decided(state)
    generation = head.proposed.record.generation
    holders = sum(
        1
        for peer in state.peers
        if peer in state.heard and state.heard[peer].version.generation >= generation
    )
    if holders < min(state.settings.acknowledgements, len(state.peers)):
        return Decided(state)
    return _fire(state, "acknowledged", now_ms)


def time_out_change(
    state: ConfigurationState, change_id: str, now_ms: float
) -> ConfigurationDecided:
    """Answer a change whose time is up, also if it has not had its turn."""
    index = next(
        (place for place, item in enumerate(state.changes) if item.change_id == change_id), -1
    )
    if index < 0:
        return Decided(state)
    return _fire(state, "timed_out", now_ms, index)


def retry_change(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Read the store again."""
    return _fire(state, "retry", now_ms)


def accept_unacknowledged(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Stop waiting for peers that should hold the committed change."""
    if state.changes and state.changes[_HEAD].chart_state == "spreading":
        return _fire(state, "timed_out", now_ms)
    return Decided(state)


def _evaluate(
    state: ConfigurationState, entry: KeyRead | KeyAbsent, now_ms: float
) -> ConfigurationDecided:
    head = state.changes[_HEAD]
    stored = decode_stored(state, entry)
    if stored is None and _may_still_commit(head, entry):
        return _fire(state, "unreachable", now_ms)
    if stored is None:
        return _settle(state, ChangeUnavailable("the store's value cannot be decoded"), now_ms)
    state = replace(state, store=replace(state.store, seen_at_ms=now_ms))
    result = evaluate_change(head.change_id, head.changes, stored, state.record, head.asked_version)
    if isinstance(result, Committed):
        outcome = ChangeAccepted(result.version.generation)
        head = replace(head, proposed=ProposedSwap(stored), outcome=outcome)
        return _fire(_set_change(state, _HEAD, head), "committed", now_ms)
    decided = take_stored(state, entry, head.asked_version.generation)
    return then(decided, lambda after: _proceed(after, result, entry, now_ms))


def _proceed(
    state: ConfigurationState,
    result: Proposal | Stale | ChangeOutcome,
    entry: KeyRead | KeyAbsent,
    now_ms: float,
) -> ConfigurationDecided:
    match result:
        case Stale():
            return _fire(state, "stale", now_ms)
        case Proposal(record=record):
            value = state.codec.encode_record(record)
            if too_large := check_size(value):
                return _settle(state, too_large, now_ms)
            revision = entry.revision if isinstance(entry, KeyRead) else 0
            head = replace(
                state.changes[_HEAD],
                proposed=ProposedSwap(record, value, revision),
                outcome=ChangeAccepted(record.generation),
            )
            return _fire(_set_change(state, _HEAD, head), "ready", now_ms)
        case outcome if _may_still_commit(state.changes[_HEAD], entry):
            return _fire(state, "unreachable", now_ms)
        case outcome:
            return _settle(state, outcome, now_ms)


def _may_still_commit(change: PendingChange, entry: KeyRead | KeyAbsent) -> bool:
    """Return whether a swap whose reply was lost may yet take effect, so that no refusal is true.

    It can for as long as the key is at the revision that the swap replaces.
    """
    revision = entry.revision if isinstance(entry, KeyRead) else 0
    proposed = change.proposed
    return change.swap_lost and proposed is not None and proposed.expected_revision == revision


def _settle(
    state: ConfigurationState, outcome: ChangeOutcome, now_ms: float
) -> ConfigurationDecided:
    head = replace(state.changes[_HEAD], outcome=outcome)
    return _fire(_set_change(state, _HEAD, head), "settled", now_ms)


def _fire(
    state: ConfigurationState, event: str, now_ms: float, index: int = _HEAD
) -> ConfigurationDecided:
    """Step the chart ``change`` of one change and carry out its actions."""
    if index >= len(state.changes):
        return Decided(state)
    change = state.changes[index]
    if not CHANGE_CHART.accepts(change.chart_state, event):
        return Decided(state)
    transition = CHANGE_CHART.step(change.chart_state, event)
    change = replace(change, chart_state=transition.next_state)
    decided: ConfigurationDecided = Decided(_set_change(state, index, change))
    for action in transition.actions:
        decided = then(decided, _performer(action, index, now_ms))
    match transition.next_state:
        case "spreading":
            return then(decided, lambda after: check_holders(after, now_ms))
        case "done":
            return then(decided, lambda after: _remove(after, index, now_ms))
        case _:
            return decided


def _performer(
    action: str, index: int, now_ms: float
) -> Callable[[ConfigurationState], ConfigurationDecided]:
    match action:
        case "read_store":
            return _read_store
        case "swap_store":
            return _swap_store
        case "set_retry":
            return lambda state: _set_retry(state, now_ms)
        case "note_lost":
            return _note_lost
        case "take_committed":
            return lambda state: _take_committed(state, now_ms)
        case "answer_timed_out":
            return lambda state: _answer_timed_out(state, index, now_ms)
        case _:
            return lambda state: _answer(state, index, state.changes[index].outcome)


def _read_store(state: ConfigurationState) -> ConfigurationDecided:
    state, call_id = number_call(state, "change")
    head = replace(
        state.changes[_HEAD], call_id=call_id, asked_version=state.record.version, outcome=None
    )
    return Decided(_set_change(state, _HEAD, head), (ReadKey(call_id, CONFIGURATION_KEY),))


def _swap_store(state: ConfigurationState) -> ConfigurationDecided:
    state, call_id = number_call(state, "change")
    head = replace(state.changes[_HEAD], call_id=call_id)
    assert head.proposed is not None
    call = SwapKey(call_id, CONFIGURATION_KEY, head.proposed.value, head.proposed.expected_revision)
    return Decided(_set_change(state, _HEAD, head), (call,))


def _set_retry(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    timer = SetTimer(RETRY_TIMER, now_ms + state.settings.retry_interval_ms)
    return Decided(state, (timer, Count("retries", "configuration_store")))


def _note_lost(state: ConfigurationState) -> ConfigurationDecided:
    head = replace(state.changes[_HEAD], swap_lost=True)
    return Decided(_set_change(state, _HEAD, head), (Count("changes", "reply_lost"),))


def _take_committed(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    proposed = state.changes[_HEAD].proposed
    assert proposed is not None
    state = replace(state, store=replace(state.store, seen_at_ms=now_ms, behind_generation=None))
    decided = spread_change(state, proposed.record)
    timer = SetTimer(ACKNOWLEDGE_TIMER, now_ms + state.settings.acknowledge_timeout_ms)
    return then(decided, lambda after: Decided(after, (timer,)))


def _answer_timed_out(state: ConfigurationState, index: int, now_ms: float) -> ConfigurationDecided:
    change = state.changes[index]
    if not change.swap_lost or change.proposed is None:
        return _answer(state, index, ChangeUnavailable("the store gave no usable reply in time"))
    base_generation = change.proposed.record.generation - 1
    unsettled = state.unsettled.set(change.change_id, Unsettled(base_generation, now_ms))
    state = replace(state, unsettled=unsettled)
    return _answer(state, index, ChangeUnknown("the reply of the store to the write was lost"))


def _answer(
    state: ConfigurationState, index: int, outcome: ChangeOutcome | None
) -> ConfigurationDecided:
    assert outcome is not None
    change_id = state.changes[index].change_id
    reason = _REASONS[type(outcome)]
    effects = (
        AnswerChange(change_id, outcome),
        Count("changes", reason),
        LogEvent("change_answered", (("change_id", change_id), ("outcome", reason))),
    )
    return Decided(state, effects)


def _remove(state: ConfigurationState, index: int, now_ms: float) -> ConfigurationDecided:
    change_id = state.changes[index].change_id
    changes = state.changes[:index] + state.changes[index + 1 :]
    effects: tuple[object, ...] = (ClearTimer(DEADLINE_TIMER + change_id),)
    if index == _HEAD:
        effects += (ClearTimer(RETRY_TIMER), ClearTimer(ACKNOWLEDGE_TIMER))
    decided: ConfigurationDecided = Decided(replace(state, changes=changes), effects)
    return then(decided, lambda after: _fire(after, "turn", now_ms))


def _set_change(state: ConfigurationState, index: int, change: PendingChange) -> ConfigurationState:
    changes = (*state.changes[:index], change, *state.changes[index + 1 :])
    return replace(state, changes=changes)
