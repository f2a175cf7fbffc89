"""Computes new configuration records, and deltas between records."""

from dataclasses import dataclass
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
from savoryarch.utils import replace

# Numbers of versions and of deletions that a record retains.
HISTORY_LIMIT = 64
DELETION_LIMIT = 256


@dataclass(frozen=True, slots=True)
class WatchedChanges:
    """The changes after a generation, for operators who watch the configuration.

    Parameters
    ----------
    generation : int
        Generation to resume the watch after.
    puts : tuple of RevisedResource
        Resources written since, once each in their current form, by ascending revision.
    deletes : tuple of DeletedResource
        Resources deleted since and not created again, by ascending revision.
    """

    generation: int
    puts: tuple[RevisedResource, ...]
    deletes: tuple[DeletedResource, ...]


def resources_of_kind(declarations: Declarations, kind: ResourceKind) -> Map[str, Any]:
    """Return the resources of one kind, by name."""
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
    """Return the resource with a key, or None if it is not declared."""
    return resources_of_kind(declarations, key.kind).get(key.name)


def find_conflicts(
    record: ConfigurationRecord, changes: tuple[Change, ...]
) -> tuple[RevisionConflict, ...]:
    """Return a conflict for each change whose expected revision is not the actual one."""
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
    """Return the declarations with `changes` applied in order and an unchanged generation."""
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
    """Return the successor of `record` that has `declarations` and the version `version`.

    Resources that differ get the generation of `version` as their revision.
    """
    revisions = record.revisions
    deleted = record.deleted
    for kind in ResourceKind:
        before = resources_of_kind(record.declarations, kind)
        after = resources_of_kind(declarations, kind)
        for name, resource in after.items():
            if before.get(name) != resource:
                key = ResourceKey(kind, name)
                revisions = revisions.set(key, version.generation)
                deleted = _delete_if_present(deleted, key)
        for name in before:
            if name not in after:
                key = ResourceKey(kind, name)
                revisions = _delete_if_present(revisions, key)
                deleted = deleted.set(key, version.generation)
    deleted, compacted_generation = _compact_deletions(deleted, record.compacted_generation)
    return ConfigurationRecord(
        declarations=replace(declarations, generation=version.generation),
        revisions=revisions,
        deleted=deleted,
        compacted_generation=compacted_generation,
        history=(*record.history, version)[-HISTORY_LIMIT:],
    )


def descends_from(record: ConfigurationRecord, version: ConfigurationVersion) -> bool:
    """Return whether `version` is an ancestor of `record`; True if it predates the history."""
    if version.generation == 0 or version in record.history:
        return True
    oldest = record.history[0].generation if record.history else 0
    return version.generation < oldest


def find_change_version(record: ConfigurationRecord, change_id: str) -> ConfigurationVersion | None:
    """Return the version that a change created; None if it is not in the history."""
    return next((item for item in record.history if item.change_id == change_id), None)


def make_delta(
    record: ConfigurationRecord, base: ConfigurationVersion
) -> ConfigurationDelta | None:
    """Return the delta from `base`; None if `record` no longer has all changes since `base`."""
    if base.generation < record.compacted_generation:
        return None
    history = tuple(item for item in record.history if item.generation > base.generation)
    known = base in record.history or (base.generation == 0 and record.compacted_generation == 0)
    if not known or not history:
        return None
    changes = changes_since(record, base.generation)
    if changes is None:
        return None
    return ConfigurationDelta(base, changes.puts, changes.deletes, history)


def is_applicable(record: ConfigurationRecord, delta: ConfigurationDelta) -> bool:
    """Return whether `delta` contains every change after the version of `record`."""
    return record.version == delta.base or record.version in delta.history


def apply_delta(
    record: ConfigurationRecord, delta: ConfigurationDelta
) -> ConfigurationRecord | None:
    """Return `record` with `delta` applied; None if the delta is not applicable."""
    if not is_applicable(record, delta):
        return None
    declarations = record.declarations
    revisions = record.revisions
    deleted = record.deleted
    for put in delta.puts:
        key = resource_key(put.resource)
        declarations = _put(declarations, put.resource)
        revisions = revisions.set(key, put.revision)
        deleted = _delete_if_present(deleted, key)
    for item in delta.deletes:
        declarations = _delete(declarations, item.key)
        revisions = _delete_if_present(revisions, item.key)
        deleted = deleted.set(item.key, item.revision)
    deleted, compacted_generation = _compact_deletions(deleted, record.compacted_generation)
    newer = tuple(item for item in delta.history if item.generation > record.generation)
    return ConfigurationRecord(
        declarations=replace(declarations, generation=delta.history[-1].generation),
        revisions=revisions,
        deleted=deleted,
        compacted_generation=compacted_generation,
        history=(record.history + newer)[-HISTORY_LIMIT:],
    )


def changes_since(record: ConfigurationRecord, generation: int) -> WatchedChanges | None:
    """Return the changes after `generation`; None if deletions since were compacted."""
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
        # An instance that is behind must not make the watch resume before changes that the
        # operator has already seen.
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
    resources = resources_of_kind(declarations, key.kind)
    return _replace_kind(declarations, key.kind, _delete_if_present(resources, key.name))


def _replace_kind(
    declarations: Declarations, kind: ResourceKind, resources: Map[str, Any]
) -> Declarations:
    match kind:
        case ResourceKind.SERVICE:
            return replace(declarations, services=resources)
        case ResourceKind.SEARCH:
            return replace(declarations, searches=resources)
        case ResourceKind.ROUTE:
            return replace(declarations, routes=resources)
        case ResourceKind.CALLER:
            return replace(declarations, callers=resources)


def _delete_if_present(mapping: Map[Any, Any], key: object) -> Map[Any, Any]:
    return mapping.delete(key) if key in mapping else mapping


def _compact_deletions(
    deleted: Map[ResourceKey, int], compacted_generation: int
) -> tuple[Map[ResourceKey, int], int]:
    """Drop the oldest deletions above `DELETION_LIMIT`.

    Returns the retained deletions, and the highest generation of a dropped one. Deltas from before
    that generation can no longer be computed.
    """
    if len(deleted) <= DELETION_LIMIT:
        return deleted, compacted_generation
    compacted = sorted(deleted.values())[-DELETION_LIMIT - 1]
    retained = Map({key: revision for key, revision in deleted.items() if revision > compacted})
    return retained, max(compacted_generation, compacted)
