"""Takes entries of the store over, and tells the other decisions what changed."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from immutables import Map

from savoryarch.discovery._state import DiscoveryState, MalformedEntry, UnrelatedEntry
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
from savoryarch.utils import in_order

DEFAULT_CONNECTION_LIMIT = 16  # of a service that the table does not name yet


@dataclass(frozen=True, slots=True)
class Taken:
    """The state with new entries, and what has to be done."""

    state: DiscoveryState
    effects: tuple[object, ...] = ()


def take_changes(state: DiscoveryState, changes: Iterable[KeyChange], now_ms: float) -> Taken:
    """Take changes over in their order."""
    after = Taken(state)
    for change in changes:
        after = _take_change(after, change, now_ms)
    return _inform(state, expire_lapsed(after, now_ms))


def take_all(state: DiscoveryState, entries: Iterable[KeyChange], now_ms: float) -> Taken:
    """Take a whole list over; what is missing in it is gone or has lapsed."""
    after = Taken(state)
    present: set[str] = set()
    for entry in entries:
        present.add(entry.key)
        after = _take_change(after, entry, now_ms)
    for key in [*state.targets, *state.instances]:
        if key not in present:
            after = _remove(after, key, now_ms)
    return _inform(state, expire_lapsed(after, now_ms))


def expire_lapsed(after: Taken, now_ms: float) -> Taken:
    """Drop the targets whose entries did not come back in time."""
    state = after.state
    gone = sorted(key for key, at_ms in state.lapsed.items() if at_ms <= now_ms)
    for key in gone:
        state = replace(state, lapsed=state.lapsed.delete(key))
        if key in state.targets:
            state = replace(state, targets=state.targets.delete(key))
            after = replace(after, effects=(*after.effects, _log_target("target_gone", key)))
    return replace(after, state=state)


def drop_lapsed(state: DiscoveryState, now_ms: float) -> Taken:
    """Drop lapsed targets between two looks at the store."""
    return _inform(state, expire_lapsed(Taken(state), now_ms))


def _take_change(after: Taken, change: KeyChange, now_ms: float) -> Taken:
    state = after.state
    if change.value is None:
        return _remove(after, change.key, now_ms)
    entry = state.codec.decode(change.key, change.value)
    match entry:
        case ForwardingTable(version=version):
            if state.table is not None and version <= state.table.version:
                return after
            return replace(after, state=replace(state, table=entry))
        case RegisteredTarget():
            return _put_target(after, change.key, entry)
        case RegisteredInstance():
            instances = state.instances.set(change.key, entry)
            return replace(after, state=replace(state, instances=instances))
        case MalformedEntry(detail=detail):
            return _refuse(after, change.key, detail, now_ms)
        case UnrelatedEntry():
            return after


def _put_target(after: Taken, key: str, target: RegisteredTarget) -> Taken:
    state = after.state
    old = state.targets.get(key)
    lapsed = state.lapsed.delete(key) if key in state.lapsed else state.lapsed
    state = replace(state, targets=state.targets.set(key, target), lapsed=lapsed)
    if old == target:
        return replace(after, state=state)
    name = "target_draining" if target.draining else "target_learned"
    return Taken(state, (*after.effects, _log_target(name, key)))


def _refuse(after: Taken, key: str, detail: str, now_ms: float) -> Taken:
    """Use no malformed entry; a target that had a good one under this key is not named any more."""
    fields = (("key", key), ("detail", detail))
    effects = (Count("store_entries_refused", "malformed"), LogEvent("entry_refused", fields))
    return _remove(replace(after, effects=after.effects + effects), key, now_ms)


def _remove(after: Taken, key: str, now_ms: float) -> Taken:
    state = after.state
    if key in state.instances:
        state = replace(state, instances=state.instances.delete(key))
        return replace(after, state=state)
    if key not in state.targets or key in state.lapsed:
        return after
    back_until_ms = state.regained_at_ms + state.settings.lapse_grace_ms
    gone_at_ms = max(now_ms, back_until_ms) if _may_return(state, key) else now_ms
    return replace(after, state=replace(state, lapsed=state.lapsed.set(key, gone_at_ms)))


def _may_return(state: DiscoveryState, key: str) -> bool:
    return not state.targets[key].draining


def _inform(before: DiscoveryState, after: Taken) -> Taken:
    """Tell the other decisions what differs from before."""
    state = after.state
    effects: list[object] = list(after.effects)
    if state.table is not None and state.table is not before.table:
        effects.append(PublishEvent(TableInForce(state.table)))
    changed = state.targets != before.targets
    if changed or state.table is not before.table:
        effects.append(PublishEvent(DeclarationsInForce(declare(state))))
    if changed:
        effects += _signs(before, state)
    if state.instances != before.instances:
        effects.append(PublishEvent(InstancesListed(list_instances(state))))
    if not state.known and state.table is not None and state.targets:
        state = replace(state, known=True)
        effects.append(PublishEvent(TargetsDiscovered()))
    return Taken(state, tuple(effects))


def _signs(before: DiscoveryState, state: DiscoveryState) -> list[object]:
    """Return what the registrations say of targets that leave, or stay after all."""
    signs: list[object] = []
    for key, item in in_order(state.targets):
        old = before.targets.get(key)
        if old == item:
            continue
        if item.draining:
            signs.append(
                PublishEvent(
                    TargetEvidenceReceived(item.target.target_id, TargetEvidence.LISTED_LEAVING)
                )
            )
        elif old is not None and old.draining:
            signs.append(
                PublishEvent(
                    TargetEvidenceReceived(item.target.target_id, TargetEvidence.REGISTERED)
                )
            )
    return signs


def declare(state: DiscoveryState) -> Declarations:
    """Return the services that the registered targets make up."""
    groups: dict[str, list[RegisteredTarget]] = {}
    for _, item in in_order(state.targets):
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
    """Return the registered instances as rows of an instance list."""
    return tuple(
        ListedInstance(
            item.instance_id,
            InstanceRole.ENTRY,
            item.availability_zone,
            item.host,
            item.port,
            ListedState.LIVE,
        )
        for _, item in in_order(state.instances)
    )


def _log_target(name: str, key: str) -> LogEvent:
    return LogEvent(name, (("key", key),))
