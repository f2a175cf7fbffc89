"""Decides on the events of the membership."""

import xxhash

from savoryarch.membership._dissemination import limit_digests, make_ack
from savoryarch.membership._instance_list import LIST_TIMER, apply_list, next_list_timer
from savoryarch.membership._probe import (
    TICK_TIMER,
    probed_neighbours,
    relay_probe,
    send_probe,
    tick,
)
from savoryarch.membership._state import MembershipState, live_peer_ids, with_member
from savoryarch.membership._updates import (
    apply_event,
    apply_update,
    chain_decisions,
    request_refutation,
)
from savoryarch.membership._view_comparison import (
    compute_live_digest,
    needs_comparison,
    record_comparison,
    start_comparison,
)
from savoryarch.membership._zones import detect_unreachable_zones
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
from savoryarch.utils import replace, sorted_items


def decide_membership(
    state: MembershipState, event: object, now_ms: float
) -> Decided[MembershipState]:
    """Apply the instance list, peer messages and membership timers to the membership.

    Parameters
    ----------
    state : MembershipState
        State before the event.
    event : object
        Any event; events that do not concern the membership change nothing.
    now_ms : float
        Current time on the process clock.

    Returns
    -------
    decided : Decided
        The new state and the effects. The effects contain ``PublishEvent(PeersChanged(...))``
        whenever the set of live peers changed.
    """
    decided = _decide(state, event, now_ms)
    if decided.state.live_ids == state.live_ids and decided.state.own_update == state.own_update:
        return decided
    after = replace(decided.state, live_digest=compute_live_digest(decided.state))
    if after.live_ids == state.live_ids:
        return Decided(after, decided.effects)
    after = replace(after, live_changed_at_ms=now_ms)
    return Decided(after, (*decided.effects, PublishEvent(PeersChanged(live_peer_ids(after)))))


def _decide(state: MembershipState, event: object, now_ms: float) -> Decided[MembershipState]:
    match event:
        case Started():
            return _start(state, event, now_ms)
        case PeerMessageReceived(peer_id, message):
            return _handle_message(state, peer_id, message, now_ms)
        case TimerFired(timer_id) if timer_id == TICK_TIMER:
            return chain_decisions(tick(state, now_ms), detect_unreachable_zones, now_ms)
        case TimerFired(timer_id) if timer_id == LIST_TIMER:
            return Decided(state, (ReadInstanceList(), next_list_timer(state, now_ms)))
        case InstancesListed(instances):
            return apply_list(state, instances, now_ms)
        case InstanceListFailed():
            return Decided(state, (Count("membership", "list_failed"),))
        case LeavingAnnounced():
            return _announce_leaving(state, now_ms)
        case DigestChanged(digest):
            others = tuple(item for item in state.digests if item.component != digest.component)
            return Decided(replace(state, digests=limit_digests((*others, digest))))
        case _:
            return Decided(state)


def _start(state: MembershipState, event: Started, now_ms: float) -> Decided[MembershipState]:
    """Set the identity of this instance, read the instance list and set the first timers."""
    own_update = replace(
        state.own_update,
        instance_id=event.instance_id,
        availability_zone=event.availability_zone,
        incarnation=event.incarnation,
    )
    interval_ms = state.settings.probe_interval_ms
    # The first tick depends on the id, so that heartbeats of the instances are spread over time.
    offset_ms = interval_ms * xxhash.xxh32_intdigest(event.instance_id.encode()) / 2**32
    state = replace(state, own_update=own_update, last_tick_at_ms=now_ms)
    first_tick = SetTimer(TICK_TIMER, now_ms + offset_ms)
    return Decided(state, (ReadInstanceList(), next_list_timer(state, now_ms), first_tick))


def _announce_leaving(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Mark this instance as leaving and send the update to all neighbours at once."""
    own_update = replace(
        state.own_update, status=MemberStatus.LEAVING, revision=state.own_update.revision + 1
    )
    decided: Decided[MembershipState] = Decided(replace(state, own_update=own_update))
    for peer_id in probed_neighbours(state):
        decided = chain_decisions(decided, send_probe, peer_id, now_ms)
    return decided


def _handle_message(
    state: MembershipState, peer_id: str, message: object, now_ms: float
) -> Decided[MembershipState]:
    """Handle a peer's message; ignore a heartbeat whose sender is not the peer itself.

    A heartbeat with the id of this instance is counted: another instance runs under the same id.
    """
    match message:
        case Ping(sender=sender) | Ack(sender=sender) if sender.instance_id == peer_id:
            if peer_id == state.own_update.instance_id:
                return Decided(state, (Count("membership", "own_message"),))
            return _handle_heartbeat(state, message, now_ms)
        case ProbeRequest():
            return relay_probe(state, peer_id, message, now_ms)
        case ProbeConfirmed():
            return _handle_confirmation(state, message, now_ms)
        case _:
            return Decided(state)


def _handle_heartbeat(
    state: MembershipState, message: Ping | Ack, now_ms: float
) -> Decided[MembershipState]:
    """Apply the updates and digests of a ping or ack, and answer a ping.

    A message from an earlier incarnation of the sender is counted and ignored. A sender that is
    new here, or whose live set differs, gets the updates that differ from the instance list.
    """
    sender = message.sender
    member = state.members.get(sender.instance_id)
    if member is not None and sender.incarnation < member.update.incarnation:
        return Decided(state, (Count("membership", "old_incarnation"),))
    is_new_incarnation = member is None or member.update.incarnation < sender.incarnation
    revision = state.own_update.revision
    decided = apply_update(state, sender, now_ms)
    for update in message.updates:
        decided = chain_decisions(decided, apply_update, update, now_ms)
    decided = chain_decisions(decided, _record_contact, sender, now_ms)
    decided = chain_decisions(decided, _record_digests, sender.instance_id, message.digests)
    if is_new_incarnation:
        decided = chain_decisions(decided, _replace_earlier_instances, sender, now_ms)
    needs_repair = needs_comparison(decided.state, message.live_digest, now_ms)
    if needs_repair:
        decided = chain_decisions(decided, record_comparison, now_ms)
    match message:
        case Ping():
            return chain_decisions(decided, _send_ack, message, is_new_incarnation or needs_repair)
        case Ack():
            decided = chain_decisions(decided, _record_ack, message)
            if decided.state.own_update.revision != revision:
                # The peer's view of this instance was just refuted; send it the new revision.
                return chain_decisions(decided, send_probe, sender.instance_id, now_ms)
            if needs_repair:
                return chain_decisions(decided, start_comparison, sender.instance_id)
            return chain_decisions(decided, request_refutation, sender.instance_id)


def _send_ack(
    state: MembershipState, ping: Ping, with_differences: bool
) -> Decided[MembershipState]:
    peer_id = ping.sender.instance_id
    state, ack = make_ack(state, ping.probe_id, peer_id, with_differences)
    return Decided(state, (SendToPeer(peer_id, ack),))


def _record_ack(state: MembershipState, ack: Ack) -> Decided[MembershipState]:
    """Close the probe that an ack answers; report a relayed probe to the peer that requested it."""
    peer_id = ack.sender.instance_id
    relayed = state.relayed_probes.get(ack.probe_id)
    if relayed is not None:
        state = replace(state, relayed_probes=state.relayed_probes.delete(ack.probe_id))
        return Decided(
            state, (SendToPeer(relayed.peer_id, ProbeConfirmed(relayed.probe_id, ack.sender)),)
        )
    if peer_id in state.probes:
        state = replace(state, probes=state.probes.delete(peer_id))
    return Decided(with_member(state, replace(state.members[peer_id], answers_probes=True)))


def _record_contact(
    state: MembershipState, sender: MemberUpdate, now_ms: float
) -> Decided[MembershipState]:
    member = state.members[sender.instance_id]
    return Decided(with_member(state, replace(member, last_contact_at_ms=now_ms)))


def _record_digests(
    state: MembershipState, peer_id: str, digests: tuple[ComponentDigest, ...]
) -> Decided[MembershipState]:
    """Store the digests of a peer and publish each one that changed."""
    member = state.members[peer_id]
    if member.digests == digests:
        return Decided(state)
    changed = tuple(digest for digest in digests if digest not in member.digests)
    effects = tuple(PublishEvent(PeerDigestChanged(peer_id, digest)) for digest in changed)
    return Decided(with_member(state, replace(member, digests=digests)), effects)


def _replace_earlier_instances(
    state: MembershipState, sender: MemberUpdate, now_ms: float
) -> Decided[MembershipState]:
    """Mark members at the sender's address that started earlier as replaced.

    Two running instances cannot share an address, so the earlier one no longer runs.
    """
    decided: Decided[MembershipState] = Decided(state)
    for instance_id, member in sorted_items(state.members):
        update = member.update
        if (
            instance_id != sender.instance_id
            and (update.host, update.port) == (sender.host, sender.port)
            and update.incarnation < sender.incarnation
        ):
            decided = chain_decisions(decided, apply_event, instance_id, "replaced", now_ms)
    return decided


def _handle_confirmation(
    state: MembershipState, message: ProbeConfirmed, now_ms: float
) -> Decided[MembershipState]:
    """Close a probe that a peer confirmed on behalf of this instance.

    The member is not marked as answering, because its ack reached the other peer only.
    """
    target_id = message.target.instance_id
    open_probe = state.probes.get(target_id)
    member = state.members.get(target_id)
    if open_probe is None or member is None or open_probe.probe_id != message.probe_id:
        return Decided(state)
    if message.target.incarnation < member.update.incarnation:
        return Decided(state, (Count("membership", "old_incarnation"),))
    state = replace(state, probes=state.probes.delete(target_id))
    state = with_member(state, replace(member, last_confirmed_at_ms=now_ms))
    return apply_update(state, message.target, now_ms)
