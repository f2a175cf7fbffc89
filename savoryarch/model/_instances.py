"""Entry instances, the platform's instance list, and the life of this instance."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from savoryarch.model._declarations import Declarations


class InstanceRole(Enum):
    """What a listed instance runs."""

    ENTRY = "entry"
    TARGET = "target"


class ListedState(Enum):
    """State of an instance in the platform's lagging list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the platform's instance list; an entry is listed with its peer address."""

    instance_id: str
    role: InstanceRole
    availability_zone: str
    host: str
    port: int
    state: ListedState


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The platform's instance list was read."""

    instances: tuple[ListedInstance, ...]


@dataclass(frozen=True, slots=True)
class InstanceListFailed:
    """The platform's instance list could not be read."""

    detail: str


@dataclass(frozen=True, slots=True)
class ReadInstanceList:
    """Read the platform's instance list once."""


@dataclass(frozen=True, slots=True)
class Started:
    """This instance started.

    Parameters
    ----------
    instance_id, availability_zone : str
        From the settings.
    incarnation : int
        Ascends with each start at the same address (start time in ms since the Unix epoch).
    """

    instance_id: str
    availability_zone: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The platform or the operator asked this instance to stop (a signal).

    Parameters
    ----------
    urgent : bool
        Whether an operator asked again, at the keyboard; the platform may repeat its signal, which
        must cut nothing.
    """

    urgent: bool = False


@dataclass(frozen=True, slots=True)
class PeersChanged:
    """The live peers changed; informs the other decisions.

    Parameters
    ----------
    live : tuple of str
        Instance ids of the live peers, this instance excluded.
    """

    live: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DeclarationsInForce:
    """A newer configuration is in force here; informs the other decisions."""

    declarations: Declarations


@dataclass(frozen=True, slots=True)
class RequestIntakeStopped:
    """This instance takes no new requests from now on; informs the other decisions."""


@dataclass(frozen=True, slots=True)
class LeavingAnnounced:
    """This instance is going to leave but still takes requests; informs the other decisions."""


@dataclass(frozen=True, slots=True)
class UnfinishedRequestsChanged:
    """The requests that this instance has accepted and not answered.

    Parameters
    ----------
    request_ids : tuple of str
        Every unfinished request: searches, routes, relays and claims.
    """

    request_ids: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SetReadiness:
    """What the balancer's readiness check gets from now on."""

    ready: bool


@dataclass(frozen=True, slots=True)
class ConnectPeer:
    """Keep a connection to a peer's address."""

    peer_id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class DisconnectPeer:
    """Drop the connection to a peer."""

    peer_id: str


@dataclass(frozen=True, slots=True)
class Exit:
    """End the process.

    Parameters
    ----------
    exit_code : int
        0 if no request was cut.
    cut_request_ids : tuple of str
        Requests that were cut.
    """

    exit_code: int
    cut_request_ids: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class SettingsReloaded:
    """The settings file has changed.

    Parameters
    ----------
    sections : mapping of str to object
        The settings of each subject, by the name of its section.
    """

    sections: Mapping[str, object]
