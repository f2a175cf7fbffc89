"""The decision of the membership."""

from dataclasses import replace

import xxhash

from savoryarch.membership._believe import ask_to_refute, believe, observe, then
from savoryarch.membership._list import LIST_TIMER, apply_list, next_reading
from savoryarch.membership._probe import TICK_TIMER, probe, probed_neighbours, relay_probe, tick
from savoryarch.membership._repair import (
    compare,
    digest_of_live,
    needs_to_compare,
    note_comparison,
)
from savoryarch.membership._spread import fitting_digests, make_ack
from savoryarch.membership._state import MembershipState, live_peer_ids, with_member
from savoryarch.membership._zones import note_zones
from savoryarch.model import (
    Ack,
    ComponentDigest,
    Count,
    Decided,
    DigestChanged,
    InstanceListFailed,
    InstancesListed,
    LeavingAnnounced,
    MemberStatus,
    MemberUpdate,
    PeerDigestChanged,
    PeerMessageReceived,
    PeersChanged,
    Ping,
    ProbeConfirmed,
    ProbeRequest,
    PublishEvent,
    ReadInstanceList,
    SendToPeer,
    SetTimer,
    Started,
    TimerFired,
)
from savoryarch.utils import in_order


def decide_membership(
    state: MembershipState, event: object, now_ms: float
) -> Decided[MembershipState]:
    """Decide on the platform's list, on what peers say, and on the timers of the membership.

    Parameters
    ----------
    state : MembershipState
        The state before.
    event : object
        Any event; those that don't concern the membership change nothing.
    now_ms : float
        Time on the clock of the process.

    Returns
    -------
    decided : Decided
        ``PublishEvent(PeersChanged(...))`` is among the effects whenever the live peers changed.
    """
    decided = _decide(state, event, now_ms)
    if decided.state.live_ids == state.live_ids and decided.state.me == state.me:
        return decided
    after = replace(decided.state, live_digest=digest_of_live(decided.state))
    if after.live_ids == state.live_ids:
        return Decided(after, decided.effects)
    after = replace(after, live_changed_at_ms=now_ms)
    return Decided(after, (*decided.effects, PublishEvent(PeersChanged(live_peer_ids(after)))))


def _decide(state: MembershipState, event: object, now_ms: float) -> Decided[MembershipState]:
    match event:
        case Started():
            return _start(state, event, now_ms)
        case PeerMessageReceived(peer_id, message):
            return _hear(state, peer_id, message, now_ms)
        case TimerFired(timer_id) if timer_id == TICK_TIMER:
            return then(tick(state, now_ms), note_zones, now_ms)
        case TimerFired(timer_id) if timer_id == LIST_TIMER:
            return Decided(state, (ReadInstanceList(), next_reading(state, now_ms)))
        case InstancesListed(instances):
            return apply_list(state, instances, now_ms)
        case InstanceListFailed():
            return Decided(state, (Count("membership", "list_failed"),))
        case LeavingAnnounced():
            return _announce_leaving(state, now_ms)
        case DigestChanged(digest):
            others = tuple(kept for kept in state.digests if kept.component != digest.component)
            return Decided(replace(state, digests=fitting_digests((*others, digest))))
        case _:
            return Decided(state)


def _start(state: MembershipState, event: Started, now_ms: float) -> Decided[MembershipState]:
    me = replace(
        state.me,
        instance_id=event.instance_id,
        availability_zone=event.availability_zone,
        incarnation=event.incarnation,
    )
    interval_ms = state.settings.probe_interval_ms
    phase_ms = interval_ms * xxhash.xxh32_intdigest(event.instance_id.encode()) / 2**32
    state = replace(state, me=me, ticked_at_ms=now_ms)
    first_tick = SetTimer(TICK_TIMER, now_ms + phase_ms)
    return Decided(state, (ReadInstanceList(), next_reading(state, now_ms), first_tick))


def _announce_leaving(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    me = replace(state.me, status=MemberStatus.LEAVING, revision=state.me.revision + 1)
    decided: Decided[MembershipState] = Decided(replace(state, me=me))
    for peer_id in probed_neighbours(state):
        decided = then(decided, probe, peer_id, now_ms)
    return decided


def _hear(
    state: MembershipState, peer_id: str, message: object, now_ms: float
) -> Decided[MembershipState]:
    match message:
        case Ping(sender=sender) | Ack(sender=sender) if sender.instance_id == peer_id:
            if peer_id == state.me.instance_id:
                return Decided(state, (Count("membership", "own_message"),))
            return _hear_heartbeat(state, message, now_ms)
        case ProbeRequest():
            return relay_probe(state, peer_id, message, now_ms)
        case ProbeConfirmed():
            return _hear_confirmation(state, message, now_ms)
        case _:
            return Decided(state)


def _hear_heartbeat(
    state: MembershipState, message: Ping | Ack, now_ms: float
) -> Decided[MembershipState]:
    sender = message.sender
    known = state.members.get(sender.instance_id)
    if known is not None and sender.incarnation < known.update.incarnation:
        return Decided(state, (Count("membership", "old_incarnation"),))
    is_newcomer = known is None or known.update.incarnation < sender.incarnation
    revision = state.me.revision
    decided = believe(state, sender, now_ms)
    for update in message.updates:
        decided = then(decided, believe, update, now_ms)
    decided = then(decided, _note_heard, sender, now_ms)
    decided = then(decided, _note_digests, sender.instance_id, message.digests)
    if is_newcomer:
        decided = then(decided, _note_replaced, sender, now_ms)
    needs_repair = needs_to_compare(decided.state, message.live_digest, now_ms)
    if needs_repair:
        decided = then(decided, note_comparison, now_ms)
    match message:
        case Ping():
            return then(decided, _answer, message, is_newcomer or needs_repair)
        case Ack():
            decided = then(decided, _note_answer, message)
            if decided.state.me.revision != revision:
                # The peer believed something of this instance that was just refuted.
                return then(decided, probe, sender.instance_id, now_ms)
            if needs_repair:
                return then(decided, compare, sender.instance_id)
            return then(decided, ask_to_refute, sender.instance_id)


def _answer(state: MembershipState, ping: Ping, with_exceptions: bool) -> Decided[MembershipState]:
    peer_id = ping.sender.instance_id
    state, ack = make_ack(state, ping.probe_id, peer_id, with_exceptions)
    return Decided(state, (SendToPeer(peer_id, ack),))


def _note_answer(state: MembershipState, ack: Ack) -> Decided[MembershipState]:
    peer_id = ack.sender.instance_id
    relayed = state.relayed.get(ack.probe_id)
    if relayed is not None:
        state = replace(state, relayed=state.relayed.delete(ack.probe_id))
        return Decided(
            state, (SendToPeer(relayed.peer_id, ProbeConfirmed(relayed.probe_id, ack.sender)),)
        )
    if peer_id in state.probes:
        state = replace(state, probes=state.probes.delete(peer_id))
    return Decided(with_member(state, replace(state.members[peer_id], answers=True)))


def _note_heard(
    state: MembershipState, sender: MemberUpdate, now_ms: float
) -> Decided[MembershipState]:
    member = state.members[sender.instance_id]
    return Decided(with_member(state, replace(member, heard_at_ms=now_ms)))


def _note_digests(
    state: MembershipState, peer_id: str, digests: tuple[ComponentDigest, ...]
) -> Decided[MembershipState]:
    member = state.members[peer_id]
    if member.digests == digests:
        return Decided(state)
    changed = tuple(digest for digest in digests if digest not in member.digests)
    effects = tuple(PublishEvent(PeerDigestChanged(peer_id, digest)) for digest in changed)
    return Decided(with_member(state, replace(member, digests=digests)), effects)


def _note_replaced(
    state: MembershipState, sender: MemberUpdate, now_ms: float
) -> Decided[MembershipState]:
    """Two instances cannot have one address: the one that started earlier is gone."""
    decided: Decided[MembershipState] = Decided(state)
    for instance_id, member in in_order(state.members):
        update = member.update
        if (
            instance_id != sender.instance_id
            and (update.host, update.port) == (sender.host, sender.port)
            and update.incarnation < sender.incarnation
        ):
            decided = then(decided, observe, instance_id, "replaced", now_ms)
    return decided


def _hear_confirmation(
    state: MembershipState, message: ProbeConfirmed, now_ms: float
) -> Decided[MembershipState]:
    target_id = message.target.instance_id
    waiting = state.probes.get(target_id)
    member = state.members.get(target_id)
    if waiting is None or member is None or waiting.probe_id != message.probe_id:
        return Decided(state)
    if message.target.incarnation < member.update.incarnation:
        return Decided(state, (Count("membership", "old_incarnation"),))
    state = replace(state, probes=state.probes.delete(target_id))
    state = with_member(state, replace(member, confirmed_at_ms=now_ms))
    return believe(state, message.target, now_ms)
