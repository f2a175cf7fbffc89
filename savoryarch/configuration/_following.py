"""How an instance follows the configuration in the store.

A few instances, chosen by rendezvous over the live peers, watch the store; the others hear from
them. When nobody has heard from the store for a while, the others take turns, a few at a time, so
that the calls on the store do not grow with the number of instances.
"""

from collections.abc import Callable
from dataclasses import replace

from savoryarch.configuration._draw import rank
from savoryarch.configuration._spreading import take_record
from savoryarch.configuration._state import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    STORE_CHART,
    ConfigurationDecided,
    ConfigurationState,
    number_call,
    then,
)
from savoryarch.model import (
    ClearTimer,
    ConfigurationRecord,
    Count,
    Decided,
    KeyAbsent,
    KeyRead,
    KeysChanged,
    KeysListed,
    ListKeys,
    LogEvent,
    SetTimer,
    StoreReply,
    WatchCompacted,
    WatchKeys,
)

RETRY_TIMER = "configuration/store"
RELIST_INTERVAL_MS = 30_000.0
LATE_WRITE_MS = 10_000.0
WATCHERS_SUBJECT = "configuration-watchers"


def fire_store(state: ConfigurationState, event: str, now_ms: float) -> ConfigurationDecided:
    """Step the chart ``configuration`` and carry out its actions; ignores what it has not."""
    store = state.store
    if not STORE_CHART.accepts(store.chart_state, event):
        return Decided(state)
    transition = STORE_CHART.step(store.chart_state, event)
    decided = Decided(replace(state, store=replace(store, chart_state=transition.next_state)))
    for action in transition.actions:
        decided = then(decided, _performer(action, now_ms))
    if transition.next_state == "current":
        decided = then(decided, lambda after: _go_on(after, now_ms))
    return decided


def choose_watchers(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Begin or end watching after the live peers changed."""
    return fire_store(state, "chosen" if is_watcher(state) else "released", now_ms)


def is_watcher(state: ConfigurationState) -> bool:
    """Return whether this instance is one of the few that watch the store."""
    return _rank(state) < state.settings.watchers


def take_turn(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Try the store if nobody has heard from it for long and it is this instance's turn."""
    if state.unsettled:
        return fire_store(state, "turn", now_ms)
    seen_at_ms = state.store.seen_at_ms
    takeover_ms = state.settings.takeover_ms
    silence_ms = takeover_ms if seen_at_ms is None else now_ms - seen_at_ms
    if silence_ms < takeover_ms:
        return Decided(state)
    watchers = state.settings.watchers
    blocks = -(-(len(state.peers) + 1) // watchers)
    block = int(silence_ms // state.settings.announce_interval_ms) % blocks
    if _rank(state) // watchers != block:
        return Decided(state)
    return fire_store(state, "turn", now_ms)


def hear_store(state: ConfigurationState, reply: StoreReply, now_ms: float) -> ConfigurationDecided:
    """Take the reply to the store call that is under way."""
    store = state.store
    match reply:
        case KeysListed(entries=entries, revision=revision):
            held = [entry for entry in entries if entry.key == CONFIGURATION_KEY]
            store = replace(store, since_revision=revision, listed_at_ms=now_ms, seen_at_ms=now_ms)
            state = replace(state, store=store)
            entry = held[0] if held else KeyAbsent(CONFIGURATION_KEY, revision)
            decided = take_stored(state, entry, store.asked_generation)
            decided = then(decided, lambda after: _give_up_unsettled(after, now_ms))
            return then(decided, lambda after: fire_store(after, "listed", now_ms))
        case KeysChanged(revision=revision) if revision < store.since_revision:
            return fire_store(_seen(state, now_ms), "compacted", now_ms)
        case KeysChanged():
            return _hear_changes(state, reply, now_ms)
        case WatchCompacted():
            return fire_store(_seen(state, now_ms), "compacted", now_ms)
        case _:
            return fire_store(state, "unusable", now_ms)


def decode_stored(
    state: ConfigurationState, entry: KeyRead | KeyAbsent
) -> ConfigurationRecord | None:
    """Return the record in the store; None if it cannot be decoded."""
    match entry:
        case KeyAbsent():
            return ConfigurationRecord()
        case KeyRead(value=value):
            return state.codec.decode_record(value)


def take_stored(
    state: ConfigurationState, entry: KeyRead | KeyAbsent, asked_generation: int
) -> ConfigurationDecided:
    """Take what the store holds if it is newer, or note that the store was restored.

    Parameters
    ----------
    state : ConfigurationState
        The state before.
    entry : KeyRead or KeyAbsent
        What the store replied.
    asked_generation : int
        What was in force here when the call was made. It was committed before, so a store that
        holds less was restored; what came into force since may be missing from the reply.
    """
    record = decode_stored(state, entry)
    if record is None:
        return Decided(state, (Count("store_values_refused", "malformed_configuration"),))
    behind = record.generation if record.generation < asked_generation else None
    state = replace(state, store=replace(state.store, behind_generation=behind))
    return take_record(state, record, "store")


def _give_up_unsettled(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Drop unknown changes that the store still lacks when a late write must have arrived."""
    gone = [
        change_id
        for change_id, item in sorted(state.unsettled.items())
        if now_ms - item.since_ms >= LATE_WRITE_MS
    ]
    unsettled = state.unsettled
    for change_id in gone:
        unsettled = unsettled.delete(change_id)
    effects = tuple(
        LogEvent("change_settled", (("change_id", change_id), ("outcome", "not_committed")))
        for change_id in gone
    )
    return Decided(replace(state, unsettled=unsettled), effects)


def _hear_changes(
    state: ConfigurationState, reply: KeysChanged, now_ms: float
) -> ConfigurationDecided:
    store = replace(state.store, since_revision=reply.revision, seen_at_ms=now_ms)
    decided: ConfigurationDecided = Decided(replace(state, store=store))
    for change in reply.changes:
        if change.key == CONFIGURATION_KEY and change.value is not None:
            decided = then(decided, _taker(KeyRead(change.key, change.value, change.revision)))
    deleted = any(item.key == CONFIGURATION_KEY and item.value is None for item in reply.changes)
    event = "compacted" if deleted else "listed"
    return then(decided, lambda after: fire_store(after, event, now_ms))


def _taker(entry: KeyRead) -> Callable[[ConfigurationState], ConfigurationDecided]:
    return lambda state: take_stored(state, entry, 0)


def _seen(state: ConfigurationState, now_ms: float) -> ConfigurationState:
    return replace(state, store=replace(state.store, seen_at_ms=now_ms))


def _go_on(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    if not is_watcher(state):
        return fire_store(state, "released", now_ms)
    listed_at_ms = state.store.listed_at_ms
    old = listed_at_ms is None or now_ms - listed_at_ms > RELIST_INTERVAL_MS
    return fire_store(state, "turn" if old else "chosen", now_ms)


def _performer(action: str, now_ms: float) -> Callable[[ConfigurationState], ConfigurationDecided]:
    match action:
        case "list_store":
            return _list_store
        case "watch_store":
            return _watch_store
        case "set_retry":
            return lambda state: Decided(
                state, (SetTimer(RETRY_TIMER, now_ms + state.settings.retry_interval_ms),)
            )
        case _:
            return lambda state: Decided(state, (ClearTimer(RETRY_TIMER),))


def _list_store(state: ConfigurationState) -> ConfigurationDecided:
    state, call_id = _begin_call(state)
    return Decided(state, (ListKeys(call_id, CONFIGURATION_PREFIX),))


def _watch_store(state: ConfigurationState) -> ConfigurationDecided:
    state, call_id = _begin_call(state)
    call = WatchKeys(
        call_id, CONFIGURATION_PREFIX, state.store.since_revision, state.settings.watch_wait_ms
    )
    return Decided(state, (call,))


def _begin_call(state: ConfigurationState) -> tuple[ConfigurationState, str]:
    state, call_id = number_call(state, "watch")
    store = replace(state.store, call_id=call_id, asked_generation=state.record.generation)
    return replace(state, store=store), call_id


def _rank(state: ConfigurationState) -> int:
    return rank(state.instance_id, state.peers, WATCHERS_SUBJECT)
