"""State of the membership."""

from dataclasses import dataclass, field, replace

from immutables import Map

from savoryarch.charts import load_chart
from savoryarch.membership._settings import MembershipSettings
from savoryarch.model import ComponentDigest, ListedState, MemberStatus, MemberUpdate

ACTIONS = frozenset(
    {"ask_itself", "connect", "drop", "spread", "spread_unless_listed", "start_suspicion"}
)
CHART = load_chart("member", ACTIONS)
LIVE_STATES = frozenset({"listed", "live", "suspected"})
PROBED_STATES = frozenset({"listed", "live", "suspected", "leaving"})


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of another entry instance.

    Parameters
    ----------
    update : MemberUpdate
        The newest statement; its incarnation is 0 until the member itself was heard of.
    chart_state : str
        State in the chart ``member.ini``.
    changed_at_ms : float
        When it entered the state.
    listed_state : ListedState or None
        As in the last list that had rows; None if it is absent there.
    heard_at_ms : float or None
        When a message of its own last arrived here.
    confirmed_at_ms : float or None
        When another peer last confirmed that it answers.
    answers : bool
        Whether it answered the last probe that came from here directly.
    suspicion_ends_at_ms : float
        When it counts as dead, in the state ``suspected``.
    digests : tuple of ComponentDigest
        The last that it sent.
    """

    update: MemberUpdate
    chart_state: str
    changed_at_ms: float
    listed_state: ListedState | None = None
    heard_at_ms: float | None = None
    confirmed_at_ms: float | None = None
    answers: bool = True
    suspicion_ends_at_ms: float = 0.0
    digests: tuple[ComponentDigest, ...] = ()


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe that is not answered yet.

    Parameters
    ----------
    probe_id : int
        Repeated by the answer.
    sent_at_ms : float
        When it was sent.
    is_indirect : bool
        Whether others were asked to confirm.
    """

    probe_id: int
    sent_at_ms: float
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe that was sent for a peer, who gets the answer."""

    peer_id: str
    probe_id: int
    sent_at_ms: float


@dataclass(frozen=True, slots=True)
class MembershipState:
    """State of the membership.

    Parameters
    ----------
    settings : MembershipSettings
        The settings.
    me : MemberUpdate
        The newest statement of this instance about itself; incarnation 0 before its start.
    members : Map of str to Member
        The other instances by id.
    live_ids, suspected_ids, dead_ids : frozenset of str
        Those that count as live (with the suspected), those that are suspected, and the dead.
    neighbours : tuple of str
        Those that are probed; None when it has to be worked out again.
    probe_order : tuple of str
        Neighbours that are still to be probed in this round.
    probes : Map of str to Probe
        Unanswered probes by member.
    relayed : Map of int to RelayedProbe
        Unanswered probes that were sent for others, by probe id.
    spreading : Map of str to int
        How often the statement about a member still has to be sent, by member.
    digests : tuple of ComponentDigest
        What the subjects of this instance have in force.
    last_probe_id : int
        Ascends with each probe.
    ticked_at_ms, dead_probed_at_ms : float
        When the last heartbeat, and the last probe of a dead member, were due.
    unreachable_zones : tuple of str
        Zones that count as unreachable.
    live_digest : int
        Identifies the live instances, this one included.
    live_changed_at_ms, repaired_at_ms : float
        When the live instances last changed, and when notes were last compared with a peer.
    """

    settings: MembershipSettings
    me: MemberUpdate
    members: Map[str, Member] = field(default_factory=Map)
    live_ids: frozenset[str] = frozenset()
    suspected_ids: frozenset[str] = frozenset()
    dead_ids: frozenset[str] = frozenset()
    neighbours: tuple[str, ...] | None = None
    probe_order: tuple[str, ...] = ()
    probes: Map[str, Probe] = field(default_factory=Map)
    relayed: Map[int, RelayedProbe] = field(default_factory=Map)
    spreading: Map[str, int] = field(default_factory=Map)
    digests: tuple[ComponentDigest, ...] = ()
    last_probe_id: int = 0
    ticked_at_ms: float = 0.0
    dead_probed_at_ms: float = 0.0
    unreachable_zones: tuple[str, ...] = ()
    live_digest: int = 0
    live_changed_at_ms: float = 0.0
    repaired_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """What operators are told of a peer.

    Parameters
    ----------
    instance_id, availability_zone : str
        Who it is.
    state : str
        State in the chart ``member.ini``.
    incarnation : int
        Its newest known start.
    heard_before_ms : float or None
        Time since a message of its own arrived here; None if none did.
    confirmed_before_ms : float or None
        Time since another peer confirmed that it answers.
    answers : bool
        Whether it answered the last direct probe.
    """

    instance_id: str
    availability_zone: str
    state: str
    incarnation: int
    heard_before_ms: float | None
    confirmed_before_ms: float | None
    answers: bool


def make_membership_state(settings: MembershipSettings, host: str, port: int) -> MembershipState:
    """Make the state of an instance that has not started yet.

    Parameters
    ----------
    settings : MembershipSettings
        The settings.
    host, port : str, int
        The peer address of this instance.
    """
    return MembershipState(settings, MemberUpdate("", "", host, port, 0, 0, MemberStatus.LIVE))


def live_peer_ids(state: MembershipState) -> tuple[str, ...]:
    """Return the ids of the live peers, this instance excluded."""
    return tuple(sorted(state.live_ids))


def reachable_peer_ids(state: MembershipState) -> tuple[str, ...]:
    """Return the live peers that answer this instance directly."""
    return tuple(peer_id for peer_id in live_peer_ids(state) if state.members[peer_id].answers)


def peer_statuses(state: MembershipState, now_ms: float) -> tuple[PeerStatus, ...]:
    """Return what operators are told of each known peer, in the order of their ids."""
    return tuple(
        PeerStatus(
            instance_id=instance_id,
            availability_zone=member.update.availability_zone,
            state=member.chart_state,
            incarnation=member.update.incarnation,
            heard_before_ms=_age_ms(member.heard_at_ms, now_ms),
            confirmed_before_ms=_age_ms(member.confirmed_at_ms, now_ms),
            answers=member.answers,
        )
        for instance_id, member in sorted(state.members.items())
    )


def with_member(state: MembershipState, member: Member) -> MembershipState:
    """Return the state with a member set."""
    return replace(state, members=state.members.set(member.update.instance_id, member))


def _age_ms(at_ms: float | None, now_ms: float) -> float | None:
    return None if at_ms is None else now_ms - at_ms
