"""Entry instances, the platform's instance list, and the life cycle of this instance."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from savoryarch.model._declarations import Declarations


class ExitReason(Enum):
    """The decision behind the exit of an instance."""

    STOP_FINISHED = "stop_finished"
    DEADLINE_REACHED = "deadline_reached"
    URGENT_STOP = "urgent_stop"


class InstanceRole(Enum):
    """Role of a listed instance."""

    ENTRY = "entry"
    TARGET = "target"


class ListedState(Enum):
    """State of an instance in the platform's instance list, which lags."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's instance list; an entry instance has its peer address there."""

    instance_id: str
    role: InstanceRole
    availability_zone: str
    host: str
    port: int
    state: ListedState


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """Event: the platform's instance list was read."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class InstanceListFailed:
    """Event: the platform's instance list could not be read."""

    detail: str


@dataclass(frozen=True, slots=True)
class ReadInstanceList:
    """Effect: read the platform's instance list once."""


@dataclass(frozen=True, slots=True)
class Started:
    """Event: this instance started.

    Parameters
    ----------
    instance_id, availability_zone : str
        Identity of the instance, from the settings.
    incarnation : int
        Start time in ms since the Unix epoch, which ascends with each start at the same address.
    """

    instance_id: str
    availability_zone: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Event: a signal of the platform or of an operator requests a graceful shutdown.

    Parameters
    ----------
    urgent : bool
        Whether an operator repeated the request at the keyboard, which cuts unfinished requests.
        A signal that the platform repeats is not urgent and must not cut any.
    """

    urgent: bool = False


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """Event for the other components: the set of live peers changed.

    Parameters
    ----------
    live : tuple of str
        Instance ids of the live peers, without this instance.
    """

    live: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeclarationsInForce:
    """Event for the other components: a newer configuration is in force on this instance."""

    declarations: Declarations


@dataclass(frozen=True, slots=True)
class RequestIntakeStopped:
    """Event for the other components: this instance accepts no new requests from now on."""


@dataclass(frozen=True, slots=True)
class ShutdownTimeExpired:
    """Event for the other components: this instance exits now, whatever is unfinished."""


@dataclass(frozen=True, slots=True)
class LeavingAnnounced:
    """Event for the other components: this instance will leave but still accepts requests."""


@dataclass(frozen=True, slots=True)
class UnfinishedRequestsChanged:
    """Event: the set of requests that this instance has accepted and not answered changed.

    Parameters
    ----------
    request_ids : tuple of str
        Ids of all unfinished requests: searches, routes, relays and claims.
    """

    request_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SetReadiness:
    """Effect: set the answer to the load balancer's readiness check."""

    ready: bool


@dataclass(frozen=True, slots=True)
class ConnectPeer:
    """Effect: set the address under which messages reach a peer."""

    peer_id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class DisconnectPeer:
    """Effect: close the connection to a peer and remove its address."""

    peer_id: str


@dataclass(frozen=True, slots=True)
class Exit:
    """Effect: end the process.

    Parameters
    ----------
    exit_code : int
        0 if no request was cut, that is, ended without an answer.
    cut_request_ids : tuple of str
        Ids of the requests that were cut.
    reason : ExitReason
        The decision behind the exit.
    """

    exit_code: int
    cut_request_ids: tuple[str, ...] = ()
    reason: ExitReason = ExitReason.STOP_FINISHED


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """Event: the settings file was read again after a change.

    Parameters
    ----------
    sections : mapping of str to object
        Settings of each component, by the name of the section.
    """

    sections: Mapping[str, object]
