"""Messages, events and records of the membership of entry instances."""

from dataclasses import dataclass
from enum import Enum


class MemberStatus(Enum):
    """What is believed of a member."""

    LIVE = "live"
    SUSPECTED = "suspected"
    DEAD = "dead"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """A statement about a member.

    Parameters
    ----------
    instance_id, availability_zone : str
        Who it is about.
    host : str
        IP number of its peer address.
    port : int
        TCP port of its peer address.
    incarnation : int
        Ascends with each start of the member.
    revision : int
        Ascends within an incarnation; only the member itself raises it, to refute a suspicion or
        to announce that it leaves.
    status : MemberStatus
        What is stated.
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
    """The version that a component has in force; each heartbeat carries it.

    Parameters
    ----------
    component : str
        For example ``configuration``.
    generation : int
        Ascends with each change.
    digest : str
        Identifies the content of that generation.
    """

    component: str
    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat that asks for an `Ack`.

    Parameters
    ----------
    probe_id : int
        Repeated by the answer.
    sender : MemberUpdate
        The sender about itself.
    updates : tuple of MemberUpdate
        Statements about others that ride along.
    digests : tuple of ComponentDigest
        What the sender has in force.
    live_digest : int
        Identifies the set of instances that the sender takes to be live.
    """

    probe_id: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[ComponentDigest, ...] = ()
    live_digest: int = 0


@dataclass(frozen=True, slots=True)
class Ack:
    """Answers a `Ping`; see there."""

    probe_id: int
    sender: MemberUpdate
    updates: tuple[MemberUpdate, ...] = ()
    digests: tuple[ComponentDigest, ...] = ()
    live_digest: int = 0


@dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks a peer to probe another one that did not answer; answered by `ProbeConfirmed`."""

    probe_id: int
    target: MemberUpdate


@dataclass(frozen=True, slots=True)
class ProbeConfirmed:
    """The member that was asked for answers; `target` is its own latest statement."""

    probe_id: int
    target: MemberUpdate


@dataclass(frozen=True, slots=True)
class DigestChanged:
    """A component of this instance has a newer version in force; heartbeats carry its digest."""

    digest: ComponentDigest


@dataclass(frozen=True, slots=True)
class PeerDigestChanged:
    """A peer's digest differs from the last one it sent; informs the other decisions."""

    peer_id: str
    digest: ComponentDigest


@dataclass(frozen=True, slots=True)
class PeerRestarted:
    """A known peer has a newer incarnation; informs the other decisions."""

    peer_id: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class UnreachableZonesChanged:
    """Availability zones became unreachable or reachable; informs the other decisions.

    Parameters
    ----------
    unreachable : tuple of str
        Zones whose entry instances were all lost without announcing that they leave.
    """

    unreachable: tuple[str, ...]
