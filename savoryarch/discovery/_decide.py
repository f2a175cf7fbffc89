"""Reads the entries of the store and registers this instance, by the chart ``discovery``."""

from savoryarch.charts import load_chart
from savoryarch.discovery._entries import (
    LAPSE_TIMER,
    apply_changes,
    apply_full_list,
    remove_lapsed_targets,
)
from savoryarch.discovery._polling import (
    POLL_TIMER,
    announce_changes,
    handle_peer_event,
    schedule_poll,
)
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
from savoryarch.utils import replace

CHART = load_chart(
    "discovery",
    frozenset(
        {
            "list_keys",
            "apply_entries",
            "apply_changes",
            "report_regained",
            "record_failure",
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
ALL_KEYS = ""  # the empty prefix
# Time that the store may wait for changes before it replies to a poll. Polls are sent at intervals
# instead of with a long wait, because the lease renewal of any target would end the wait.
WATCH_WAIT_MS = 1.0
RENEWALS_PER_LEASE = 3

DecidedDiscovery = Decided[DiscoveryState]


def make_discovery_state(settings: DiscoverySettings, codec: StoreEntryCodec) -> DiscoveryState:
    """Return the initial state, in which no entry has been read."""
    return DiscoveryState(settings, codec, CHART.initial)


def decide_discovery(state: DiscoveryState, event: object, now_ms: float) -> DecidedDiscovery:
    """Decide on replies of the store, peer messages and timers that concern discovery.

    Parameters
    ----------
    state : DiscoveryState
        State before the event.
    event : object
        Any event. One that does not concern discovery has no effect.
    now_ms : float
        Time of the event, on the clock of the process.

    Returns
    -------
    decided : Decided
        The state after the event, and the effects.
    """
    if not state.settings.enabled:
        return Decided(state)
    match event:
        case Started(instance_id=instance_id):
            return _step(replace(state, instance_id=instance_id), "started", None, now_ms)
        case SettingsReloaded(sections={"discovery": DiscoverySettings() as settings}):
            return Decided(replace(state, settings=settings))
        case RegisteredInstance():
            state = replace(state, registration=event)
            return Decided(state, (GrantLease(GRANT_CALL, state.settings.lease_ms),))
        case TimerFired(timer_id=timer_id) if timer_id == POLL_TIMER:
            removed = remove_lapsed_targets(replace(state, next_poll_at_ms=NEVER_MS), now_ms)
            stepped = _step(removed.state, "poll_due", None, now_ms)
            return replace(stepped, effects=removed.effects + stepped.effects)
        case TimerFired(timer_id=timer_id) if timer_id == LAPSE_TIMER:
            removed = remove_lapsed_targets(state, now_ms)
            return Decided(removed.state, removed.effects)
        case PeersChanged() | PeerMessageReceived():
            return handle_peer_event(state, event, now_ms)
        case TimerFired(timer_id=timer_id) if timer_id == LEASE_TIMER:
            return Decided(state, (_make_renewal(state),))
        case StoreReplied(call_id=call_id, reply=reply) if call_id in (LIST_CALL, CHANGES_CALL):
            return _step(state, _chart_event_of(reply), reply, now_ms)
        case StoreReplied(call_id=call_id, reply=reply) if call_id.startswith("discovery/"):
            return _register(state, reply, now_ms)
        case _:
            return Decided(state)


def _chart_event_of(reply: StoreReply) -> str:
    """Return the chart event of a reply to a list or a poll."""
    match reply:
        case KeysListed():
            return "listed"
        case KeysChanged():
            return "changed"
        case WatchCompacted():
            return "compacted"
        case _:
            return "failed"


def _step(
    state: DiscoveryState, event: str, reply: StoreReply | None, now_ms: float
) -> DecidedDiscovery:
    """Apply an event to the chart, and perform the actions of the transition."""
    transition = CHART.step(state.chart_state, event)
    decided: DecidedDiscovery = Decided(replace(state, chart_state=transition.next_state))
    for action in transition.actions:
        result = _perform(decided.state, action, reply, now_ms)
        decided = Decided(result.state, decided.effects + result.effects)
    return decided


def _perform(
    state: DiscoveryState, action: str, reply: StoreReply | None, now_ms: float
) -> DecidedDiscovery:
    """Perform one action of the chart; `reply` is the reply that led to it, if any."""
    settings = state.settings
    match action, reply:
        case "list_keys", _:
            return Decided(state, (ListKeys(LIST_CALL, ALL_KEYS),))
        case "read_changes", _:
            call = WatchKeys(CHANGES_CALL, ALL_KEYS, state.revision, WATCH_WAIT_MS)
            return Decided(state, (call,))
        case "apply_entries", KeysListed(entries=entries, revision=revision):
            changes = [KeyChange(entry.key, entry.value, entry.revision) for entry in entries]
            found = _report_earlier_registration(state, changes)
            state = _record_store_reply(replace(state, revision=revision), now_ms)
            applied = apply_full_list(state, changes, now_ms)
            state = replace(applied.state, announced_revision=revision)
            return Decided(state, found + applied.effects)
        case "apply_changes", KeysChanged(changes=changed, revision=revision):
            before, state = state, _record_store_reply(replace(state, revision=revision), now_ms)
            applied = apply_changes(state, changed, now_ms)
            announced = announce_changes(before, applied.state)
            return Decided(announced.state, applied.effects + announced.effects)
        case "report_regained", _:
            return _report_regained(state)
        case "record_failure", _:
            return _record_failure(state, reply)
        case "schedule_poll", _:
            return schedule_poll(state, now_ms)
        case _:
            delay_ms = min(
                settings.retry_most_ms, settings.retry_least_ms * 2.0 ** (state.failures - 1)
            )
            return Decided(state, (SetTimer(POLL_TIMER, now_ms + delay_ms),))


def _report_earlier_registration(
    state: DiscoveryState, entries: list[KeyChange]
) -> tuple[object, ...]:
    """Log that the first list has a registration of this instance, which its predecessor wrote.

    The predecessor renewed the lease of the registration within its duration before the list.
    """
    if state.replied_at_ms != NEVER_MS:
        return ()
    key = state.settings.instances_prefix + state.instance_id
    return tuple(
        effect
        for entry in entries
        if entry.key == key
        for effect in (
            Count("restarts", "registration_found"),
            LogEvent("registration_found", (("key", key), ("revision", str(entry.revision)))),
        )
    )


def _record_store_reply(state: DiscoveryState, now_ms: float) -> DiscoveryState:
    """Record when the store replied, and whether it did so for the first time after an outage.

    It is called before entries are applied, because the grace period of missing entries starts at
    that time.
    """
    outage_ms = now_ms - state.replied_at_ms
    state = replace(state, replied_at_ms=now_ms)
    if not state.failures or outage_ms < state.settings.lapse_outage_ms:
        return state
    return replace(state, regained_at_ms=now_ms)


def _report_regained(state: DiscoveryState) -> DecidedDiscovery:
    """Log that the store replies again, and reset the count of failures."""
    if not state.failures:
        return Decided(state)
    fields = (("failures", str(state.failures)), ("revision", str(state.revision)))
    return Decided(replace(state, failures=0), (LogEvent("store_regained", fields),))


def _record_failure(state: DiscoveryState, reply: StoreReply | None) -> DecidedDiscovery:
    """Count a failed call, and log the first of consecutive failures."""
    detail = reply.detail if isinstance(reply, StoreUnreachable) else type(reply).__name__
    effects: tuple[object, ...] = (Count("store_failures", "discovery"),)
    if not state.failures:
        fields = (("detail", detail), ("revision", str(state.revision)))
        effects += (LogEvent("store_lost", fields),)
    return Decided(replace(state, failures=state.failures + 1), effects)


def _make_renewal(state: DiscoveryState) -> GrantLease | KeepLease:
    """Return the call that renews the lease of the registration, or requests a new one."""
    if state.lease_id is None:
        return GrantLease(GRANT_CALL, state.settings.lease_ms)
    return KeepLease(KEEP_CALL, state.lease_id)


def _register(state: DiscoveryState, reply: StoreReply, now_ms: float) -> DecidedDiscovery:
    """Handle a reply to a call of the registration, and continue with the next call."""
    renewal_timer = SetTimer(LEASE_TIMER, now_ms + state.settings.lease_ms / RENEWALS_PER_LEASE)
    match reply:
        case LeaseGranted(lease_id=lease_id) if lease_id != state.lease_id and state.registration:
            key = state.settings.instances_prefix + state.registration.instance_id
            value = state.codec.encode_instance(state.registration)
            state = replace(state, lease_id=lease_id)
            return Decided(state, (PutLeased(PUT_CALL, key, value, lease_id),))
        case LeaseGranted() | Swapped():
            return Decided(state, (renewal_timer,))
        case LeaseEnded():
            state = replace(state, lease_id=None)
            return Decided(state, (_make_renewal(state),))
        case StoreLimited():
            return Decided(state, (renewal_timer, Count("store_failures", "registration_limited")))
        case _:
            # The reply to a put may be lost, so the instance registers again under a new lease.
            state = replace(state, lease_id=None)
            return Decided(state, (renewal_timer, Count("store_failures", "registration")))
