"""Executes calls of the store stand-in, as pure functions of its immutable state."""

from dataclasses import replace

from immutables import Map

from savoryarch.model import (
    GrantLease,
    KeepLease,
    KeyAbsent,
    KeyChange,
    KeyRead,
    KeysChanged,
    KeysListed,
    LeaseEnded,
    LeaseGranted,
    ListKeys,
    PutLeased,
    ReadKey,
    StoreCall,
    StoreLimited,
    StoreReply,
    StoreUnreachable,
    SwapConflict,
    SwapKey,
    Swapped,
    WatchCompacted,
    WatchKeys,
)
from savoryarch_standins.store._state import (
    MAX_VALUE_BYTES,
    Call,
    CallBudget,
    CallLost,
    CallResult,
    DeleteKey,
    Lease,
    Reply,
    ReplyLost,
    StoredValue,
    StoreState,
    Unavailable,
    ValueTooLarge,
    WatchPending,
)

_MS_PER_S = 1000.0


def call_store(state: StoreState, call: Call, now_ms: float) -> CallResult:
    """Execute a call, subject to the faults and rate limits that are set.

    Parameters
    ----------
    state : StoreState
        State before the call.
    call : Call
        The call.
    now_ms : float
        Present time, for leases and rate limits.

    Returns
    -------
    result : CallResult
        State after the call and its reply; `CallLost` and `ReplyLost` mean that the client gets
        no reply, and `WatchPending` that there are no changes for the watch yet.
    """
    state = _increment_count(expire_leases(state, now_ms), type(call).__name__)
    switches = state.switches
    if switches.forgets:  # the history is dropped, so that watches have to list again
        state = replace(state, history=Map(), compacted_revision=state.revision)
    if switches.outage:
        return CallResult(_increment_count(state, "unavailable"), Unavailable())
    if switches.lose_calls > 0:
        switches = replace(switches, lose_calls=switches.lose_calls - 1)
        return CallResult(
            _increment_count(replace(state, switches=switches), "call_lost"), CallLost()
        )
    state, is_allowed = _spend_budget(state, call, now_ms)
    if not is_allowed:
        return CallResult(_increment_count(state, "limited"), StoreLimited())
    result = _execute(state, call, now_ms)
    has_written = result.state.revision > state.revision
    if has_written and switches.lose_replies > 0:
        switches = replace(switches, lose_replies=switches.lose_replies - 1)
        state = replace(result.state, switches=switches)
        return CallResult(_increment_count(state, "reply_lost"), ReplyLost())
    return result


def call_store_as_client(
    state: StoreState, call: StoreCall, now_ms: float
) -> tuple[StoreState, StoreReply | None]:
    """Execute a call and return the state after it and the reply as a client gets it.

    Faults give `StoreUnreachable`. The reply is None for a watch that has to wait for changes.
    """
    result = call_store(state, call, now_ms)
    match result.reply:
        case WatchPending():
            return result.state, None
        case Unavailable():
            return result.state, StoreUnreachable("HTTP 503")
        case CallLost() | ReplyLost():
            return result.state, StoreUnreachable("connection lost")
        case ValueTooLarge() as reply:
            return result.state, StoreUnreachable(type(reply).__name__)
        case reply:
            return result.state, reply


def expire_leases(state: StoreState, now_ms: float) -> StoreState:
    """Return the state without the leases that have expired, and without their keys."""
    expired_ids = {
        lease_id for lease_id, lease in state.leases.items() if lease.expires_at_ms <= now_ms
    }
    if not expired_ids:
        return state
    for lease_id in expired_ids:
        state = replace(state, leases=state.leases.delete(lease_id))
    for key, entry in sorted(state.entries.items()):
        if entry.lease_id in expired_ids:
            state = _write(state, key, None)
    return state


def restore_store(state: StoreState, revision: int) -> StoreState:
    """Return the store as it was at an older revision, as after restoring a backup.

    The store is empty if the history does not hold that revision. Leases stay as they are.
    """
    entries = state.snapshots.get(revision, Map())
    return replace(
        state,
        revision=revision,
        entries=entries,
        history=Map(),
        snapshots=Map({revision: entries}),
        compacted_revision=revision,
    )


def _execute(state: StoreState, call: Call, now_ms: float) -> CallResult:
    match call:
        case ReadKey(key=key):
            return CallResult(state, _read_key(state, key))
        case SwapKey(key=key, value=value, expected_revision=expected_revision):
            return _compare_and_swap(state, key, value, expected_revision)
        case PutLeased(key=key, value=value, lease_id=lease_id):
            if lease_id not in state.leases:
                return CallResult(state, LeaseEnded())
            entry = state.entries.get(key)
            return _compare_and_swap(state, key, value, entry.revision if entry else 0, lease_id)
        case DeleteKey(key=key, expected_revision=expected_revision):
            return _compare_and_swap(state, key, None, expected_revision)
        case ListKeys(prefix=prefix):
            return CallResult(state, _list_keys(state, prefix))
        case WatchKeys(prefix=prefix, since_revision=since_revision):
            return CallResult(state, make_watch_reply(state, prefix, since_revision))
        case GrantLease(ttl_ms=ttl_ms):
            lease_id = state.last_lease_id + 1
            leases = state.leases.set(lease_id, Lease(ttl_ms, now_ms + ttl_ms))
            state_with_lease = replace(state, leases=leases, last_lease_id=lease_id)
            return CallResult(state_with_lease, LeaseGranted(lease_id, ttl_ms))
        case KeepLease(lease_id=lease_id):
            lease = state.leases.get(lease_id)
            if lease is None:
                return CallResult(state, LeaseEnded())
            renewed = replace(lease, expires_at_ms=now_ms + lease.ttl_ms)
            leases = state.leases.set(lease_id, renewed)
            return CallResult(replace(state, leases=leases), LeaseGranted(lease_id, lease.ttl_ms))


def make_watch_reply(state: StoreState, prefix: str, since_revision: int) -> Reply:
    """Return the reply of a watch for changes after `since_revision`.

    The reply is `WatchPending` if there are none, and `WatchCompacted` if the history does not
    reach back to that revision.
    """
    # A revision above the present one was read before a restore to an older revision.
    if since_revision < state.compacted_revision or since_revision > state.revision:
        return WatchCompacted(state.revision)
    changes = tuple(
        state.history[revision]
        for revision in range(since_revision + 1, state.revision + 1)
        if state.history[revision].key.startswith(prefix)
    )
    return KeysChanged(changes, state.revision) if changes else WatchPending()


def _read_key(state: StoreState, key: str) -> StoreReply:
    entry = state.entries.get(key)
    if entry is None:
        return KeyAbsent(key, state.revision)
    return KeyRead(key, entry.value, entry.revision)


def _list_keys(state: StoreState, prefix: str) -> StoreReply:
    entries = tuple(
        KeyRead(key, entry.value, entry.revision)
        for key, entry in sorted(state.entries.items())
        if key.startswith(prefix)
    )
    return KeysListed(entries, state.revision)


def _compare_and_swap(
    state: StoreState, key: str, value: bytes | None, expected_revision: int, lease_id: int = 0
) -> CallResult:
    entry = state.entries.get(key)
    revision = entry.revision if entry else 0
    if revision != expected_revision:
        return CallResult(state, SwapConflict(key, revision))
    if value is not None and len(value) > MAX_VALUE_BYTES:
        return CallResult(state, ValueTooLarge())
    written = _write(state, key, value, lease_id)
    return CallResult(written, Swapped(key, written.revision))


def _write(state: StoreState, key: str, value: bytes | None, lease_id: int = 0) -> StoreState:
    revision = state.revision + 1
    if value is None:
        entries = state.entries.delete(key) if key in state.entries else state.entries
    else:
        entries = state.entries.set(key, StoredValue(value, revision, lease_id))
    history = state.history.set(revision, KeyChange(key, value, revision))
    snapshots = state.snapshots.set(revision, entries)
    compacted_revision = state.compacted_revision
    while len(history) > state.history_limit:
        compacted_revision += 1
        history = history.delete(compacted_revision)
        if compacted_revision in snapshots:
            snapshots = snapshots.delete(compacted_revision)
    return replace(
        state,
        revision=revision,
        entries=entries,
        history=history,
        snapshots=snapshots,
        compacted_revision=compacted_revision,
    )


def _spend_budget(state: StoreState, call: Call, now_ms: float) -> tuple[StoreState, bool]:
    match call:
        case SwapKey() | PutLeased() | DeleteKey() | GrantLease():
            refilled = _refill(state.write_budget, state.switches.writes_per_s, now_ms)
            budget, is_allowed = _take_token(refilled)
            return replace(state, write_budget=budget), is_allowed
        case ReadKey() | ListKeys() | WatchKeys() | KeepLease():
            # Each waiting watch uses one read per second.
            rate_per_s = max(0.0, state.switches.reads_per_s - state.waiting_watches)
            budget, is_allowed = _take_token(_refill(state.read_budget, rate_per_s, now_ms))
            return replace(state, read_budget=budget), is_allowed


def _refill(budget: CallBudget, rate_per_s: float, now_ms: float) -> CallBudget:
    # The budget holds at most the calls of one second.
    elapsed_ms = max(0.0, now_ms - budget.refilled_at_ms)
    return CallBudget(min(rate_per_s, budget.tokens + rate_per_s * elapsed_ms / _MS_PER_S), now_ms)


def _take_token(budget: CallBudget) -> tuple[CallBudget, bool]:
    if budget.tokens < 1.0:
        return budget, False
    return replace(budget, tokens=budget.tokens - 1.0), True


def _increment_count(state: StoreState, name: str) -> StoreState:
    return replace(state, counts=state.counts.set(name, state.counts.get(name, 0) + 1))
