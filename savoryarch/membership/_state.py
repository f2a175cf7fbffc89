"""State of the membership: the members, the open probes and the updates to disseminate."""

from dataclasses import dataclass, field

from immutables import Map

from savoryarch.charts import load_chart
from savoryarch.membership._settings import MembershipSettings
from savoryarch.model import ComponentDigest, ListedState, MemberStatus, MemberUpdate
from savoryarch.utils import replace

ACTIONS = frozenset(
    {
        "request_refutation",
        "connect",
        "remove_member",
        "disseminate",
        "disseminate_unless_listed",
        "start_suspicion",
    }
)
CHART = load_chart("member", ACTIONS)
LIVE_STATES = frozenset({"listed", "live", "suspected"})
PROBED_STATES = frozenset({"listed", "live", "suspected", "leaving"})


@dataclass(frozen=True, slots=True)
class Member:
    """Current view of another entry instance.

    Parameters
    ----------
    update : MemberUpdate
        Newest update about the member; incarnation 0 if it is known from the list only.
    chart_state : str
        State in the chart ``member.ini``.
    changed_at_ms : float
        When the member entered the chart state.
    listed_state : ListedState or None
        State in the last instance list with entry instances; None if the member was absent.
    last_contact_at_ms : float or None
        When the last ping or ack of the member arrived here.
    last_confirmed_at_ms : float or None
        When another peer last confirmed that the member answers.
    answers_probes : bool
        Whether the member answered the last direct probe of this instance in time.
    suspicion_ends_at_ms : float
        When a member in the state ``suspected`` is declared dead.
    digests : tuple of ComponentDigest
        Digests of the member's last heartbeat.
    leaving_incarnation : int
        Newest incarnation that announced a planned stop; 0 if none did.
    """

    update: MemberUpdate
    chart_state: str
    changed_at_ms: float
    listed_state: ListedState | None = None
    last_contact_at_ms: float | None = None
    last_confirmed_at_ms: float | None = None
    answers_probes: bool = True
    suspicion_ends_at_ms: float = 0.0
    digests: tuple[ComponentDigest, ...] = ()
    leaving_incarnation: int = 0


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe that is not answered yet.

    Parameters
    ----------
    probe_id : int
        Id that the ack repeats.
    sent_at_ms : float
        When the ping was sent.
    is_indirect : bool
        Whether other peers were asked to probe the member too.
    """

    probe_id: int
    sent_at_ms: float
    is_indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe sent on behalf of a peer.

    Parameters
    ----------
    peer_id : str
        Peer that is notified of the ack.
    probe_id : int
        Id of the peer's own probe.
    sent_at_ms : float
        When the ping was sent.
    """

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
    own_update : MemberUpdate
        Newest update of this instance about itself; incarnation 0 before its start.
    members : Map of str to Member
        The other instances by id.
    live_ids, suspected_ids, dead_ids : frozenset of str
        Live members (the suspected ones included), suspected members and dead members.
    neighbours : tuple of str or None
        Members that this instance probes; None if they have to be computed again.
    probe_order : tuple of str
        Members that are still to be probed in the current round.
    probes : Map of str to Probe
        Open probes by member.
    relayed_probes : Map of int to RelayedProbe
        Open probes on behalf of peers, by probe id.
    remaining_sends : Map of str to int
        How many more times the update about a member is to be sent, by member.
    digests : tuple of ComponentDigest
        Versions that the components of this instance have in force.
    last_probe_id : int
        Id of the last probe; ids ascend.
    last_tick_at_ms, last_dead_probe_at_ms : float
        When the probe timer last fired, and when a dead member was last due for a probe.
    unreachable_zones : tuple of str
        Availability zones that are unreachable, sorted.
    live_digest : int
        Digest of the live instances, this one included unless it is leaving.
    live_changed_at_ms, last_comparison_at_ms : float
        When the set of live members last changed, and when views were last compared with a peer.
    """

    settings: MembershipSettings
    own_update: MemberUpdate
    members: Map[str, Member] = field(default_factory=Map)
    live_ids: frozenset[str] = frozenset()
    suspected_ids: frozenset[str] = frozenset()
    dead_ids: frozenset[str] = frozenset()
    neighbours: tuple[str, ...] | None = None
    probe_order: tuple[str, ...] = ()
    probes: Map[str, Probe] = field(default_factory=Map)
    relayed_probes: Map[int, RelayedProbe] = field(default_factory=Map)
    remaining_sends: Map[str, int] = field(default_factory=Map)
    digests: tuple[ComponentDigest, ...] = ()
    last_probe_id: int = 0
    last_tick_at_ms: float = 0.0
    last_dead_probe_at_ms: float = 0.0
    unreachable_zones: tuple[str, ...] = ()
    live_digest: int = 0
    live_changed_at_ms: float = 0.0
    last_comparison_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerStatus:
    """Status of a peer, as shown to operators.

    Parameters
    ----------
    instance_id, availability_zone : str
        Identity of the peer.
    state : str
        State in the chart ``member.ini``.
    incarnation : int
        Newest known incarnation; 0 if the peer is known from the list only.
    last_contact_ago_ms : float or None
        Time since the last ping or ack of the peer arrived here; None if none did.
    last_confirmed_ago_ms : float or None
        Time since another peer confirmed that the peer answers; None if none did.
    answers_probes : bool
        Whether the peer answered the last direct probe in time.
    """

    instance_id: str
    availability_zone: str
    state: str
    incarnation: int
    last_contact_ago_ms: float | None
    last_confirmed_ago_ms: float | None
    answers_probes: bool


def make_membership_state(settings: MembershipSettings, host: str, port: int) -> MembershipState:
    """Make the initial state; the identity of the instance comes with its `Started` event.

    Parameters
    ----------
    settings : MembershipSettings
        The settings.
    host, port : str, int
        Address at which peers reach this instance.
    """
    return MembershipState(settings, MemberUpdate("", "", host, port, 0, 0, MemberStatus.LIVE))


def live_peer_ids(state: MembershipState) -> tuple[str, ...]:
    """Return the ids of the live peers, without this instance, in ascending order."""
    return tuple(sorted(state.live_ids))


def reachable_peer_ids(state: MembershipState) -> tuple[str, ...]:
    """Return the ids of the live peers that answer direct probes of this instance."""
    return tuple(
        peer_id for peer_id in live_peer_ids(state) if state.members[peer_id].answers_probes
    )


def peer_statuses(state: MembershipState, now_ms: float) -> tuple[PeerStatus, ...]:
    """Return the status of each known peer, in the order of their ids."""
    return tuple(
        PeerStatus(
            instance_id=instance_id,
            availability_zone=member.update.availability_zone,
            state=member.chart_state,
            incarnation=member.update.incarnation,
            last_contact_ago_ms=_age_ms(member.last_contact_at_ms, now_ms),
            last_confirmed_ago_ms=_age_ms(member.last_confirmed_at_ms, now_ms),
            answers_probes=member.answers_probes,
        )
        for instance_id, member in sorted(state.members.items())
    )


def with_member(state: MembershipState, member: Member) -> MembershipState:
    """Return the state with a member added or replaced."""
    return replace(state, members=state.members.set(member.update.instance_id, member))


def _age_ms(at_ms: float | None, now_ms: float) -> float | None:
    return None if at_ms is None else now_ms - at_ms
