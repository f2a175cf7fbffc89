"""Messages, events and records of the membership of entry instances."""

from dataclasses import dataclass
from enum import Enum


class MemberStatus(Enum):
    """Status of a member in a membership update."""

    LIVE = "live"
    SUSPECTED = "suspected"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """Membership update: the status of one member at one version.

    Versions are ordered by incarnation and revision.

    Parameters
    ----------
    instance_id, availability_zone : str
        Identity of the member.
    host : str
        IP address at which peers reach the member.
    port : int
        TCP port at which peers reach the member.
    incarnation : int
        Number of the member's start; ascends with each start. 0 if the member is known from the
        instance list only.
    revision : int
        Number of the update within the incarnation. Only the member itself raises it, to refute a
        suspicion or to announce that it leaves.
    status : MemberStatus
        Status that the update reports.
    """

    instance_id: str
    availability_zone: str
    host: str
    port: int
    incarnation: int
    revision: int
    status: MemberStatus


@dataclass(frozen=True, slots=True)
class ComponentDigest:
    """Version that a component has in force; carried by each heartbeat.

    Parameters
    ----------
    component : str
        Name of the component, for example ``configuration``.
    generation : int
        Number of the version; ascends with each change.
    digest : str
        Digest of the content of that generation.
    """

    component: str
    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat that requests an `Ack`.

    Parameters
    ----------
    probe_id : int
        Id that the ack repeats.
    sender : MemberUpdate
        Update of the sender about itself.
    updates : tuple of MemberUpdate
        Updates about other members.
    digests : tuple of ComponentDigest
        Versions that the components of the sender have in force.
    live_digest : int
        Digest of the set of instances that are live in the sender's view; 0 if not given.
    """

    probe_id: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[ComponentDigest, ...] = ()
    live_digest: int = 0


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping`; the fields are those of the ping, filled in by the answering instance."""

    probe_id: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[ComponentDigest, ...] = ()
    live_digest: int = 0


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Requests that a peer probe a member that did not answer (an indirect probe).

    Parameters
    ----------
    probe_id : int
        Id of the requester's own probe; `ProbeConfirmed` repeats it.
    target : MemberUpdate
        The member to probe.
    """

    probe_id: int
    target: MemberUpdate


@dataclass(frozen=True, slots=True)
class ProbeConfirmed:
    """Answers a `ProbeRequest`: the member answered the indirect probe.

    Parameters
    ----------
    probe_id : int
        Id from the request.
    target : MemberUpdate
        The member's update about itself, from its ack.
    """

    probe_id: int
    target: MemberUpdate


@dataclass(frozen=True, slots=True)
class DigestChanged:
    """Event: a component of this instance has a newer version in force.

    The heartbeats of this instance carry its digest from then on.
    """

    digest: ComponentDigest


@dataclass(frozen=True, slots=True)
class PeerDigestChanged:
    """Event for the other components: a peer sent a digest that differs from its last one."""

    peer_id: str
    digest: ComponentDigest


@dataclass(frozen=True, slots=True)
class PeerRestarted:
    """Event for the other components: a known peer has restarted with a newer incarnation."""

    peer_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class UnreachableZonesChanged:
    """Event for the other components: the set of unreachable availability zones changed.

    Parameters
    ----------
    unreachable : tuple of str
        Zones whose entry instances are all dead without having announced that they leave.
    """

    unreachable: tuple[str, ...]
