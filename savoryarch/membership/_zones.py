"""Notices when every entry instance of an availability zone is out of reach."""

from collections import defaultdict
from dataclasses import replace

from savoryarch.membership._state import LIVE_STATES, MembershipState
from savoryarch.model import Count, Decided, LogEvent, PublishEvent, UnreachableZonesChanged


def note_zones(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Tell the other decisions when a zone becomes unreachable or reachable again.

    An instance that left, or that the list no longer shows, says nothing about its zone.
    """
    if not state.dead_ids and not state.unreachable_zones:
        return Decided(state)
    lost_at_ms: dict[str, list[float]] = defaultdict(list)
    present: set[str] = {state.me.availability_zone}
    for member in state.members.values():
        zone = member.update.availability_zone
        if member.chart_state in LIVE_STATES:
            present.add(zone)
        elif member.chart_state == "dead" and member.listed_state is not None:
            lost_at_ms[zone].append(member.changed_at_ms)
    limit_ms = now_ms - state.settings.zone_unreachable_ms
    unreachable = tuple(
        sorted(
            zone
            for zone, times_ms in lost_at_ms.items()
            if zone not in present and max(times_ms) <= limit_ms
        )
    )
    if unreachable == state.unreachable_zones:
        return Decided(state)
    effects = (
        PublishEvent(UnreachableZonesChanged(unreachable)),
        LogEvent("zones_changed", (("unreachable", ",".join(unreachable)),)),
        Count("membership", "zones_changed"),
    )
    return Decided(replace(state, unreachable_zones=unreachable), effects)
