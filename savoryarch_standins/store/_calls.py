"""The store stand-in's logic: pure functions on its frozen state."""

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
    """Carry out one call: its effect, its reply, and what the switches do to both."""
    state = _count(expire_leases(state, now_ms), type(call).__name__)
    switches = state.switches
    if switches.forgets:
        state = replace(state, history=Map(), compacted_revision=state.revision)
    if switches.outage:
        return CallResult(_count(state, "unavailable"), Unavailable())
    if switches.lose_calls > 0:
        switches = replace(switches, lose_calls=switches.lose_calls - 1)
        return CallResult(_count(replace(state, switches=switches), "call_lost"), CallLost())
    state, allowed = _spend(state, call, now_ms)
    if not allowed:
        return CallResult(_count(state, "limited"), StoreLimited())
    called = _carry_out(state, call, now_ms)
    wrote = called.state.revision > state.revision
    if wrote and switches.lose_replies > 0:
        switches = replace(switches, lose_replies=switches.lose_replies - 1)
        state = replace(called.state, switches=switches)
        return CallResult(_count(state, "reply_lost"), ReplyLost())
    return called


def call_store_as_client(
    state: StoreState, call: StoreCall, now_ms: float
) -> tuple[StoreState, StoreReply | None]:
    """Carry out a call as a client sees it; None for a watch that has to wait."""
    called = call_store(state, call, now_ms)
    match called.reply:
        case WatchPending():
            return called.state, None
        case Unavailable():
            return called.state, StoreUnreachable("HTTP 503")
        case CallLost() | ReplyLost():
            return called.state, StoreUnreachable("connection lost")
        case ValueTooLarge() as reply:
            return called.state, StoreUnreachable(type(reply).__name__)
        case reply:
            return called.state, reply


def expire_leases(state: StoreState, now_ms: float) -> StoreState:
    """Delete the keys whose lease has lapsed."""
    lapsed = {name for name, lease in state.leases.items() if lease.lapses_at_ms <= now_ms}
    if not lapsed:
        return state
    for name in lapsed:
        state = replace(state, leases=state.leases.delete(name))
    for key, entry in sorted(state.entries.items()):
        if entry.lease in lapsed:
            state = _write(state, key, None)
    return state


def restore_store(state: StoreState, revision: int) -> StoreState:
    """Put the store back to what it held at an older revision, as a restore of a backup does."""
    entries = state.snapshots.get(revision, Map())
    return replace(
        state,
        revision=revision,
        entries=entries,
        history=Map(),
        snapshots=Map({revision: entries}),
        compacted_revision=revision,
    )


def _carry_out(state: StoreState, call: Call, now_ms: float) -> CallResult:
    match call:
        case ReadKey(key=key):
            return CallResult(state, _read(state, key))
        case SwapKey(key=key, value=value, expected_revision=expected):
            return _swap(state, key, value, expected)
        case PutLeased(key=key, value=value, lease_id=lease):
            if lease not in state.leases:
                return CallResult(state, LeaseEnded())
            entry = state.entries.get(key)
            return _swap(state, key, value, entry.revision if entry else 0, lease)
        case DeleteKey(key=key, expected_revision=expected):
            return _swap(state, key, None, expected)
        case ListKeys(prefix=prefix):
            return CallResult(state, _list(state, prefix))
        case WatchKeys(prefix=prefix, since_revision=since):
            return CallResult(state, make_watch_reply(state, prefix, since))
        case GrantLease(ttl_ms=ttl_ms):
            lease = state.lease_count + 1
            leases = state.leases.set(lease, Lease(ttl_ms, now_ms + ttl_ms))
            granted = replace(state, leases=leases, lease_count=lease)
            return CallResult(granted, LeaseGranted(lease, ttl_ms))
        case KeepLease(lease_id=lease):
            kept = state.leases.get(lease)
            if kept is None:
                return CallResult(state, LeaseEnded())
            renewed = replace(kept, lapses_at_ms=now_ms + kept.ttl_ms)
            leases = state.leases.set(lease, renewed)
            return CallResult(replace(state, leases=leases), LeaseGranted(lease, kept.ttl_ms))


def make_watch_reply(state: StoreState, prefix: str, since_revision: int) -> Reply:
    """Return what a watch gets now, or `WatchPending`."""
    # A revision from the future can only come from before a restore.
    if since_revision < state.compacted_revision or since_revision > state.revision:
        return WatchCompacted(state.revision)
    changes = tuple(
        state.history[revision]
        for revision in range(since_revision + 1, state.revision + 1)
        if state.history[revision].key.startswith(prefix)
    )
    return KeysChanged(changes, state.revision) if changes else WatchPending()


def _read(state: StoreState, key: str) -> StoreReply:
    entry = state.entries.get(key)
    if entry is None:
        return KeyAbsent(key, state.revision)
    return KeyRead(key, entry.value, entry.revision)


def _list(state: StoreState, prefix: str) -> StoreReply:
    entries = tuple(
        KeyRead(key, entry.value, entry.revision)
        for key, entry in sorted(state.entries.items())
        if key.startswith(prefix)
    )
    return KeysListed(entries, state.revision)


def _swap(
    state: StoreState, key: str, value: bytes | None, expected_revision: int, lease: int = 0
) -> CallResult:
    entry = state.entries.get(key)
    revision = entry.revision if entry else 0
    if revision != expected_revision:
        return CallResult(state, SwapConflict(key, revision))
    if value is not None and len(value) > MAX_VALUE_BYTES:
        return CallResult(state, ValueTooLarge())
    written = _write(state, key, value, lease)
    return CallResult(written, Swapped(key, written.revision))


def _write(state: StoreState, key: str, value: bytes | None, lease: int = 0) -> StoreState:
    revision = state.revision + 1
    if value is None:
        entries = state.entries.delete(key) if key in state.entries else state.entries
    else:
        entries = state.entries.set(key, StoredValue(value, revision, lease))
    history = state.history.set(revision, KeyChange(key, value, revision))
    snapshots = state.snapshots.set(revision, entries)
    compacted = state.compacted_revision
    while len(history) > state.history_limit:
        compacted += 1
        history = history.delete(compacted)
        if compacted in snapshots:
            snapshots = snapshots.delete(compacted)
    return replace(
        state,
        revision=revision,
        entries=entries,
        history=history,
        snapshots=snapshots,
        compacted_revision=compacted,
    )


def _spend(state: StoreState, call: Call, now_ms: float) -> tuple[StoreState, bool]:
    match call:
        case SwapKey() | PutLeased() | DeleteKey() | GrantLease():
            writes = _refill(state.writes, state.switches.writes_per_s, now_ms)
            spent, allowed = _take(writes)
            return replace(state, writes=spent), allowed
        case ReadKey() | ListKeys() | WatchKeys() | KeepLease():
            rate = max(0.0, state.switches.reads_per_s - state.waiting_watches)
            spent, allowed = _take(_refill(state.reads, rate, now_ms))
            return replace(state, reads=spent), allowed


def _refill(budget: CallBudget, rate_per_s: float, now_ms: float) -> CallBudget:
    elapsed_ms = max(0.0, now_ms - budget.refilled_at_ms)
    return CallBudget(min(rate_per_s, budget.tokens + rate_per_s * elapsed_ms / _MS_PER_S), now_ms)


def _take(budget: CallBudget) -> tuple[CallBudget, bool]:
    if budget.tokens < 1.0:
        return budget, False
    return replace(budget, tokens=budget.tokens - 1.0), True


def _count(state: StoreState, name: str) -> StoreState:
    return replace(state, counts=state.counts.set(name, state.counts.get(name, 0) + 1))
