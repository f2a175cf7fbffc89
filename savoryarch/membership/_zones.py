"""Detects availability zones whose entry instances are all unreachable."""

from collections import defaultdict

from savoryarch.membership._state import LIVE_STATES, MembershipState
from savoryarch.model import Count, Decided, LogEvent, PublishEvent, UnreachableZonesChanged
from savoryarch.utils import replace


def detect_unreachable_zones(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Publish `UnreachableZonesChanged` when a zone becomes unreachable or reachable again.

    A zone is unreachable once none of its instances is live and the last one has been dead for
    ``zone_unreachable_ms``. Instances that announced their leaving or are no longer listed are
    ignored, because their absence is expected.
    """
    if not state.dead_ids and not state.unreachable_zones:
        return Decided(state)
    dead_since_ms: dict[str, list[float]] = defaultdict(list)
    zones_with_live: set[str] = {state.own_update.availability_zone}
    for member in state.members.values():
        zone = member.update.availability_zone
        if member.chart_state in LIVE_STATES:
            zones_with_live.add(zone)
        elif member.chart_state == "dead" and member.listed_state is not None:
            dead_since_ms[zone].append(member.changed_at_ms)
    latest_ms = now_ms - state.settings.zone_unreachable_ms
    unreachable = tuple(
        sorted(
            zone
            for zone, times_ms in dead_since_ms.items()
            if zone not in zones_with_live and max(times_ms) <= latest_ms
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
