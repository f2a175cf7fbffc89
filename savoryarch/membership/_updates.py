"""Applies membership updates and local observations to a member's chart, ``member.ini``."""

from collections.abc import Callable, Iterable
from math import log10
from typing import Any

from savoryarch.membership._dissemination import make_ping, refutable_updates, start_dissemination
from savoryarch.membership._state import (
    CHART,
    LIVE_STATES,
    PROBED_STATES,
    Member,
    MembershipState,
    with_member,
)
from savoryarch.model import (
    ConnectPeer,
    Count,
    Decided,
    DisconnectPeer,
    LogEvent,
    MemberStatus,
    MemberUpdate,
    PeerRestarted,
    PublishEvent,
    SendToPeer,
)
from savoryarch.utils import replace

_EVENT_BY_STATUS = {
    MemberStatus.LIVE: "live_update",
    MemberStatus.SUSPECTED: "suspected_update",
    MemberStatus.DEAD: "dead_update",
    MemberStatus.LEAVING: "leaving_update",
}


def chain_decisions(
    decided: Decided[MembershipState],
    step: Callable[..., Decided[MembershipState]],
    *arguments: Any,
) -> Decided[MembershipState]:
    """Run `step` on the decided state and append its effects to those decided so far."""
    after = step(decided.state, *arguments)
    return Decided(after.state, decided.effects + after.effects)


def apply_update(
    state: MembershipState, update: MemberUpdate, now_ms: float
) -> Decided[MembershipState]:
    """Apply a membership update if it overrides the current view of the member.

    An update may come from the member itself or from another peer. An update about this instance
    is refuted if necessary, an unknown member is added, and an outdated update that reports a live
    member as lost makes this instance disseminate the newer one.
    """
    if update.instance_id == state.own_update.instance_id:
        return _refute(state, update)
    member = state.members.get(update.instance_id)
    if member is None:
        return _add_discovered_member(state, update, now_ms)
    if not _overrides(update, member):
        return Decided(_resend_newer_update(state, update, member))
    event = _EVENT_BY_STATUS[update.status]
    effects: tuple[object, ...] = ()
    if (update.host, update.port) != (member.update.host, member.update.port):
        effects += (ConnectPeer(update.instance_id, update.host, update.port),)
    if update.incarnation > member.update.incarnation > 0:
        effects += (PublishEvent(PeerRestarted(update.instance_id, update.incarnation)),)
        effects += _report_restart(member, update)
        if update.instance_id in state.probes:
            state = replace(state, probes=state.probes.delete(update.instance_id))
    state = with_member(state, _with_update(member, update))
    return chain_decisions(Decided(state, effects), apply_event, update.instance_id, event, now_ms)


def _with_update(member: Member, update: MemberUpdate) -> Member:
    if update.status is MemberStatus.LEAVING:
        return replace(member, update=update, leaving_incarnation=update.incarnation)
    return replace(member, update=update)


def _report_restart(member: Member, update: MemberUpdate) -> tuple[object, ...]:
    """Count a restart, and log one whose earlier incarnation did not announce a planned stop.

    Of a member that was known from other peers only, it is not known whether it announced one.
    """
    earlier = member.update.incarnation
    if member.leaving_incarnation == earlier:
        return (Count("restarts", "clean"),)
    if member.last_contact_at_ms is None:
        return (Count("restarts", "unknown"),)
    fields = (
        ("peer", update.instance_id),
        ("incarnation", str(update.incarnation)),
        ("earlier_incarnation", str(earlier)),
        ("earlier_age_ms", str(update.incarnation - earlier)),
        ("state", member.chart_state),
    )
    return (Count("restarts", "unclean"), LogEvent("unclean_restart", fields))


def apply_event(
    state: MembershipState, instance_id: str, event: str, now_ms: float
) -> Decided[MembershipState]:
    """Apply an event to a member's chart and perform the actions of the transition.

    An event that the member's chart state does not accept changes nothing.
    """
    member = state.members[instance_id]
    if not CHART.has_transition(member.chart_state, event):
        return Decided(state)
    transition = CHART.step(member.chart_state, event)
    if transition.next_state != member.chart_state:
        previous_state = member.chart_state
        member = replace(member, chart_state=transition.next_state, changed_at_ms=now_ms)
        state = _update_id_sets(with_member(state, member), member, previous_state)
    decided = Decided(state)
    for action in transition.actions:
        decided = chain_decisions(decided, _perform, action, instance_id, now_ms)
    return decided


def add_members(state: MembershipState, discovered: Iterable[Member]) -> Decided[MembershipState]:
    """Add discovered members in the chart's initial state and connect to them."""
    members = state.members.mutate()
    added: list[MemberUpdate] = []
    for member in discovered:
        members[member.update.instance_id] = member
        added.append(member.update)
    if not added:
        return Decided(state)
    live = state.live_ids.union(update.instance_id for update in added)
    connect = tuple(ConnectPeer(update.instance_id, update.host, update.port) for update in added)
    return Decided(
        replace(state, members=members.finish(), live_ids=live, neighbours=None), connect
    )


def _add_discovered_member(
    state: MembershipState, update: MemberUpdate, now_ms: float
) -> Decided[MembershipState]:
    member = _with_update(Member(update, CHART.initial, now_ms), update)
    decided = add_members(state, (member,))
    event = _EVENT_BY_STATUS[update.status]
    return chain_decisions(decided, apply_event, update.instance_id, event, now_ms)


def _overrides(update: MemberUpdate, member: Member) -> bool:
    """Return whether an update replaces the current view of the member.

    An update of the same version replaces it only if its status is not live.
    """
    version = (update.incarnation, update.revision)
    known_version = (member.update.incarnation, member.update.revision)
    if update.status is MemberStatus.LIVE:
        return version > known_version
    return version >= known_version


def _resend_newer_update(
    state: MembershipState, update: MemberUpdate, member: Member
) -> MembershipState:
    """Disseminate the current view if an older update reports a live member as lost."""
    instance_id = update.instance_id
    is_lost = update.status in (MemberStatus.SUSPECTED, MemberStatus.DEAD)
    is_older = (update.incarnation, update.revision) < (
        member.update.incarnation,
        member.update.revision,
    )
    if (
        is_lost
        and is_older
        and instance_id in state.live_ids
        and instance_id not in state.remaining_sends
    ):
        return start_dissemination(state, instance_id)
    return state


def _refute(state: MembershipState, update: MemberUpdate) -> Decided[MembershipState]:
    """Raise the own revision above an update that reports this instance as suspected or dead.

    A higher incarnation means that a newer instance runs under the same id; this is only logged.
    """
    own_update = state.own_update
    if update.incarnation > own_update.incarnation:
        fields = (("incarnation", str(update.incarnation)),)
        return Decided(
            state, (Count("membership", "superseded"), LogEvent("instance_superseded", fields))
        )
    is_older = (update.incarnation, update.revision) < (own_update.incarnation, own_update.revision)
    if is_older or update.status in (MemberStatus.LIVE, MemberStatus.LEAVING):
        return Decided(state)
    state = replace(state, own_update=replace(own_update, revision=update.revision + 1))
    return Decided(state, (Count("membership", "refuted"),))


def _perform(
    state: MembershipState, action: str, instance_id: str, now_ms: float
) -> Decided[MembershipState]:
    """Perform one action of the chart for a member."""
    member = state.members[instance_id]
    match action:
        case "disseminate_unless_listed" if member.listed_state is not None:
            return Decided(state)  # every instance reads the list and counts its members as live
        case "disseminate" | "disseminate_unless_listed":
            fields = (("peer", instance_id), ("state", member.chart_state))
            effects = (Count("membership", member.chart_state), LogEvent("peer_changed", fields))
            return Decided(start_dissemination(state, instance_id), effects)
        case "start_suspicion":
            # A refutation takes longer to reach all members the more there are, as in SWIM.
            size_factor = max(1.0, log10(len(state.members) + 2))
            ends_at_ms = now_ms + state.settings.suspicion_ms * size_factor
            return Decided(with_member(state, replace(member, suspicion_ends_at_ms=ends_at_ms)))
        case "request_refutation":
            return request_refutation(state, instance_id)
        case "connect":
            update = member.update
            return Decided(state, (ConnectPeer(instance_id, update.host, update.port),))
        case "remove_member":
            return _remove_member(state, instance_id)
        case _:
            return Decided(state)


def request_refutation(state: MembershipState, instance_id: str) -> Decided[MembershipState]:
    """Send a suspected or dead member the update that says so, which it can refute.

    The ping is sent in addition to the regular probes and is not tracked as an open probe.
    """
    if not refutable_updates(state, instance_id):
        return Decided(state)
    probe_id = state.last_probe_id + 1
    state, ping = make_ping(replace(state, last_probe_id=probe_id), probe_id, instance_id)
    return Decided(state, (SendToPeer(instance_id, ping),))


def _remove_member(state: MembershipState, instance_id: str) -> Decided[MembershipState]:
    state = replace(
        state,
        members=state.members.delete(instance_id),
        probes=state.probes.delete(instance_id) if instance_id in state.probes else state.probes,
    )
    return Decided(state, (DisconnectPeer(instance_id),))


def _update_id_sets(state: MembershipState, member: Member, previous_state: str) -> MembershipState:
    """Update the sets of live, suspected and dead ids after a member changed its chart state."""
    instance_id, next_state = member.update.instance_id, member.chart_state
    if (previous_state in PROBED_STATES) != (next_state in PROBED_STATES):
        state = replace(state, neighbours=None)
    return replace(
        state,
        live_ids=_with_id(state.live_ids, instance_id, next_state in LIVE_STATES),
        suspected_ids=_with_id(state.suspected_ids, instance_id, next_state == "suspected"),
        dead_ids=_with_id(state.dead_ids, instance_id, next_state == "dead"),
    )


def _with_id(ids: frozenset[str], instance_id: str, belongs: bool) -> frozenset[str]:
    if belongs == (instance_id in ids):
        return ids
    return ids | {instance_id} if belongs else ids - {instance_id}
