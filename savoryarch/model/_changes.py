"""Changes of the configuration that operators ask for, and their outcomes; the status."""

from dataclasses import dataclass
from enum import Enum

from savoryarch.model._configuration import ConfigurationVersion, ResourceKey
from savoryarch.model._declarations import Resource
from savoryarch.utils import Finding


@dataclass(frozen=True, slots=True)
class PutResource:
    """Create or replace a resource.

    Parameters
    ----------
    resource : Resource
        The resource as it shall be.
    expected_revision : int or None
        Revision that the resource must have (0: it must not exist); None accepts any.
    """

    resource: Resource
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class DeleteResource:
    """Delete a resource; see `PutResource` for `expected_revision`."""

    key: ResourceKey
    expected_revision: int | None = None


class RestoreChoice(Enum):
    """What an operator decides after the store went back to an older configuration."""

    KEEP_IN_FORCE = "keep-in-force"
    TAKE_STORED = "take-stored"


@dataclass(frozen=True, slots=True)
class SettleRestore:
    """Make one of two configurations the next generation; valid only while the store differs."""

    choice: RestoreChoice


Change = PutResource | DeleteResource | SettleRestore


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator asks for changes, which come into force together or not at all.

    Parameters
    ----------
    change_id : str
        Unique. The same change sent again gets the outcome of the first.
    changes : tuple of Change
        At least one.
    """

    change_id: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is committed in the store, and in force here.

    Parameters
    ----------
    generation : int
        The generation that holds it; the revision of the resources that it wrote.
    changed : bool
        False if everything was already as asked, so that no new generation was needed.
    """

    generation: int
    changed: bool = True


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """A resource is not at the revision that the operator expected."""

    key: ResourceKey
    expected_revision: int
    actual_revision: int


@dataclass(frozen=True, slots=True)
class ChangeConflicts:
    """Nothing was changed, because another operator was first."""

    conflicts: tuple[RevisionConflict, ...]


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """Nothing was changed, because the configuration would be wrong."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class ChangeUnavailable:
    """Nothing was changed, because the store cannot be used."""

    detail: str


@dataclass(frozen=True, slots=True)
class ChangeBlocked:
    """Nothing was changed, because the store was restored and an operator has to decide first."""

    stored_generation: int
    generation: int


@dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The change may have been committed; the same change sent again settles it."""

    detail: str


ChangeOutcome = (
    ChangeAccepted
    | ChangeConflicts
    | ChangeInvalid
    | ChangeUnavailable
    | ChangeBlocked
    | ChangeUnknown
)


@dataclass(frozen=True, slots=True)
class AnswerChange:
    """Give the operators the outcome, once per change id; one answer for all who asked it."""

    change_id: str
    outcome: ChangeOutcome


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """An operator asks what is in force where."""

    status_id: str


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """What one instance has in force, as far as it was heard.

    Parameters
    ----------
    instance_id : str
        The instance.
    generation : int or None
        The generation that it last said is in force there; None if it was never heard.
    live : bool
        Whether it counts as live now.
    last_contact_ago_ms : float or None
        How long ago it was last heard; None if never.
    """

    instance_id: str
    generation: int | None
    live: bool
    last_contact_ago_ms: float | None


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """What is in force where.

    Parameters
    ----------
    instance_id : str
        The instance that answers.
    version : ConfigurationVersion
        What is in force there.
    store_last_contact_ago_ms : float or None
        How long ago this instance, or a peer that told it, last had a reply from the store.
    store_restored_generation : int or None
        Generation of the store, if the store was restored to before what is in force.
    instances : tuple of InstanceStatus
        Every instance that is or was live, this one included.
    """

    instance_id: str
    version: ConfigurationVersion
    store_last_contact_ago_ms: float | None
    store_restored_generation: int | None
    instances: tuple[InstanceStatus, ...]


@dataclass(frozen=True, slots=True)
class AnswerStatus:
    """Give the operator the status."""

    status_id: str
    status: ConfigurationStatus
