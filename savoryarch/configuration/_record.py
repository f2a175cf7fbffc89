"""Makes new configuration records, and differences between them."""

from dataclasses import dataclass, replace
from typing import Any

from immutables import Map

from savoryarch.model import (
    Change,
    ConfigurationDelta,
    ConfigurationRecord,
    ConfigurationVersion,
    Declarations,
    DeletedResource,
    DeleteResource,
    PutResource,
    Resource,
    ResourceKey,
    ResourceKind,
    RevisedResource,
    RevisionConflict,
    resource_key,
)

HISTORY_LIMIT = 64
DELETED_LIMIT = 256


@dataclass(frozen=True, slots=True)
class WatchedChanges:
    """What changed after a generation, for operators who watch.

    Parameters
    ----------
    generation : int
        Where to resume.
    puts : tuple of RevisedResource
        Resources written since, each once, as they are now, by ascending revision.
    deletes : tuple of DeletedResource
        Resources deleted since and not created again.
    """

    generation: int
    puts: tuple[RevisedResource, ...]
    deletes: tuple[DeletedResource, ...]


def resources_of_kind(declarations: Declarations, kind: ResourceKind) -> Map[str, Any]:
    """Return the resources of one kind by name."""
    match kind:
        case ResourceKind.SERVICE:
            return declarations.services
        case ResourceKind.SEARCH:
            return declarations.searches
        case ResourceKind.ROUTE:
            return declarations.routes
        case ResourceKind.CALLER:
            return declarations.callers


def find_resource(declarations: Declarations, key: ResourceKey) -> Resource | None:
    """Return a resource, or None if it is not declared."""
    return resources_of_kind(declarations, key.kind).get(key.name)


def find_conflicts(
    record: ConfigurationRecord, changes: tuple[Change, ...]
) -> tuple[RevisionConflict, ...]:
    """Return each expected revision that is not the actual one."""
    conflicts: list[RevisionConflict] = []
    for change in changes:
        match change:
            case PutResource(resource=resource, expected_revision=int(expected)):
                key = resource_key(resource)
            case DeleteResource(key=key, expected_revision=int(expected)):
                pass
            case _:
                continue
        actual = record.revisions.get(key, 0)
        if actual != expected:
            conflicts.append(RevisionConflict(key, expected, actual))
    return tuple(conflicts)


def apply_changes(declarations: Declarations, changes: tuple[Change, ...]) -> Declarations:
    """Return the declarations after `changes`, at the same generation."""
    for change in changes:
        match change:
            case PutResource(resource=resource):
                declarations = _put(declarations, resource)
            case DeleteResource(key=key):
                declarations = _delete(declarations, key)
    return declarations


def make_next_record(
    record: ConfigurationRecord,
    declarations: Declarations,
    version: ConfigurationVersion,
) -> ConfigurationRecord:
    """Return the record that follows `record` and holds `declarations` as `version`."""
    revisions = record.revisions
    deleted = record.deleted
    for kind in ResourceKind:
        before = resources_of_kind(record.declarations, kind)
        after = resources_of_kind(declarations, kind)
        for name, resource in after.items():
            if before.get(name) != resource:
                key = ResourceKey(kind, name)
                revisions = revisions.set(key, version.generation)
                deleted = _without(deleted, key)
        for name in before:
            if name not in after:
                key = ResourceKey(kind, name)
                revisions = _without(revisions, key)
                deleted = deleted.set(key, version.generation)
    deleted, floor = _forget_deleted(deleted, record.compacted_generation)
    return ConfigurationRecord(
        declarations=replace(declarations, generation=version.generation),
        revisions=revisions,
        deleted=deleted,
        compacted_generation=floor,
        history=(*record.history, version)[-HISTORY_LIMIT:],
    )


def descends(record: ConfigurationRecord, version: ConfigurationVersion) -> bool:
    """Return whether `record` came from `version`, as far as its history reaches."""
    if version.generation == 0 or version in record.history:
        return True
    oldest = record.history[0].generation if record.history else 0
    return version.generation < oldest


def find_change(record: ConfigurationRecord, change_id: str) -> ConfigurationVersion | None:
    """Return the version that a change made, if it is in the history."""
    return next((item for item in record.history if item.change_id == change_id), None)


def make_delta(
    record: ConfigurationRecord, base: ConfigurationVersion
) -> ConfigurationDelta | None:
    """Return what changed after `base`; None if `record` no longer knows."""
    if base.generation < record.compacted_generation:
        return None
    history = tuple(item for item in record.history if item.generation > base.generation)
    known = base in record.history or (base.generation == 0 and record.compacted_generation == 0)
    if not known or not history:
        return None
    watched = changes_since(record, base.generation)
    if watched is None:
        return None
    return ConfigurationDelta(base, watched.puts, watched.deletes, history)


def fits(record: ConfigurationRecord, delta: ConfigurationDelta) -> bool:
    """Return whether `delta` holds everything that `record` lacks."""
    return record.version == delta.base or record.version in delta.history


def apply_delta(
    record: ConfigurationRecord, delta: ConfigurationDelta
) -> ConfigurationRecord | None:
    """Return `record` brought to the version of `delta`; None if the delta does not fit."""
    if not fits(record, delta):
        return None
    declarations = record.declarations
    revisions = record.revisions
    deleted = record.deleted
    for put in delta.puts:
        key = resource_key(put.resource)
        declarations = _put(declarations, put.resource)
        revisions = revisions.set(key, put.revision)
        deleted = _without(deleted, key)
    for item in delta.deletes:
        declarations = _delete(declarations, item.key)
        revisions = _without(revisions, item.key)
        deleted = deleted.set(item.key, item.revision)
    deleted, floor = _forget_deleted(deleted, record.compacted_generation)
    newer = tuple(item for item in delta.history if item.generation > record.generation)
    return ConfigurationRecord(
        declarations=replace(declarations, generation=delta.history[-1].generation),
        revisions=revisions,
        deleted=deleted,
        compacted_generation=floor,
        history=(record.history + newer)[-HISTORY_LIMIT:],
    )


def changes_since(record: ConfigurationRecord, generation: int) -> WatchedChanges | None:
    """Return what changed after `generation`; None if that is too long ago to tell."""
    if generation < record.compacted_generation:
        return None
    puts: list[RevisedResource] = []
    for key, revision in record.revisions.items():
        resource = find_resource(record.declarations, key)
        if revision > generation and resource is not None:
            puts.append(RevisedResource(resource, revision))
    deletes = [
        DeletedResource(key, revision)
        for key, revision in record.deleted.items()
        if revision > generation
    ]
    return WatchedChanges(
        # An instance that is behind must not send the operator back to what was seen already.
        max(record.generation, generation),
        tuple(sorted(puts, key=lambda item: (item.revision, resource_key(item.resource).name))),
        tuple(sorted(deletes, key=lambda item: (item.revision, item.key.name))),
    )


def _put(declarations: Declarations, resource: Resource) -> Declarations:
    key = resource_key(resource)
    return _replace_kind(
        declarations, key.kind, resources_of_kind(declarations, key.kind).set(key.name, resource)
    )


def _delete(declarations: Declarations, key: ResourceKey) -> Declarations:
    held = resources_of_kind(declarations, key.kind)
    return _replace_kind(declarations, key.kind, _without(held, key.name))


def _replace_kind(
    declarations: Declarations, kind: ResourceKind, held: Map[str, Any]
) -> Declarations:
    match kind:
        case ResourceKind.SERVICE:
            return replace(declarations, services=held)
        case ResourceKind.SEARCH:
            return replace(declarations, searches=held)
        case ResourceKind.ROUTE:
            return replace(declarations, routes=held)
        case ResourceKind.CALLER:
            return replace(declarations, callers=held)


def _without(mapping: Map[Any, Any], key: object) -> Map[Any, Any]:
    return mapping.delete(key) if key in mapping else mapping


def _forget_deleted(
    deleted: Map[ResourceKey, int], floor_generation: int
) -> tuple[Map[ResourceKey, int], int]:
    """Keep the latest deletions; differences from before the floor can no longer be made."""
    if len(deleted) <= DELETED_LIMIT:
        return deleted, floor_generation
    forgotten = sorted(deleted.values())[-DELETED_LIMIT - 1]
    kept = Map({key: at for key, at in deleted.items() if at > forgotten})
    return kept, max(floor_generation, forgotten)
