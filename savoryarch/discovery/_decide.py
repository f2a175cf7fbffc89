"""Follows the entries of the store, along the chart ``discovery``, and registers this instance."""

from dataclasses import replace

from savoryarch.charts import load_chart
from savoryarch.discovery._entries import drop_lapsed, take_all, take_changes
from savoryarch.discovery._pace import POLL_TIMER, hear_peers, schedule_poll, tell_peers
from savoryarch.discovery._settings import DiscoverySettings
from savoryarch.discovery._state import NEVER_MS, DiscoveryState, StoreEntryCodec
from savoryarch.model import (
    Count,
    Decided,
    GrantLease,
    KeepLease,
    KeyChange,
    KeysChanged,
    KeysListed,
    LeaseEnded,
    LeaseGranted,
    ListKeys,
    LogEvent,
    PeerMessageReceived,
    PeersChanged,
    PutLeased,
    SetTimer,
    SettingsReloaded,
    Started,
    StoreLimited,
    StoreReplied,
    StoreReply,
    StoreUnreachable,
    Swapped,
    TimerFired,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.model.forwarding import (
    RegisteredInstance,
)

CHART = load_chart(
    "discovery",
    frozenset(
        {
            "list_keys",
            "take_entries",
            "take_changes",
            "note_regained",
            "note_failed",
            "read_changes",
            "schedule_poll",
            "schedule_retry",
        }
    ),
)
LEASE_TIMER = "discovery/lease"
LIST_CALL = "discovery/list"
CHANGES_CALL = "discovery/changes"
GRANT_CALL = "discovery/grant"
KEEP_CALL = "discovery/keep"
PUT_CALL = "discovery/put"
ALL_KEYS = ""
NO_WAIT_MS = 1.0  # changes are read at intervals: each beat of each target would end a wait
RENEWALS_PER_LEASE = 3

Step = Decided[DiscoveryState]


def make_discovery_state(settings: DiscoverySettings, codec: StoreEntryCodec) -> DiscoveryState:
    """Make the state of an instance that knows nothing yet."""
    return DiscoveryState(settings, codec, CHART.initial)


def decide_discovery(state: DiscoveryState, event: object, now_ms: float) -> Step:
    """Decide on replies of the store and on timers.

    Parameters
    ----------
    state : DiscoveryState
        Before the event.
    event : object
        Any event; those that do not concern the discovery change nothing.
    now_ms : float
        Time of the event.
    """
    if not state.settings.enabled:
        return Decided(state)
    match event:
        case Started():
            return _step(state, "started", None, now_ms)
        case SettingsReloaded(sections={"discovery": DiscoverySettings() as settings}):
            return Decided(replace(state, settings=settings))
        case RegisteredInstance():
            state = replace(state, registration=event)
            return Decided(state, (GrantLease(GRANT_CALL, state.settings.lease_ms),))
        case TimerFired(timer_id=timer_id) if timer_id == POLL_TIMER:
            dropped = drop_lapsed(replace(state, look_at_ms=NEVER_MS), now_ms)
            stepped = _step(dropped.state, "due", None, now_ms)
            return replace(stepped, effects=dropped.effects + stepped.effects)
        case PeersChanged() | PeerMessageReceived():
            return hear_peers(state, event, now_ms)
        case TimerFired(timer_id=timer_id) if timer_id == LEASE_TIMER:
            return Decided(state, (_renewal(state),))
        case StoreReplied(call_id=call_id, reply=reply) if call_id in (LIST_CALL, CHANGES_CALL):
            return _step(state, _event_of(reply), reply, now_ms)
        case StoreReplied(call_id=call_id, reply=reply) if call_id.startswith("discovery/"):
            return _register(state, reply, now_ms)
        case _:
            return Decided(state)


def _event_of(reply: StoreReply) -> str:
    match reply:
        case KeysListed():
            return "listed"
        case KeysChanged():
            return "changed"
        case WatchCompacted():
            return "compacted"
        case _:
            return "failed"


def _step(state: DiscoveryState, event: str, reply: StoreReply | None, now_ms: float) -> Step:
    transition = CHART.step(state.life, event)
    decided: Step = Decided(replace(state, life=transition.next_state))
    for action in transition.actions:
        after = _act(decided.state, action, reply, now_ms)
        decided = Decided(after.state, decided.effects + after.effects)
    return decided


def _act(state: DiscoveryState, action: str, reply: StoreReply | None, now_ms: float) -> Step:
    settings = state.settings
    match action, reply:
        case "list_keys", _:
            return Decided(state, (ListKeys(LIST_CALL, ALL_KEYS),))
        case "read_changes", _:
            call = WatchKeys(CHANGES_CALL, ALL_KEYS, state.revision, NO_WAIT_MS)
            return Decided(state, (call,))
        case "take_entries", KeysListed(entries=entries, revision=revision):
            changes = [KeyChange(entry.key, entry.value, entry.revision) for entry in entries]
            state = _note_return(replace(state, revision=revision), now_ms)
            taken = take_all(state, changes, now_ms)
            state = replace(taken.state, told_revision=revision)
            return Decided(state, taken.effects)
        case "take_changes", KeysChanged(changes=changed, revision=revision):
            before, state = state, _note_return(replace(state, revision=revision), now_ms)
            taken = take_changes(state, changed, now_ms)
            told = tell_peers(before, taken.state)
            return Decided(told.state, taken.effects + told.effects)
        case "note_regained", _:
            return _note_regained(state)
        case "note_failed", _:
            return _note_failed(state, reply)
        case "schedule_poll", _:
            return schedule_poll(state, now_ms)
        case _:
            delay_ms = min(
                settings.retry_most_ms, settings.retry_least_ms * 2.0 ** (state.failures - 1)
            )
            return Decided(state, (SetTimer(POLL_TIMER, now_ms + delay_ms),))


def _note_return(state: DiscoveryState, now_ms: float) -> DiscoveryState:
    # Entries are taken in after this: they are judged by when the store came back.
    return replace(state, regained_at_ms=now_ms) if state.failures else state


def _note_regained(state: DiscoveryState) -> Step:
    if not state.failures:
        return Decided(state)
    fields = (("failures", str(state.failures)), ("revision", str(state.revision)))
    return Decided(replace(state, failures=0), (LogEvent("store_regained", fields),))


def _note_failed(state: DiscoveryState, reply: StoreReply | None) -> Step:
    detail = reply.detail if isinstance(reply, StoreUnreachable) else type(reply).__name__
    effects: tuple[object, ...] = (Count("store_failures", "discovery"),)
    if not state.failures:
        fields = (("detail", detail), ("revision", str(state.revision)))
        effects += (LogEvent("store_lost", fields),)
    return Decided(replace(state, failures=state.failures + 1), effects)


def _renewal(state: DiscoveryState) -> GrantLease | KeepLease:
    if state.lease_id is None:
        return GrantLease(GRANT_CALL, state.settings.lease_ms)
    return KeepLease(KEEP_CALL, state.lease_id)


def _register(state: DiscoveryState, reply: StoreReply, now_ms: float) -> Step:
    """Keep this instance registered."""
    again = SetTimer(LEASE_TIMER, now_ms + state.settings.lease_ms / RENEWALS_PER_LEASE)
    match reply:
        case LeaseGranted(lease_id=lease_id) if lease_id != state.lease_id and state.registration:
            key = state.settings.instances_prefix + state.registration.instance_id
            value = state.codec.encode_instance(state.registration)
            state = replace(state, lease_id=lease_id)
            return Decided(state, (PutLeased(PUT_CALL, key, value, lease_id),))
        case LeaseGranted() | Swapped():
            return Decided(state, (again,))
        case LeaseEnded():
            state = replace(state, lease_id=None)
            return Decided(state, (_renewal(state),))
        case StoreLimited():
            return Decided(state, (again, Count("store_failures", "registration_limited")))
        case _:
            # A put whose reply was lost is repeated under a new lease.
            state = replace(state, lease_id=None)
            return Decided(state, (again, Count("store_failures", "registration")))
