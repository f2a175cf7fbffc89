"""Applies entries of the store to the state, and publishes what changed."""

from collections.abc import Iterable
from dataclasses import dataclass

from immutables import Map

from savoryarch.discovery._state import (
    DiscoveryState,
    DrainReport,
    MalformedEntry,
    StoreEntry,
    UnrelatedEntry,
)
from savoryarch.model import (
    Count,
    Declarations,
    DeclarationsInForce,
    InstanceRole,
    InstancesListed,
    KeyChange,
    ListedInstance,
    ListedState,
    LogEvent,
    PublishEvent,
    Service,
    SetTimer,
    TargetEvidence,
    TargetEvidenceReceived,
)
from savoryarch.model.forwarding import (
    ForwardingTable,
    RegisteredInstance,
    RegisteredTarget,
    TableInForce,
    TargetsDiscovered,
)
from savoryarch.utils import replace, sorted_items

# Connections that a target accepts if the forwarding table does not name its service.
DEFAULT_CONNECTION_LIMIT = 16
# Time for which it is remembered that a target drains. Writes that the store executes late, after
# their writer has given them up, come within seconds.
DRAIN_MEMORY_MS = 600_000.0
LAPSE_TIMER = "discovery/lapse"  # fires when the next grace period of a missing entry ends


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """The result of applying entries.

    Parameters
    ----------
    state : DiscoveryState
        State with the entries.
    effects : tuple of object
        Effects in the order in which they are performed.
    """

    state: DiscoveryState
    effects: tuple[object, ...] = ()


def apply_changes(
    state: DiscoveryState, changes: Iterable[KeyChange], now_ms: float
) -> ApplyResult:
    """Apply changes in their order, and publish what changed.

    Parameters
    ----------
    state : DiscoveryState
        State before the changes.
    changes : iterable of KeyChange
        Changed and deleted entries, oldest first.
    now_ms : float
        Time of the event, on the clock of the process.
    """
    result = ApplyResult(state)
    for change in changes:
        result = _apply_change(result, change, now_ms)
    return _publish_changes(state, _remove_expired(result, now_ms))


def apply_full_list(
    state: DiscoveryState, entries: Iterable[KeyChange], now_ms: float
) -> ApplyResult:
    """Apply a full list of entries, and publish what changed.

    Parameters
    ----------
    state : DiscoveryState
        State before the list. Its targets and instances that the list lacks are removed like those
        whose entries are deleted.
    entries : iterable of KeyChange
        All entries of the store.
    now_ms : float
        Time of the event, on the clock of the process.
    """
    result = ApplyResult(state)
    present: set[str] = set()
    for entry in entries:
        present.add(entry.key)
        result = _apply_change(result, entry, now_ms)
    for key in [*state.targets, *state.instances]:
        if key not in present:
            result = _remove(result, key, now_ms)
    return _publish_changes(state, _remove_expired(result, now_ms))


def _remove_expired(result: ApplyResult, now_ms: float) -> ApplyResult:
    """Remove the targets whose entries have been missing for longer than the grace period."""
    state = result.state
    expired = sorted(key for key, at_ms in state.lapsed.items() if at_ms <= now_ms)
    for key in expired:
        state = replace(state, lapsed=state.lapsed.delete(key))
        if key in state.targets:
            state = replace(state, targets=state.targets.delete(key))
            result = replace(result, effects=(*result.effects, _log_target("target_gone", key)))
    return replace(result, state=state)


def remove_lapsed_targets(state: DiscoveryState, now_ms: float) -> ApplyResult:
    """Remove lapsed targets whose grace period has ended, and publish what changed.

    It is called when a grace period ends, whether the store replies or not, and at each poll.
    """
    return _publish_changes(state, _remove_expired(ApplyResult(state), now_ms))


def _apply_change(result: ApplyResult, change: KeyChange, now_ms: float) -> ApplyResult:
    """Apply one changed or deleted entry. A table replaces only tables of lower versions."""
    state = result.state
    if change.value is None:
        return _remove(_clear_refusal(result, change.key), change.key, now_ms)
    entry = _decode_entry(state, change.key, change.value)
    if not isinstance(entry, MalformedEntry):
        result = _clear_refusal(result, change.key)
        state = result.state
    match entry:
        case ForwardingTable(version=version):
            if state.table is not None and version <= state.table.version:
                return result
            return replace(result, state=replace(state, table=entry))
        case RegisteredTarget():
            return _put_target(result, change.key, entry, now_ms)
        case RegisteredInstance():
            instances = state.instances.set(change.key, entry)
            return replace(result, state=replace(state, instances=instances))
        case MalformedEntry(detail=detail):
            return _reject_entry(result, change.key, detail, now_ms)
        case UnrelatedEntry():
            return result


def _decode_entry(state: DiscoveryState, key: str, value: bytes) -> StoreEntry:
    """Decode an entry; an unexpected error concerns this entry alone, and the others still hold."""
    try:
        return state.codec.decode(key, value)
    except Exception as error:
        return MalformedEntry(f"decoder failed: {error!r:.200}")


def _put_target(
    result: ApplyResult, key: str, target: RegisteredTarget, now_ms: float
) -> ApplyResult:
    """Add or update a target, and log a new or changed registration."""
    state = result.state
    previous = state.targets.get(key)
    if previous == target and key not in state.lapsed:
        return result  # most changes only show that the target lives
    if _is_outdated(state, target):
        fields = (("key", key), ("sequence", str(target.sequence)))
        effects = (Count("store_entries_refused", "outdated"), LogEvent("entry_outdated", fields))
        return replace(result, effects=result.effects + effects)
    if target.draining:
        state = _remember_drain(state, target, now_ms)
    lapsed = state.lapsed.delete(key) if key in state.lapsed else state.lapsed
    state = replace(state, targets=state.targets.set(key, target), lapsed=lapsed)
    if previous == target:
        return replace(result, state=state)
    name = "target_draining" if target.draining else "target_learned"
    return ApplyResult(state, (*result.effects, _log_target(name, key)))


def _is_outdated(state: DiscoveryState, target: RegisteredTarget) -> bool:
    """Return whether a registration is older than the report of the same start that it drains.

    The store may execute a write after its writer has given it up and written again.
    """
    report = state.drained.get(target.target.target_id)
    return report is not None and not target.draining and target.sequence < report.sequence


def _remember_drain(
    state: DiscoveryState, target: RegisteredTarget, now_ms: float
) -> DiscoveryState:
    """Remember that a target drains, and forget old reports of others."""
    recent = {
        target_id: report
        for target_id, report in state.drained.items()
        if now_ms - report.read_at_ms < DRAIN_MEMORY_MS
    }
    recent[target.target.target_id] = DrainReport(target.sequence, now_ms)
    return replace(state, drained=Map(recent))


def _reject_entry(result: ApplyResult, key: str, detail: str, now_ms: float) -> ApplyResult:
    """Report a malformed entry, and remove the target or instance that the key named before.

    An entry that is written again with the same fault is counted and not logged again.
    """
    state = result.state
    effects: tuple[object, ...] = (Count("store_entries_refused", "malformed"),)
    if state.refused.get(key) != detail:
        effects += (LogEvent("entry_refused", (("key", key), ("detail", detail))),)
        state = replace(state, refused=state.refused.set(key, detail))
    # The entry is there, so that it has not lapsed and has no grace period.
    if key in state.targets:
        state = replace(state, lapsed=state.lapsed.set(key, now_ms))
    return _remove(ApplyResult(state, result.effects + effects), key, now_ms)


def _clear_refusal(result: ApplyResult, key: str) -> ApplyResult:
    """Forget that an entry was malformed."""
    state = result.state
    if key not in state.refused:
        return result
    return replace(result, state=replace(state, refused=state.refused.delete(key)))


def _remove(result: ApplyResult, key: str, now_ms: float) -> ApplyResult:
    """Remove an instance, or schedule the removal of a target, whose entry is missing.

    While the store was unreachable, targets could not renew their leases. After its return, their
    entries may be missing although the targets run, so that a grace period applies.
    """
    state = result.state
    if key in state.instances:
        state = replace(state, instances=state.instances.delete(key))
        return replace(result, state=state)
    if key not in state.targets or key in state.lapsed:
        return result
    grace_ends_at_ms = state.regained_at_ms + state.settings.lapse_grace_ms
    remove_at_ms = max(now_ms, grace_ends_at_ms) if _may_return(state, key) else now_ms
    return replace(result, state=replace(state, lapsed=state.lapsed.set(key, remove_at_ms)))


def _may_return(state: DiscoveryState, key: str) -> bool:
    """Return whether a missing target may register again; a draining one does not."""
    return not state.targets[key].draining


def _publish_changes(before: DiscoveryState, result: ApplyResult) -> ApplyResult:
    """Append an event for the other components for each difference from the state before."""
    state = result.state
    effects: list[object] = list(result.effects)
    if state.lapsed and state.lapsed != before.lapsed:
        effects.append(SetTimer(LAPSE_TIMER, min(state.lapsed.values())))
    if state.table is not None and state.table is not before.table:
        effects.append(PublishEvent(TableInForce(state.table)))
    changed = state.targets != before.targets
    if changed or state.table is not before.table:
        effects.append(PublishEvent(DeclarationsInForce(build_declarations(state))))
    if changed:
        effects += _target_evidence(before, state)
    if state.instances != before.instances:
        effects.append(PublishEvent(InstancesListed(list_instances(state))))
    if not state.targets_discovered and state.table is not None and state.targets:
        state = replace(state, targets_discovered=True)
        effects.append(PublishEvent(TargetsDiscovered()))
    return ApplyResult(state, tuple(effects))


def _target_evidence(before: DiscoveryState, state: DiscoveryState) -> list[object]:
    """Return the evidence on targets that began to drain, or that no longer drain."""
    evidence: list[object] = []
    for key, item in sorted_items(state.targets):
        previous = before.targets.get(key)
        if previous == item:
            continue
        if item.draining:
            evidence.append(
                PublishEvent(
                    TargetEvidenceReceived(item.target.target_id, TargetEvidence.LISTED_LEAVING)
                )
            )
        elif previous is not None and previous.draining:
            evidence.append(
                PublishEvent(
                    TargetEvidenceReceived(item.target.target_id, TargetEvidence.REGISTERED)
                )
            )
    return evidence


def build_declarations(state: DiscoveryState) -> Declarations:
    """Return the declarations of the services that the registered targets belong to."""
    groups: dict[str, list[RegisteredTarget]] = {}
    for _, item in sorted_items(state.targets):
        groups.setdefault(item.target.service, []).append(item)
    limits: Map[str, int] = state.table.connection_limits if state.table else Map()
    services = {
        name: Service(
            name=name,
            group=name,
            slots=max(item.slots for item in items),
            connection_limit=limits.get(name, DEFAULT_CONNECTION_LIMIT),
            targets=tuple(item.target for item in items),
        )
        for name, items in groups.items()
    }
    return Declarations(generation=state.revision, services=Map(services))


def list_instances(state: DiscoveryState) -> tuple[ListedInstance, ...]:
    """Return the registered entry instances as rows of an instance list."""
    return tuple(
        ListedInstance(
            item.instance_id,
            InstanceRole.ENTRY,
            item.availability_zone,
            item.host,
            item.port,
            ListedState.LIVE,
        )
        for _, item in sorted_items(state.instances)
    )


def _log_target(name: str, key: str) -> LogEvent:
    return LogEvent(name, (("key", key),))
