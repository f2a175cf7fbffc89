"""Applies statements and observations about a member, along the chart ``member.ini``."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from math import log10
from typing import Any

from savoryarch.membership._spread import belief_about, make_ping, start_spreading
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

_EVENT_OF_STATUS = {
    MemberStatus.LIVE: "stated_live",
    MemberStatus.SUSPECTED: "stated_suspected",
    MemberStatus.DEAD: "stated_dead",
    MemberStatus.LEAVING: "stated_leaving",
}


def then(
    decided: Decided[MembershipState],
    step: Callable[..., Decided[MembershipState]],
    *arguments: Any,
) -> Decided[MembershipState]:
    """Take a further step from the state that was decided; the effects add up."""
    after = step(decided.state, *arguments)
    return Decided(after.state, decided.effects + after.effects)


def believe(
    state: MembershipState, update: MemberUpdate, now_ms: float
) -> Decided[MembershipState]:
    """Apply a statement, whoever made it, if it is newer than what is known."""
    if update.instance_id == state.me.instance_id:
        return _refute(state, update)
    member = state.members.get(update.instance_id)
    if member is None:
        return _meet(state, update, now_ms)
    if not _overrides(update, member):
        return Decided(_correct(state, update, member))
    event = _EVENT_OF_STATUS[update.status]
    effects: tuple[object, ...] = ()
    if (update.host, update.port) != (member.update.host, member.update.port):
        effects += (ConnectPeer(update.instance_id, update.host, update.port),)
    if update.incarnation > member.update.incarnation > 0:
        effects += (PublishEvent(PeerRestarted(update.instance_id, update.incarnation)),)
        if update.instance_id in state.probes:
            state = replace(state, probes=state.probes.delete(update.instance_id))
    state = with_member(state, replace(member, update=update))
    return then(Decided(state, effects), observe, update.instance_id, event, now_ms)


def observe(
    state: MembershipState, instance_id: str, event: str, now_ms: float
) -> Decided[MembershipState]:
    """Step the chart of a member; an event that its state does not accept changes nothing."""
    member = state.members[instance_id]
    if not CHART.accepts(member.chart_state, event):
        return Decided(state)
    transition = CHART.step(member.chart_state, event)
    if transition.next_state != member.chart_state:
        was_in = member.chart_state
        member = replace(member, chart_state=transition.next_state, changed_at_ms=now_ms)
        state = _with_sets(with_member(state, member), member, was_in)
    decided = Decided(state)
    for action in transition.actions:
        decided = then(decided, _perform, action, instance_id, now_ms)
    return decided


def meet_listed(state: MembershipState, met: Iterable[Member]) -> Decided[MembershipState]:
    """Add members that are known from the list only."""
    members = state.members.mutate()
    added: list[MemberUpdate] = []
    for member in met:
        members[member.update.instance_id] = member
        added.append(member.update)
    if not added:
        return Decided(state)
    live = state.live_ids.union(update.instance_id for update in added)
    connect = tuple(ConnectPeer(update.instance_id, update.host, update.port) for update in added)
    return Decided(
        replace(state, members=members.finish(), live_ids=live, neighbours=None), connect
    )


def _meet(state: MembershipState, update: MemberUpdate, now_ms: float) -> Decided[MembershipState]:
    decided = meet_listed(state, (Member(update, CHART.initial, now_ms),))
    event = _EVENT_OF_STATUS[update.status]
    return then(decided, observe, update.instance_id, event, now_ms)


def _overrides(update: MemberUpdate, member: Member) -> bool:
    stated = (update.incarnation, update.revision)
    known = (member.update.incarnation, member.update.revision)
    if update.status is MemberStatus.LIVE:
        return stated > known
    return stated >= known


def _correct(state: MembershipState, update: MemberUpdate, member: Member) -> MembershipState:
    """Spread what is newer than a statement that holds a live member for lost."""
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
        and instance_id not in state.spreading
    ):
        return start_spreading(state, instance_id)
    return state


def _refute(state: MembershipState, update: MemberUpdate) -> Decided[MembershipState]:
    me = state.me
    if update.incarnation > me.incarnation:
        fields = (("incarnation", str(update.incarnation)),)
        return Decided(
            state, (Count("membership", "superseded"), LogEvent("instance_superseded", fields))
        )
    is_older = (update.incarnation, update.revision) < (me.incarnation, me.revision)
    if is_older or update.status in (MemberStatus.LIVE, MemberStatus.LEAVING):
        return Decided(state)
    state = replace(state, me=replace(me, revision=update.revision + 1))
    return Decided(state, (Count("membership", "refuted"),))


def _perform(
    state: MembershipState, action: str, instance_id: str, now_ms: float
) -> Decided[MembershipState]:
    member = state.members[instance_id]
    match action:
        case "spread_unless_listed" if member.listed_state is not None:
            return Decided(state)  # others know it from the list, too, and take it to be live
        case "spread" | "spread_unless_listed":
            fields = (("peer", instance_id), ("state", member.chart_state))
            effects = (Count("membership", member.chart_state), LogEvent("peer_changed", fields))
            return Decided(start_spreading(state, instance_id), effects)
        case "start_suspicion":
            growth = max(1.0, log10(len(state.members) + 2))
            ends_at_ms = now_ms + state.settings.suspicion_ms * growth
            return Decided(with_member(state, replace(member, suspicion_ends_at_ms=ends_at_ms)))
        case "ask_itself":
            return ask_to_refute(state, instance_id)
        case "connect":
            update = member.update
            return Decided(state, (ConnectPeer(instance_id, update.host, update.port),))
        case "drop":
            return _drop(state, instance_id)
        case _:
            return Decided(state)


def ask_to_refute(state: MembershipState, instance_id: str) -> Decided[MembershipState]:
    """Tell a member what is wrongly or rightly believed of it, apart from the regular probes."""
    if not belief_about(state, instance_id):
        return Decided(state)
    probe_id = state.last_probe_id + 1
    state, ping = make_ping(replace(state, last_probe_id=probe_id), probe_id, instance_id)
    return Decided(state, (SendToPeer(instance_id, ping),))


def _drop(state: MembershipState, instance_id: str) -> Decided[MembershipState]:
    state = replace(
        state,
        members=state.members.delete(instance_id),
        probes=state.probes.delete(instance_id) if instance_id in state.probes else state.probes,
    )
    return Decided(state, (DisconnectPeer(instance_id),))


def _with_sets(state: MembershipState, member: Member, was_in: str) -> MembershipState:
    instance_id, is_in = member.update.instance_id, member.chart_state
    if (was_in in PROBED_STATES) != (is_in in PROBED_STATES):
        state = replace(state, neighbours=None)
    return replace(
        state,
        live_ids=_with_id(state.live_ids, instance_id, is_in in LIVE_STATES),
        suspected_ids=_with_id(state.suspected_ids, instance_id, is_in == "suspected"),
        dead_ids=_with_id(state.dead_ids, instance_id, is_in == "dead"),
    )


def _with_id(ids: frozenset[str], instance_id: str, is_in: bool) -> frozenset[str]:
    if is_in == (instance_id in ids):
        return ids
    return ids | {instance_id} if is_in else ids - {instance_id}
