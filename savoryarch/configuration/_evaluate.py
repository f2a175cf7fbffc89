"""What a change asked by an operator comes to, given the configuration in the store."""

from dataclasses import dataclass, replace

from savoryarch.configuration._checks import check_declarations
from savoryarch.configuration._record import (
    HISTORY_LIMIT,
    apply_changes,
    descends,
    find_change,
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
from savoryarch.utils import Finding, Place

MAX_VALUE_BYTES = 1024 * 1024


@dataclass(frozen=True, slots=True)
class Proposal:
    """A record to be committed."""

    record: ConfigurationRecord


@dataclass(frozen=True, slots=True)
class Committed:
    """The change is in the store already, as `version`."""

    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class Stale:
    """A newer configuration came into force after the store was read; read it again."""


Evaluation = Proposal | Committed | Stale | ChangeOutcome


def evaluate_change(
    change_id: str,
    changes: tuple[Change, ...],
    stored: ConfigurationRecord,
    in_force: ConfigurationRecord,
    asked_version: ConfigurationVersion,
) -> Evaluation:
    """Return the record to commit, or the outcome if nothing is to be committed.

    Parameters
    ----------
    change_id, changes
        As asked.
    stored : ConfigurationRecord
        What the store holds.
    in_force : ConfigurationRecord
        What is in force on this instance.
    asked_version : ConfigurationVersion
        What was in force when the store was asked.
    """
    if earlier := find_change(stored, change_id):
        return Committed(earlier)
    settles = [change for change in changes if isinstance(change, SettleRestore)]
    if is_restored(stored, asked_version):
        if len(settles) == 1 == len(changes):
            return Proposal(_settle(change_id, settles[0].choice, stored, in_force))
        return ChangeBlocked(stored.generation, in_force.generation)
    if stored.generation < in_force.generation:
        return Stale()
    if settles:
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


def is_restored(stored: ConfigurationRecord, asked_version: ConfigurationVersion) -> bool:
    """Return whether the store lacks a version that was in force before it was read."""
    return stored.generation < asked_version.generation or not descends(stored, asked_version)


def check_size(value: bytes) -> ChangeOutcome | None:
    """Return the outcome if a record is too large for the store."""
    if len(value) <= MAX_VALUE_BYTES:
        return None
    return ChangeUnavailable(
        f"the configuration takes {len(value)} bytes, over the {MAX_VALUE_BYTES} of the store"
    )


def _settle(
    change_id: str,
    choice: RestoreChoice,
    stored: ConfigurationRecord,
    in_force: ConfigurationRecord,
) -> ConfigurationRecord:
    """Return a record that follows both, with the content of one.

    The floor is the new generation, so that no difference from before it is ever made.
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
