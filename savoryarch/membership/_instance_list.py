"""Applies the platform's instance list, which lags behind the running instances."""

import xxhash

from savoryarch.membership._state import CHART, Member, MembershipState, with_member
from savoryarch.membership._updates import add_members, apply_event, chain_decisions
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
from savoryarch.utils import replace

LIST_TIMER = "membership/list"
JITTER_SHARE = 0.2  # an interval is shortened by up to this share
FULL_RATE_READERS = 4  # live instances up to which each reads at the configured interval


def next_list_timer(state: MembershipState, now_ms: float) -> SetTimer:
    """Return the timer of the next reading of the instance list.

    Each instance reads less often as their number grows, so that neither the platform's calls nor
    the bytes per instance grow with it. An instance disseminates what it finds in the list.
    """
    seed = f"{state.own_update.instance_id}/{now_ms}"
    share = 1.0 - JITTER_SHARE * (xxhash.xxh32_intdigest(seed.encode()) / 2**32)
    interval_factor = max(1.0, (len(state.live_ids) + 1) / FULL_RATE_READERS)
    return SetTimer(LIST_TIMER, now_ms + state.settings.list_interval_ms * interval_factor * share)


def apply_list(
    state: MembershipState, instances: tuple[ListedInstance, ...], now_ms: float
) -> Decided[MembershipState]:
    """Add the members that are new in the list and record which ones are absent.

    A member that is absent is removed only if no update of its own was ever received. A list
    without any entry instance is counted and ignored, because the list may fail in this way.
    """
    rows = {
        row.instance_id: row
        for row in instances
        if row.role is InstanceRole.ENTRY and not _is_own_row(row, state.own_update)
    }
    if not any(row.role is InstanceRole.ENTRY for row in instances) and state.members:
        return Decided(state, (Count("membership", "empty_list"),))
    decided = Decided(state)
    for instance_id in sorted(state.members):
        if instance_id not in rows:
            decided = chain_decisions(decided, _apply_absence, instance_id, now_ms)
    new_rows = [rows[instance_id] for instance_id in sorted(set(rows) - set(state.members))]
    discovered = (Member(_make_unconfirmed_update(row), CHART.initial, now_ms) for row in new_rows)
    decided = chain_decisions(decided, add_members, discovered)
    for instance_id in sorted(rows):
        decided = chain_decisions(decided, _apply_row, rows[instance_id], now_ms)
    return decided


def _apply_absence(
    state: MembershipState, instance_id: str, now_ms: float
) -> Decided[MembershipState]:
    member = replace(state.members[instance_id], listed_state=None)
    return apply_event(with_member(state, member), instance_id, "delisted", now_ms)


def _apply_row(
    state: MembershipState, row: ListedInstance, now_ms: float
) -> Decided[MembershipState]:
    """Apply the row of a known member.

    A dead member whose row has a new address was restarted there, so it becomes listed again. A
    member that only the list showed as leaving becomes live again once the list shows it as live.
    """
    member = state.members[row.instance_id]
    if member.listed_state is row.state and member.chart_state != "dead":
        return Decided(state)
    decided: Decided[MembershipState] = Decided(state)
    if member.chart_state == "dead" and _has_new_address(row, member.update):
        update = replace(member.update, host=row.host, port=row.port)
        decided = Decided(with_member(state, replace(member, update=update)))
        decided = chain_decisions(decided, apply_event, row.instance_id, "relisted", now_ms)
        member = decided.state.members[row.instance_id]
    # Only a change of the listed state is applied, because a lagging list may still show the
    # state of an earlier incarnation.
    is_leaving = row.state is ListedState.LEAVING and member.listed_state is not row.state
    listed = with_member(decided.state, replace(member, listed_state=row.state))
    decided = Decided(listed, decided.effects)
    if is_leaving:
        return chain_decisions(decided, apply_event, row.instance_id, "listed_leaving", now_ms)
    is_live_again = row.state is ListedState.LIVE and member.listed_state is ListedState.LEAVING
    if is_live_again and member.update.status is not MemberStatus.LEAVING:
        return chain_decisions(decided, apply_event, row.instance_id, "relisted", now_ms)
    return decided


def _is_own_row(row: ListedInstance, own_update: MemberUpdate) -> bool:
    # A lagging list may still show an earlier instance at the address of this one.
    return row.instance_id == own_update.instance_id or (row.host, row.port) == (
        own_update.host,
        own_update.port,
    )


def _has_new_address(row: ListedInstance, update: MemberUpdate) -> bool:
    return (row.host, row.port) != (update.host, update.port)


def _make_unconfirmed_update(row: ListedInstance) -> MemberUpdate:
    """Return an update with incarnation 0, which every update of the member itself overrides."""
    return MemberUpdate(
        row.instance_id,
        row.availability_zone,
        row.host,
        row.port,
        incarnation=0,
        revision=0,
        status=MemberStatus.LIVE,
    )
