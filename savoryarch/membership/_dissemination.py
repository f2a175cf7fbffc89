"""Selects the membership updates that each heartbeat carries."""

from heapq import nsmallest
from math import ceil, log10

from savoryarch.membership._state import Member, MembershipState
from savoryarch.model import Ack, ComponentDigest, MemberStatus, MemberUpdate, Ping
from savoryarch.utils import replace

SENDS_PER_DECADE = 4  # sends of an update for each power of ten of the number of members
UPDATE_BYTES = 96  # encoded size of an update without its text fields
DIGEST_BYTES = 32  # encoded size of a digest without its text fields
MAX_DIGESTS_BYTES = 256
COMPARISON_BYTES_FACTOR = 4  # space for a view comparison, relative to a regular heartbeat

_STATUS_BY_STATE = {
    "listed": MemberStatus.LIVE,
    "live": MemberStatus.LIVE,
    "suspected": MemberStatus.SUSPECTED,
    "dead": MemberStatus.DEAD,
}


def start_dissemination(state: MembershipState, instance_id: str) -> MembershipState:
    """Schedule a member's update for enough heartbeats to reach every instance.

    The number of sends grows with the logarithm of the number of members.
    """
    sends = max(1, ceil(SENDS_PER_DECADE * log10(len(state.members) + 2)))
    return replace(state, remaining_sends=state.remaining_sends.set(instance_id, sends))


def make_ping(state: MembershipState, probe_id: int, peer_id: str) -> tuple[MembershipState, Ping]:
    """Make a heartbeat for a peer.

    If this instance suspects the peer or considers it dead, the heartbeat carries that update, so
    that the peer can refute it.
    """
    state, updates = _next_updates(state, refutable_updates(state, peer_id))
    return state, Ping(probe_id, state.own_update, updates, state.digests, state.live_digest)


def make_comparison_ping(state: MembershipState, probe_id: int, peer_id: str) -> Ping:
    """Make a heartbeat for a peer whose set of live instances differs from the one here.

    It carries the updates that the peer cannot know from the instance list.
    """
    updates = refutable_updates(state, peer_id) + _updates_not_in_list(state, peer_id)
    return Ping(probe_id, state.own_update, updates, state.digests, state.live_digest)


def make_ack(
    state: MembershipState, probe_id: int, peer_id: str, with_differences: bool
) -> tuple[MembershipState, Ack]:
    """Make the answer to a heartbeat.

    Parameters
    ----------
    state : MembershipState
        State before the answer.
    probe_id : int
        Id of the ping that is answered.
    peer_id : str
        Sender of the ping.
    with_differences : bool
        Whether to include every update that differs from the platform's instance list.
    """
    first = refutable_updates(state, peer_id)
    if with_differences:
        first += _updates_not_in_list(state, peer_id)
    state, updates = _next_updates(state, first)
    return state, Ack(probe_id, state.own_update, updates, state.digests, state.live_digest)


def refutable_updates(state: MembershipState, peer_id: str) -> tuple[MemberUpdate, ...]:
    """Return the update that the peer has to refute; empty unless it is suspected or dead."""
    member = state.members.get(peer_id)
    if member is None or member.chart_state not in ("suspected", "dead"):
        return ()
    return (current_update(member),)


def current_update(member: Member) -> MemberUpdate:
    """Return the update that describes this instance's current view of a member."""
    if member.chart_state == "leaving":
        # Unchanged if only the list shows the member as leaving; the peers read the list too.
        return member.update
    return replace(member.update, status=_STATUS_BY_STATE[member.chart_state])


def limit_digests(digests: tuple[ComponentDigest, ...]) -> tuple[ComponentDigest, ...]:
    """Return the digests that fit into `MAX_DIGESTS_BYTES`, in their order."""
    retained: list[ComponentDigest] = []
    remaining_bytes = MAX_DIGESTS_BYTES
    for digest in digests:
        remaining_bytes -= len(digest.component) + len(digest.digest) + DIGEST_BYTES
        if remaining_bytes >= 0:
            retained.append(digest)
    return tuple(retained)


def _next_updates(
    state: MembershipState, first: tuple[MemberUpdate, ...]
) -> tuple[MembershipState, tuple[MemberUpdate, ...]]:
    """Return the updates of the next heartbeat and the state after they are sent.

    These are the updates in `first` and as many scheduled updates as fit into
    ``piggyback_bytes``; each scheduled update that is included has one send fewer left.
    """
    updates = list(first)
    remaining_sends = state.remaining_sends
    remaining_bytes = state.settings.piggyback_bytes
    # Updates with the most remaining sends go first, so that a new update overtakes those that
    # have reached almost every instance.
    max_updates = 1 + remaining_bytes // UPDATE_BYTES
    for instance_id, sends in nsmallest(
        max_updates, remaining_sends.items(), key=lambda item: (-item[1], item[0])
    ):
        member = state.members.get(instance_id)
        update = current_update(member) if member else None
        if update is not None and _is_informative(update):
            remaining_bytes -= _size_bytes(update)
            if remaining_bytes < 0:
                break
            updates.append(update)
        remaining_sends = (
            remaining_sends.set(instance_id, sends - 1)
            if sends > 1 and update is not None
            else remaining_sends.delete(instance_id)
        )
    return replace(state, remaining_sends=remaining_sends), tuple(updates)


def _updates_not_in_list(state: MembershipState, peer_id: str) -> tuple[MemberUpdate, ...]:
    """Return the updates that a peer cannot derive from the instance list, as many as fit."""
    remaining_bytes = state.settings.piggyback_bytes * COMPARISON_BYTES_FACTOR
    updates: list[MemberUpdate] = []
    for instance_id, member in sorted(state.members.items()):
        is_as_listed = member.chart_state in ("listed", "live") and member.listed_state
        if is_as_listed or instance_id == peer_id:
            continue
        update = current_update(member)
        if not _is_informative(update):
            continue
        remaining_bytes -= _size_bytes(update)
        if remaining_bytes < 0:
            break
        updates.append(update)
    return tuple(updates)


def _is_informative(update: MemberUpdate) -> bool:
    # Peers read the instance list too; they know a live member that is only listed.
    return update.incarnation > 0 or update.status is not MemberStatus.LIVE


def _size_bytes(update: MemberUpdate) -> int:
    text_bytes = len(update.instance_id) + len(update.availability_zone) + len(update.host)
    return UPDATE_BYTES + text_bytes
