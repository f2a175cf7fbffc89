"""Applies the platform's lagging list."""

from dataclasses import replace

import xxhash

from savoryarch.membership._believe import meet_listed, observe, then
from savoryarch.membership._state import CHART, Member, MembershipState, with_member
from savoryarch.model import (
    Count,
    Decided,
    InstanceRole,
    ListedInstance,
    ListedState,
    MemberStatus,
    MemberUpdate,
    SetTimer,
)

LIST_TIMER = "membership/list"
JITTER_SHARE = 0.2
FREQUENT_READERS = 4


def next_reading(state: MembershipState, now_ms: float) -> SetTimer:
    """Return the timer of the next reading.

    The more instances there are, the less often each reads, so that neither the calls on the
    platform nor the bytes of an instance grow with them. What one finds out, it spreads.
    """
    seed = f"{state.me.instance_id}/{now_ms}"
    share = 1.0 - JITTER_SHARE * (xxhash.xxh32_intdigest(seed.encode()) / 2**32)
    turns = max(1.0, (len(state.live_ids) + 1) / FREQUENT_READERS)
    return SetTimer(LIST_TIMER, now_ms + state.settings.list_interval_ms * turns * share)


def apply_list(
    state: MembershipState, instances: tuple[ListedInstance, ...], now_ms: float
) -> Decided[MembershipState]:
    """Add who is new in the list; who is missing there goes only if never heard from."""
    rows = {
        row.instance_id: row
        for row in instances
        if row.role is InstanceRole.ENTRY and not _is_me(row, state.me)
    }
    if not any(row.role is InstanceRole.ENTRY for row in instances) and state.members:
        return Decided(state, (Count("membership", "empty_list"),))
    decided = Decided(state)
    for instance_id in sorted(state.members):
        if instance_id not in rows:
            decided = then(decided, _apply_absence, instance_id, now_ms)
    newcomers = [rows[instance_id] for instance_id in sorted(set(rows) - set(state.members))]
    met = (Member(_update_of(row), CHART.initial, now_ms) for row in newcomers)
    decided = then(decided, meet_listed, met)
    for instance_id in sorted(rows):
        decided = then(decided, _apply_row, rows[instance_id], now_ms)
    return decided


def _apply_absence(
    state: MembershipState, instance_id: str, now_ms: float
) -> Decided[MembershipState]:
    member = replace(state.members[instance_id], listed_state=None)
    return observe(with_member(state, member), instance_id, "delisted", now_ms)


def _apply_row(
    state: MembershipState, row: ListedInstance, now_ms: float
) -> Decided[MembershipState]:
    member = state.members[row.instance_id]
    if member.listed_state is row.state and member.chart_state != "dead":
        return Decided(state)
    decided: Decided[MembershipState] = Decided(state)
    if member.chart_state == "dead" and _has_moved(row, member.update):
        update = replace(member.update, host=row.host, port=row.port)
        decided = Decided(with_member(state, replace(member, update=update)))
        decided = then(decided, observe, row.instance_id, "relisted", now_ms)
        member = decided.state.members[row.instance_id]
    # Only a change counts: a list that lags may still show the state of an earlier incarnation.
    is_leaving = row.state is ListedState.LEAVING and member.listed_state is not row.state
    listed = with_member(decided.state, replace(member, listed_state=row.state))
    decided = Decided(listed, decided.effects)
    if is_leaving:
        return then(decided, observe, row.instance_id, "listed_leaving", now_ms)
    is_back = row.state is ListedState.LIVE and member.listed_state is ListedState.LEAVING
    if is_back and member.update.status is not MemberStatus.LEAVING:
        return then(decided, observe, row.instance_id, "relisted", now_ms)
    return decided


def _is_me(row: ListedInstance, me: MemberUpdate) -> bool:
    # A list that lags may still show an earlier instance at the address of this one.
    return row.instance_id == me.instance_id or (row.host, row.port) == (me.host, me.port)


def _has_moved(row: ListedInstance, update: MemberUpdate) -> bool:
    return (row.host, row.port) != (update.host, update.port)


def _update_of(row: ListedInstance) -> MemberUpdate:
    return MemberUpdate(
        row.instance_id,
        row.availability_zone,
        row.host,
        row.port,
        incarnation=0,
        revision=0,
        status=MemberStatus.LIVE,
    )
