"""Evaluates a requested change against the configuration in the store."""

from dataclasses import dataclass

from savoryarch.configuration._checks import check_declarations
from savoryarch.configuration._record import (
    HISTORY_LIMIT,
    apply_changes,
    descends_from,
    find_change_version,
    find_conflicts,
    make_next_record,
)
from savoryarch.model import (
    Change,
    ChangeAccepted,
    ChangeBlocked,
    ChangeConflicts,
    ChangeInvalid,
    ChangeOutcome,
    ChangeUnavailable,
    ConfigurationRecord,
    ConfigurationVersion,
    RestoreChoice,
    SettleRestore,
)
from savoryarch.utils import Finding, Place, replace

# Largest value that the store accepts.
MAX_VALUE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Proposal:
    """The change is valid; `record` is the next record to commit."""

    record: ConfigurationRecord


@dataclass(frozen=True, slots=True)
class AlreadyCommitted:
    """The store already contains the change, as `version`."""

    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class StaleRead:
    """A newer configuration came into force after the read was sent; the store is read again."""


Evaluation = Proposal | AlreadyCommitted | StaleRead | ChangeOutcome


def evaluate_change(
    change_id: str,
    changes: tuple[Change, ...],
    stored: ConfigurationRecord,
    in_force: ConfigurationRecord,
    version_at_read: ConfigurationVersion,
) -> Evaluation:
    """Return the record to commit, or the outcome if there is nothing to commit.

    Parameters
    ----------
    change_id, changes
        As in `ChangeRequested`.
    stored : ConfigurationRecord
        The record in the store.
    in_force : ConfigurationRecord
        The record in force on this instance.
    version_at_read : ConfigurationVersion
        The version that was in force when the read of the store was sent.

    Returns
    -------
    evaluation : Proposal, AlreadyCommitted, StaleRead or ChangeOutcome
        `ChangeBlocked` if the store was restored and `changes` is not one `SettleRestore`.
    """
    if earlier := find_change_version(stored, change_id):
        return AlreadyCommitted(earlier)
    restore_choices = [change for change in changes if isinstance(change, SettleRestore)]
    if is_store_restored(stored, version_at_read):
        if len(restore_choices) == 1 == len(changes):
            return Proposal(
                _resolve_restore(change_id, restore_choices[0].choice, stored, in_force)
            )
        return ChangeBlocked(stored.generation, in_force.generation)
    if stored.generation < in_force.generation:
        return StaleRead()
    if restore_choices:
        return _invalid("the store holds what is in force; there is nothing to decide")
    if conflicts := find_conflicts(stored, changes):
        return ChangeConflicts(conflicts)
    declarations = apply_changes(stored.declarations, changes)
    if declarations == stored.declarations:
        return ChangeAccepted(stored.generation, changed=False)
    if findings := check_declarations(declarations):
        return ChangeInvalid(findings)
    version = ConfigurationVersion(stored.generation + 1, change_id)
    return Proposal(make_next_record(stored, declarations, version))


def is_store_restored(stored: ConfigurationRecord, version_at_read: ConfigurationVersion) -> bool:
    """Return whether the store lacks a version that was in force when the read was sent."""
    return stored.generation < version_at_read.generation or not descends_from(
        stored, version_at_read
    )


def check_size(value: bytes) -> ChangeOutcome | None:
    """Return `ChangeUnavailable` if an encoded record is too large for the store, else None."""
    if len(value) <= MAX_VALUE_BYTES:
        return None
    return ChangeUnavailable(
        f"the configuration takes {len(value)} bytes, over the {MAX_VALUE_BYTES} of the store"
    )


def _resolve_restore(
    change_id: str,
    choice: RestoreChoice,
    stored: ConfigurationRecord,
    in_force: ConfigurationRecord,
) -> ConfigurationRecord:
    """Return a record that succeeds both records and has the declarations of the chosen one.

    Its compacted generation is the new generation, so that no delta is computed from a version
    of either history.
    """
    generation = max(stored.generation, in_force.generation) + 1
    version = ConfigurationVersion(generation, change_id)
    chosen = in_force if choice is RestoreChoice.KEEP_IN_FORCE else stored
    record = make_next_record(in_force, chosen.declarations, version)
    merged = sorted(
        {*stored.history, *in_force.history},
        key=lambda item: (item.generation, item.change_id),
    )
    return replace(
        record, compacted_generation=generation, history=(*merged, version)[-HISTORY_LIMIT:]
    )


def _invalid(message: str) -> ChangeInvalid:
    return ChangeInvalid((Finding(Place("", 0, "choice"), message),))
