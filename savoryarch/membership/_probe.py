"""Probes of the failure detector: selection, time-outs, indirect probes and suspicions."""

from immutables import Map

from savoryarch.membership._dissemination import make_ping
from savoryarch.membership._ring import neighbours_on_ring, shuffled
from savoryarch.membership._state import (
    PROBED_STATES,
    MembershipState,
    Probe,
    RelayedProbe,
    with_member,
)
from savoryarch.membership._updates import apply_event, chain_decisions, request_refutation
from savoryarch.model import Count, Decided, LogEvent, ProbeRequest, SendToPeer, SetTimer
from savoryarch.utils import replace

TICK_TIMER = "membership/tick"


def tick(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Run one interval of the failure detector.

    Checks the open probes and suspicions, probes the next neighbour and at times a dead member,
    and removes dead members past the retention period. If the timer fired more than ``pause_ms``
    late, the process was paused; open probes are discarded and suspicions are extended first.
    """
    settings = state.settings
    decided = Decided(state, (SetTimer(TICK_TIMER, now_ms + settings.probe_interval_ms),))
    late_ms = now_ms - state.last_tick_at_ms - settings.probe_interval_ms
    if late_ms > settings.pause_ms:
        decided = chain_decisions(decided, _compensate_pause, late_ms)
    decided = chain_decisions(decided, _record_tick, now_ms)
    for step in (
        _check_probe_timeouts,
        _expire_suspicions,
        _probe_next,
        _probe_dead_member,
        _remove_expired_members,
    ):
        decided = chain_decisions(decided, step, now_ms)
    return decided


def _record_tick(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Record the time of the tick and discard relayed probes that are past their time-out."""
    oldest_ms = now_ms - 2 * state.settings.probe_timeout_ms
    relayed_probes = state.relayed_probes
    for probe_id, probe in state.relayed_probes.items():
        if probe.sent_at_ms < oldest_ms:
            relayed_probes = relayed_probes.delete(probe_id)
    return Decided(replace(state, last_tick_at_ms=now_ms, relayed_probes=relayed_probes))


def _compensate_pause(state: MembershipState, late_ms: float) -> Decided[MembershipState]:
    """Discard the open probes and extend all suspicions by the duration of a local pause.

    A paused instance receives no messages, so the silence of a peer during the pause means nothing.
    """
    for instance_id in state.suspected_ids:
        member = state.members[instance_id]
        ends_at_ms = member.suspicion_ends_at_ms + late_ms
        state = with_member(state, replace(member, suspicion_ends_at_ms=ends_at_ms))
    state = replace(state, probes=Map())
    fields = (("late_ms", f"{late_ms:.0f}"),)
    return Decided(state, (Count("membership", "paused"), LogEvent("instance_paused", fields)))


def _check_probe_timeouts(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Probe indirectly after the first time-out and fail the probe after the second."""
    decided = Decided(state)
    timeout_ms = state.settings.probe_timeout_ms
    for instance_id, probe in sorted(state.probes.items()):
        waited_ms = now_ms - probe.sent_at_ms
        if not probe.is_indirect and waited_ms >= timeout_ms:
            decided = chain_decisions(decided, _start_indirect_probe, instance_id, probe)
        elif probe.is_indirect and waited_ms >= 2 * timeout_ms:
            decided = chain_decisions(decided, _fail_probe, instance_id, now_ms)
    return decided


def _start_indirect_probe(
    state: MembershipState, instance_id: str, probe: Probe
) -> Decided[MembershipState]:
    """Request probes of a silent member from up to ``indirect_probes`` live neighbours."""
    member = state.members.get(instance_id)
    if member is None:
        return Decided(replace(state, probes=state.probes.delete(instance_id)))
    state = with_member(state, replace(member, answers_probes=False))
    state = replace(state, probes=state.probes.set(instance_id, replace(probe, is_indirect=True)))
    candidates = tuple(
        peer_id
        for peer_id in probed_neighbours(state)
        if peer_id != instance_id and peer_id not in state.probes and peer_id in state.live_ids
    )
    relay_ids = shuffled(candidates, probe.probe_id)[: state.settings.indirect_probes]
    request = ProbeRequest(probe.probe_id, member.update)
    effects = tuple(SendToPeer(peer_id, request) for peer_id in relay_ids)
    return Decided(state, (*effects, Count("membership", "indirect_probe")))


def _fail_probe(
    state: MembershipState, instance_id: str, now_ms: float
) -> Decided[MembershipState]:
    state = replace(state, probes=state.probes.delete(instance_id))
    if instance_id not in state.members:
        return Decided(state)
    return apply_event(state, instance_id, "probe_failed", now_ms)


def _expire_suspicions(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    decided = Decided(state)
    for instance_id in sorted(state.suspected_ids):
        if now_ms >= state.members[instance_id].suspicion_ends_at_ms:
            decided = chain_decisions(
                decided, apply_event, instance_id, "suspicion_expired", now_ms
            )
    return decided


def _probe_next(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Probe the next member of the round.

    A new round has all neighbours in a new pseudo-random order, and at most one stale member.
    """
    neighbours = probed_neighbours(state)
    state = replace(state, neighbours=neighbours)
    order = tuple(
        peer_id
        for peer_id in state.probe_order
        if peer_id in state.members and state.members[peer_id].chart_state in PROBED_STATES
    )
    if not order:
        order = shuffled(neighbours, state.last_probe_id) + _sample_stale_member(state, now_ms)
    state = replace(state, probe_order=order[1:])
    return send_probe(state, order[0], now_ms) if order else Decided(state)


def send_probe(state: MembershipState, instance_id: str, now_ms: float) -> Decided[MembershipState]:
    """Send a ping to a member and track it as an open probe, unless one is open already."""
    probe_id = state.last_probe_id + 1
    state = replace(state, last_probe_id=probe_id)
    if instance_id not in state.probes:
        probes = state.probes.set(instance_id, Probe(probe_id, now_ms))
        state = replace(state, probes=probes)
    state, ping = make_ping(state, probe_id, instance_id)
    return Decided(state, (SendToPeer(instance_id, ping),))


def _sample_stale_member(state: MembershipState, now_ms: float) -> tuple[str, ...]:
    """Return at most one live member that is unlisted and sent nothing here for ``forget_ms``."""
    oldest_ms = now_ms - state.settings.forget_ms
    for instance_id in shuffled(tuple(state.live_ids), state.last_probe_id):
        member = state.members[instance_id]
        last_seen_at_ms = max(member.last_contact_at_ms or 0.0, member.changed_at_ms)
        if member.listed_state is None and last_seen_at_ms < oldest_ms:
            return (instance_id,)
    return ()


def _probe_dead_member(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Ping one dead member, so that the end of a network partition is detected."""
    if now_ms - state.last_dead_probe_at_ms < state.settings.dead_probe_interval_ms:
        return Decided(state)
    state = replace(state, last_dead_probe_at_ms=now_ms)
    if not state.dead_ids:
        return Decided(state)
    return request_refutation(state, shuffled(tuple(state.dead_ids), state.last_probe_id)[0])


def _remove_expired_members(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Remove members that are unlisted and have been dead for ``forget_ms``."""
    decided = Decided(state)
    oldest_ms = now_ms - state.settings.forget_ms
    for instance_id in sorted(state.dead_ids):
        member = state.members[instance_id]
        if member.listed_state is None and member.changed_at_ms < oldest_ms:
            decided = chain_decisions(
                decided, apply_event, instance_id, "retention_expired", now_ms
            )
    return decided


def relay_probe(
    state: MembershipState, peer_id: str, request: ProbeRequest, now_ms: float
) -> Decided[MembershipState]:
    """Probe a member on behalf of a peer whose own probe got no answer."""
    target_id = request.target.instance_id
    if target_id not in state.members:
        return Decided(state)
    probe_id = state.last_probe_id + 1
    relayed_probes = state.relayed_probes.set(
        probe_id, RelayedProbe(peer_id, request.probe_id, now_ms)
    )
    state = replace(state, last_probe_id=probe_id, relayed_probes=relayed_probes)
    state, ping = make_ping(state, probe_id, target_id)
    return Decided(state, (SendToPeer(target_id, ping),))


def probed_neighbours(state: MembershipState) -> tuple[str, ...]:
    """Return the members that this instance probes, in the order of the ring."""
    if state.neighbours is not None:
        return state.neighbours
    probed = (
        instance_id
        for instance_id, member in state.members.items()
        if member.chart_state in PROBED_STATES
    )
    return neighbours_on_ring(state.own_update.instance_id, probed)
