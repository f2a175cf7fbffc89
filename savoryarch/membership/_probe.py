"""The heartbeat: whom to probe, who did not answer, whose suspicion ends."""

from dataclasses import replace

from immutables import Map

from savoryarch.membership._believe import ask_to_refute, observe, then
from savoryarch.membership._ring import neighbours_on_ring, shuffled
from savoryarch.membership._spread import make_ping
from savoryarch.membership._state import (
    PROBED_STATES,
    MembershipState,
    Probe,
    RelayedProbe,
    with_member,
)
from savoryarch.model import Count, Decided, LogEvent, ProbeRequest, SendToPeer, SetTimer

TICK_TIMER = "membership/tick"


def tick(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Send one heartbeat and judge the earlier ones."""
    settings = state.settings
    decided = Decided(state, (SetTimer(TICK_TIMER, now_ms + settings.probe_interval_ms),))
    late_ms = now_ms - state.ticked_at_ms - settings.probe_interval_ms
    if late_ms > settings.pause_ms:
        decided = then(decided, _excuse_peers, late_ms)
    decided = then(decided, _with_tick, now_ms)
    for step in (_judge_probes, _end_suspicions, _probe_next, _probe_dead, _forget):
        decided = then(decided, step, now_ms)
    return decided


def _with_tick(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    oldest_ms = now_ms - 2 * state.settings.probe_timeout_ms
    relayed = state.relayed
    for probe_id, probe in state.relayed.items():
        if probe.sent_at_ms < oldest_ms:
            relayed = relayed.delete(probe_id)
    return Decided(replace(state, ticked_at_ms=now_ms, relayed=relayed))


def _excuse_peers(state: MembershipState, late_ms: float) -> Decided[MembershipState]:
    # While this instance was paused it could not hear anybody: nobody is blamed for that time.
    for instance_id in state.suspected_ids:
        member = state.members[instance_id]
        ends_at_ms = member.suspicion_ends_at_ms + late_ms
        state = with_member(state, replace(member, suspicion_ends_at_ms=ends_at_ms))
    state = replace(state, probes=Map())
    fields = (("late_ms", f"{late_ms:.0f}"),)
    return Decided(state, (Count("membership", "paused"), LogEvent("instance_paused", fields)))


def _judge_probes(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    decided = Decided(state)
    timeout_ms = state.settings.probe_timeout_ms
    for instance_id, probe in sorted(state.probes.items()):
        waited_ms = now_ms - probe.sent_at_ms
        if not probe.is_indirect and waited_ms >= timeout_ms:
            decided = then(decided, _ask_others, instance_id, probe)
        elif probe.is_indirect and waited_ms >= 2 * timeout_ms:
            decided = then(decided, _give_up, instance_id, now_ms)
    return decided


def _ask_others(state: MembershipState, instance_id: str, probe: Probe) -> Decided[MembershipState]:
    member = state.members.get(instance_id)
    if member is None:
        return Decided(replace(state, probes=state.probes.delete(instance_id)))
    state = with_member(state, replace(member, answers=False))
    state = replace(state, probes=state.probes.set(instance_id, replace(probe, is_indirect=True)))
    candidates = tuple(
        peer_id
        for peer_id in probed_neighbours(state)
        if peer_id != instance_id and peer_id not in state.probes and peer_id in state.live_ids
    )
    asked = shuffled(candidates, probe.probe_id)[: state.settings.indirect_probes]
    request = ProbeRequest(probe.probe_id, member.update)
    effects = tuple(SendToPeer(peer_id, request) for peer_id in asked)
    return Decided(state, (*effects, Count("membership", "indirect_probe")))


def _give_up(state: MembershipState, instance_id: str, now_ms: float) -> Decided[MembershipState]:
    state = replace(state, probes=state.probes.delete(instance_id))
    if instance_id not in state.members:
        return Decided(state)
    return observe(state, instance_id, "unanswered", now_ms)


def _end_suspicions(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    decided = Decided(state)
    for instance_id in sorted(state.suspected_ids):
        if now_ms >= state.members[instance_id].suspicion_ends_at_ms:
            decided = then(decided, observe, instance_id, "suspicion_ended", now_ms)
    return decided


def _probe_next(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    neighbours = probed_neighbours(state)
    state = replace(state, neighbours=neighbours)
    order = tuple(
        peer_id
        for peer_id in state.probe_order
        if peer_id in state.members and state.members[peer_id].chart_state in PROBED_STATES
    )
    if not order:
        order = shuffled(neighbours, state.last_probe_id) + _doubtful(state, now_ms)
    state = replace(state, probe_order=order[1:])
    return probe(state, order[0], now_ms) if order else Decided(state)


def probe(state: MembershipState, instance_id: str, now_ms: float) -> Decided[MembershipState]:
    """Send a heartbeat that has to be answered."""
    probe_id = state.last_probe_id + 1
    state = replace(state, last_probe_id=probe_id)
    if instance_id not in state.probes:
        probes = state.probes.set(instance_id, Probe(probe_id, now_ms))
        state = replace(state, probes=probes)
    state, ping = make_ping(state, probe_id, instance_id)
    return Decided(state, (SendToPeer(instance_id, ping),))


def _doubtful(state: MembershipState, now_ms: float) -> tuple[str, ...]:
    """Return one member that the list dropped and nobody here has heard from for long."""
    oldest_ms = now_ms - state.settings.forget_ms
    for instance_id in shuffled(tuple(state.live_ids), state.last_probe_id):
        member = state.members[instance_id]
        heard_at_ms = max(member.heard_at_ms or 0.0, member.changed_at_ms)
        if member.listed_state is None and heard_at_ms < oldest_ms:
            return (instance_id,)
    return ()


def _probe_dead(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Ask one dead member whether it lives, so that a healed partition is noticed."""
    if now_ms - state.dead_probed_at_ms < state.settings.dead_probe_interval_ms:
        return Decided(state)
    state = replace(state, dead_probed_at_ms=now_ms)
    if not state.dead_ids:
        return Decided(state)
    return ask_to_refute(state, shuffled(tuple(state.dead_ids), state.last_probe_id)[0])


def _forget(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    decided = Decided(state)
    oldest_ms = now_ms - state.settings.forget_ms
    for instance_id in sorted(state.dead_ids):
        member = state.members[instance_id]
        if member.listed_state is None and member.changed_at_ms < oldest_ms:
            decided = then(decided, observe, instance_id, "outdated", now_ms)
    return decided


def relay_probe(
    state: MembershipState, peer_id: str, request: ProbeRequest, now_ms: float
) -> Decided[MembershipState]:
    """Probe a member for a peer that gets no answer from it."""
    target_id = request.target.instance_id
    if target_id not in state.members:
        return Decided(state)
    probe_id = state.last_probe_id + 1
    relayed = state.relayed.set(probe_id, RelayedProbe(peer_id, request.probe_id, now_ms))
    state = replace(state, last_probe_id=probe_id, relayed=relayed)
    state, ping = make_ping(state, probe_id, target_id)
    return Decided(state, (SendToPeer(target_id, ping),))


def probed_neighbours(state: MembershipState) -> tuple[str, ...]:
    """Return the members that this instance probes."""
    if state.neighbours is not None:
        return state.neighbours
    probed = (
        instance_id
        for instance_id, member in state.members.items()
        if member.chart_state in PROBED_STATES
    )
    return neighbours_on_ring(state.me.instance_id, probed)
