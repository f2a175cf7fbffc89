"""Follows the configuration in the store.

A few instances, selected among the live peers by rendezvous hashing, watch the store; the others
receive new versions from their peers. When no instance is known to have had a reply from the store
for a while, the other instances poll it in turn, a few at a time, so that the number of calls to
the store does not grow with the number of instances.
"""

from collections.abc import Callable

from savoryarch.configuration._dissemination import apply_record
from savoryarch.configuration._sampling import rendezvous_rank
from savoryarch.configuration._state import (
    CONFIGURATION_KEY,
    CONFIGURATION_PREFIX,
    STORE_CHART,
    ConfigurationDecided,
    ConfigurationState,
    allocate_call_id,
    chain_decisions,
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
from savoryarch.utils import replace

RETRY_TIMER = "configuration/store"
# Time after which a watcher lists the store again instead of continuing to watch.
RELIST_INTERVAL_MS = 30_000.0
# Longest time after which a write that got no reply may still take effect.
MAX_WRITE_DELAY_MS = 10_000.0
WATCHERS_TOPIC = "configuration-watchers"


def step_store(state: ConfigurationState, event: str, now_ms: float) -> ConfigurationDecided:
    """Step the chart ``configuration`` and perform the transition's actions.

    An event that the current chart state does not accept changes nothing.
    """
    store = state.store
    if not STORE_CHART.has_transition(store.chart_state, event):
        return Decided(state)
    transition = STORE_CHART.step(store.chart_state, event)
    decided = Decided(replace(state, store=replace(store, chart_state=transition.next_state)))
    for action in transition.actions:
        decided = chain_decisions(decided, _action_handler(action, now_ms))
    if transition.next_state == "up_to_date":
        decided = chain_decisions(decided, lambda after: _continue_following(after, now_ms))
    return decided


def update_watching(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Start or stop watching the store after the live peers changed."""
    return step_store(state, "selected" if is_watcher(state) else "deselected", now_ms)


def is_watcher(state: ConfigurationState) -> bool:
    """Return whether this instance is among those selected to watch the store."""
    return _watcher_rank(state) < state.settings.watchers


def poll_store_if_due(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Read the store if a change is unconfirmed, or if no instance had a reply for `takeover_ms`.

    After `takeover_ms` without a reply, the instances are divided by rank into blocks of
    `watchers` instances, and in each announce interval one block reads the store.
    """
    if state.unconfirmed_changes:
        return step_store(state, "poll_due", now_ms)
    last_contact_at_ms = state.store.last_contact_at_ms
    takeover_ms = state.settings.takeover_ms
    silence_ms = takeover_ms if last_contact_at_ms is None else now_ms - last_contact_at_ms
    if silence_ms < takeover_ms:
        return Decided(state)
    watchers = state.settings.watchers
    blocks = -(-(len(state.peers) + 1) // watchers)
    block = int(silence_ms // state.settings.announce_interval_ms) % blocks
    if _watcher_rank(state) // watchers != block:
        return Decided(state)
    return step_store(state, "poll_due", now_ms)


def handle_store_reply(
    state: ConfigurationState, reply: StoreReply, now_ms: float
) -> ConfigurationDecided:
    """Apply the reply to the store call in flight."""
    store = state.store
    match reply:
        case KeysListed(entries=entries, revision=revision):
            current_entries = [entry for entry in entries if entry.key == CONFIGURATION_KEY]
            store = replace(
                store, since_revision=revision, listed_at_ms=now_ms, last_contact_at_ms=now_ms
            )
            state = replace(state, store=store)
            entry = (
                current_entries[0] if current_entries else KeyAbsent(CONFIGURATION_KEY, revision)
            )
            decided = apply_stored(state, entry, store.generation_at_call)
            decided = chain_decisions(decided, lambda after: _drop_uncommitted(after, now_ms))
            return chain_decisions(decided, lambda after: step_store(after, "listed", now_ms))
        case KeysChanged(revision=revision) if revision < store.since_revision:
            return step_store(_record_contact(state, now_ms), "compacted", now_ms)
        case KeysChanged():
            return _handle_changes(state, reply, now_ms)
        case WatchCompacted():
            return step_store(_record_contact(state, now_ms), "compacted", now_ms)
        case _:
            return step_store(state, "unusable", now_ms)


def decode_stored(
    state: ConfigurationState, entry: KeyRead | KeyAbsent
) -> ConfigurationRecord | None:
    """Return the record in the store, an empty one if the key is absent; None if malformed."""
    match entry:
        case KeyAbsent():
            return ConfigurationRecord()
        case KeyRead(value=value):
            return state.codec.decode_record(value)


def apply_stored(
    state: ConfigurationState, entry: KeyRead | KeyAbsent, generation_at_call: int
) -> ConfigurationDecided:
    """Apply the record in the store if it is newer, or record that the store was restored.

    Parameters
    ----------
    state : ConfigurationState
        State before the reply.
    entry : KeyRead or KeyAbsent
        The reply of the store.
    generation_at_call : int
        Generation that was in force here when the call was made. It had been committed, so a
        store with an older generation was restored. Generations that came into force after the
        call may be missing from the reply.
    """
    record = decode_stored(state, entry)
    if record is None:
        return Decided(state, (Count("store_values_refused", "malformed_configuration"),))
    restored_generation = record.generation if record.generation < generation_at_call else None
    state = replace(state, store=replace(state.store, restored_generation=restored_generation))
    return apply_record(state, record, "store")


def _drop_uncommitted(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Drop unconfirmed changes that the store lacks after the longest delay of a write."""
    expired_ids = [
        change_id
        for change_id, item in sorted(state.unconfirmed_changes.items())
        if now_ms - item.answered_at_ms >= MAX_WRITE_DELAY_MS
    ]
    unconfirmed_changes = state.unconfirmed_changes
    for change_id in expired_ids:
        unconfirmed_changes = unconfirmed_changes.delete(change_id)
    effects = tuple(
        LogEvent("change_settled", (("change_id", change_id), ("outcome", "not_committed")))
        for change_id in expired_ids
    )
    return Decided(replace(state, unconfirmed_changes=unconfirmed_changes), effects)


def _handle_changes(
    state: ConfigurationState, reply: KeysChanged, now_ms: float
) -> ConfigurationDecided:
    """Apply the changes that a watch returned; list the store if the key was deleted."""
    store = replace(state.store, since_revision=reply.revision, last_contact_at_ms=now_ms)
    decided: ConfigurationDecided = Decided(replace(state, store=store))
    for change in reply.changes:
        if change.key == CONFIGURATION_KEY and change.value is not None:
            decided = chain_decisions(
                decided, _entry_applier(KeyRead(change.key, change.value, change.revision))
            )
    deleted = any(item.key == CONFIGURATION_KEY and item.value is None for item in reply.changes)
    event = "compacted" if deleted else "listed"
    return chain_decisions(decided, lambda after: step_store(after, event, now_ms))


def _entry_applier(entry: KeyRead) -> Callable[[ConfigurationState], ConfigurationDecided]:
    """Return a step that applies an entry from a watch, without a check for a restored store."""
    return lambda state: apply_stored(state, entry, 0)


def _record_contact(state: ConfigurationState, now_ms: float) -> ConfigurationState:
    return replace(state, store=replace(state.store, last_contact_at_ms=now_ms))


def _continue_following(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Decide what follows a reply: watch, list again, or stop if others are the watchers."""
    if not is_watcher(state):
        return step_store(state, "deselected", now_ms)
    listed_at_ms = state.store.listed_at_ms
    relist = listed_at_ms is None or now_ms - listed_at_ms > RELIST_INTERVAL_MS
    return step_store(state, "poll_due" if relist else "selected", now_ms)


def _action_handler(
    action: str, now_ms: float
) -> Callable[[ConfigurationState], ConfigurationDecided]:
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
    state, call_id = _start_call(state)
    return Decided(state, (ListKeys(call_id, CONFIGURATION_PREFIX),))


def _watch_store(state: ConfigurationState) -> ConfigurationDecided:
    state, call_id = _start_call(state)
    call = WatchKeys(
        call_id, CONFIGURATION_PREFIX, state.store.since_revision, state.settings.watch_wait_ms
    )
    return Decided(state, (call,))


def _start_call(state: ConfigurationState) -> tuple[ConfigurationState, str]:
    """Return the state with a new call in flight, which replaces an earlier one, and its id."""
    state, call_id = allocate_call_id(state, "watch")
    store = replace(state.store, call_id=call_id, generation_at_call=state.record.generation)
    return replace(state, store=store), call_id


def _watcher_rank(state: ConfigurationState) -> int:
    return rendezvous_rank(state.instance_id, state.peers, WATCHERS_TOPIC)
