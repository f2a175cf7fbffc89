"""Changes of the configuration that operators request, their outcomes, and the status."""

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
        The resource to store.
    expected_revision : int or None
        Revision that the resource must have now; 0 if it must not exist, None if any revision
        is accepted.
    """

    resource: Resource
    expected_revision: int | None = None


@dataclass(frozen=True, slots=True)
class DeleteResource:
    """Delete a resource; `expected_revision` is as in `PutResource`."""

    key: ResourceKey
    expected_revision: int | None = None


class RestoreChoice(Enum):
    """Operator's choice between two configurations after the store was restored to an older one."""

    KEEP_IN_FORCE = "keep-in-force"
    TAKE_STORED = "take-stored"


@dataclass(frozen=True, slots=True)
class SettleRestore:
    """Commit the chosen configuration as the next generation.

    Valid only while the configurations in the store and in force differ after a restore.
    """

    choice: RestoreChoice


Change = PutResource | DeleteResource | SettleRestore


@dataclass(frozen=True, slots=True)
class ChangeRequested:
    """An operator requests changes, which are committed atomically.

    Parameters
    ----------
    change_id : str
        Unique id. A request that repeats the id gets the outcome of the first one.
    changes : tuple of Change
        At least one change.
    """

    change_id: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class ChangeAccepted:
    """The change is committed in the store and in force on the instance that answers.

    Parameters
    ----------
    generation : int
        The generation that contains the change; the revision of the resources that it wrote.
    changed : bool
        False if the configuration already was as requested, so that no generation was added.
    """

    generation: int
    changed: bool = True


@dataclass(frozen=True, slots=True)
class RevisionConflict:
    """A resource whose actual revision differs from the one that the operator expected."""

    key: ResourceKey
    expected_revision: int
    actual_revision: int


@dataclass(frozen=True, slots=True)
class ChangeConflicts:
    """Nothing was changed, because a resource is not at its expected revision."""

    conflicts: tuple[RevisionConflict, ...]


@dataclass(frozen=True, slots=True)
class ChangeInvalid:
    """Nothing was changed, because the resulting configuration would be invalid."""

    findings: tuple[Finding, ...]


@dataclass(frozen=True, slots=True)
class ChangeUnavailable:
    """Nothing was changed, because this instance or the store could not process the change."""

    detail: str


@dataclass(frozen=True, slots=True)
class ChangeBlocked:
    """Nothing was changed, because the store was restored and an operator must choose first.

    Parameters
    ----------
    stored_generation : int
        The generation in the restored store.
    generation : int
        The newer generation in force.
    """

    stored_generation: int
    generation: int


@dataclass(frozen=True, slots=True)
class ChangeUnknown:
    """The change may have been committed; a request with the same id returns the outcome."""

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
    """Effect: return the outcome of a change to every operator who requested it."""

    change_id: str
    outcome: ChangeOutcome


@dataclass(frozen=True, slots=True)
class StatusRequested:
    """An operator requests the version that each instance has in force."""

    status_id: str


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """The generation in force on one instance, as last announced.

    Parameters
    ----------
    instance_id : str
        Id of the instance.
    generation : int or None
        The generation in its last announcement; None if no announcement was received.
    live : bool
        Whether the membership lists the instance as live.
    last_contact_ago_ms : float or None
        Milliseconds since its last announcement; None if none was received.
    """

    instance_id: str
    generation: int | None
    live: bool
    last_contact_ago_ms: float | None


@dataclass(frozen=True, slots=True)
class ConfigurationStatus:
    """The versions in force on all instances, as known to one of them.

    Parameters
    ----------
    instance_id : str
        The instance that answers.
    version : ConfigurationVersion
        The version in force on that instance.
    store_last_contact_ago_ms : float or None
        Milliseconds since the store last replied to this instance, or to a peer that announced
        it; None if no reply is known.
    store_restored_generation : int or None
        The generation in the store, if the store was restored to an older configuration than
        the one in force.
    instances : tuple of InstanceStatus
        Every instance that is live or was live recently, including this one.
    """

    instance_id: str
    version: ConfigurationVersion
    store_last_contact_ago_ms: float | None
    store_restored_generation: int | None
    instances: tuple[InstanceStatus, ...]


@dataclass(frozen=True, slots=True)
class AnswerStatus:
    """Effect: return the status to the operator who requested it."""

    status_id: str
    status: ConfigurationStatus
