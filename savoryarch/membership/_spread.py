"""Which statements ride on a heartbeat."""

from dataclasses import replace
from heapq import nsmallest
from math import ceil, log10

from savoryarch.membership._state import Member, MembershipState
from savoryarch.model import Ack, ComponentDigest, MemberStatus, MemberUpdate, Ping

SENDS_PER_DECADE = 4
UPDATE_BYTES = 96  # without the text of its fields
DIGEST_BYTES = 32
MAX_DIGESTS_BYTES = 256
WELCOME_FACTOR = 4

_STATUS_OF_STATE = {
    "listed": MemberStatus.LIVE,
    "live": MemberStatus.LIVE,
    "suspected": MemberStatus.SUSPECTED,
    "dead": MemberStatus.DEAD,
}


def start_spreading(state: MembershipState, instance_id: str) -> MembershipState:
    """Have the statement about a member sent as often as it takes to reach all."""
    sends = max(1, ceil(SENDS_PER_DECADE * log10(len(state.members) + 2)))
    return replace(state, spreading=state.spreading.set(instance_id, sends))


def make_ping(state: MembershipState, probe_id: int, peer_id: str) -> tuple[MembershipState, Ping]:
    """Make a heartbeat for a peer, with what it needs to refute if it is not believed live."""
    state, updates = _take_updates(state, belief_about(state, peer_id))
    return state, Ping(probe_id, state.me, updates, state.digests, state.live_digest)


def make_repairing_ping(state: MembershipState, probe_id: int, peer_id: str) -> Ping:
    """Make a heartbeat for a peer that takes others to be live, with what may differ."""
    updates = belief_about(state, peer_id) + _exceptions(state, peer_id)
    return Ping(probe_id, state.me, updates, state.digests, state.live_digest)


def make_ack(
    state: MembershipState, probe_id: int, peer_id: str, with_exceptions: bool
) -> tuple[MembershipState, Ack]:
    """Make the answer to a heartbeat, if asked for with what differs from the platform's list."""
    first = belief_about(state, peer_id)
    if with_exceptions:
        first += _exceptions(state, peer_id)
    state, updates = _take_updates(state, first)
    return state, Ack(probe_id, state.me, updates, state.digests, state.live_digest)


def belief_about(state: MembershipState, peer_id: str) -> tuple[MemberUpdate, ...]:
    """Return what the peer should refute, if there is such a belief."""
    member = state.members.get(peer_id)
    if member is None or member.chart_state not in ("suspected", "dead"):
        return ()
    return (statement_of(member),)


def statement_of(member: Member) -> MemberUpdate:
    """Return what this instance states about a member."""
    if member.chart_state == "leaving":
        return member.update  # others read in the list themselves who leaves according to it
    return replace(member.update, status=_STATUS_OF_STATE[member.chart_state])


def fitting_digests(digests: tuple[ComponentDigest, ...]) -> tuple[ComponentDigest, ...]:
    """Return the digests that fit the bound, in their order."""
    kept: list[ComponentDigest] = []
    room_bytes = MAX_DIGESTS_BYTES
    for digest in digests:
        room_bytes -= len(digest.component) + len(digest.digest) + DIGEST_BYTES
        if room_bytes >= 0:
            kept.append(digest)
    return tuple(kept)


def _take_updates(
    state: MembershipState, first: tuple[MemberUpdate, ...]
) -> tuple[MembershipState, tuple[MemberUpdate, ...]]:
    taken = list(first)
    spreading = state.spreading
    room_bytes = state.settings.piggyback_bytes
    # Those that were sent least often go first, so that news overtakes what is almost everywhere.
    most = 1 + room_bytes // UPDATE_BYTES
    for instance_id, sends in nsmallest(
        most, spreading.items(), key=lambda item: (-item[1], item[0])
    ):
        member = state.members.get(instance_id)
        update = statement_of(member) if member else None
        if update is not None and _is_worth_telling(update):
            room_bytes -= _size_bytes(update)
            if room_bytes < 0:
                break
            taken.append(update)
        spreading = (
            spreading.set(instance_id, sends - 1)
            if sends > 1 and update is not None
            else spreading.delete(instance_id)
        )
    return replace(state, spreading=spreading), tuple(taken)


def _exceptions(state: MembershipState, peer_id: str) -> tuple[MemberUpdate, ...]:
    room_bytes = state.settings.piggyback_bytes * WELCOME_FACTOR
    taken: list[MemberUpdate] = []
    for instance_id, member in sorted(state.members.items()):
        is_as_listed = member.chart_state in ("listed", "live") and member.listed_state
        if is_as_listed or instance_id == peer_id:
            continue
        update = statement_of(member)
        if not _is_worth_telling(update):
            continue
        room_bytes -= _size_bytes(update)
        if room_bytes < 0:
            break
        taken.append(update)
    return tuple(taken)


def _is_worth_telling(update: MemberUpdate) -> bool:
    # That a member is listed says nothing that the others don't read in the list themselves.
    return update.incarnation > 0 or update.status is not MemberStatus.LIVE


def _size_bytes(update: MemberUpdate) -> int:
    text_bytes = len(update.instance_id) + len(update.availability_zone) + len(update.host)
    return UPDATE_BYTES + text_bytes
