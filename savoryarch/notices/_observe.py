"""Observes the state of the other components, from which the causes of notices are derived."""

from collections import defaultdict
from dataclasses import dataclass

from savoryarch.quarantine import QuarantineState
from savoryarch.targets import TargetsState

LIVE = "live"


@dataclass(frozen=True, slots=True)
class TierObserved:
    """Event: the state of the other components was observed.

    Parameters
    ----------
    declared_services : int
        Number of declared services.
    services_down : tuple of str
        Declared services without a live target.
    services_without_connections : tuple of str
        Groups of services, or services without a group, whose connection limit leaves no
        connection to this instance.
    zones_cut : tuple of str
        Availability zones whose entry instances are unreachable.
    quarantined : tuple of str
        Fingerprints of the requests that are currently quarantined.
    """

    declared_services: int = 0
    services_down: tuple[str, ...] = ()
    services_without_connections: tuple[str, ...] = ()
    zones_cut: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()


def observe_tier(
    targets: TargetsState,
    quarantine: QuarantineState,
    unreachable_zones: tuple[str, ...],
    now_ms: float,
) -> TierObserved:
    """Make the event from the states of the other components.

    Parameters
    ----------
    targets : TargetsState
        State of the targets component.
    quarantine : QuarantineState
        Quarantined requests.
    unreachable_zones : tuple of str
        Availability zones that the membership reports as unreachable.
    now_ms : float
        Current time on the process clock.
    """
    live_targets: dict[str, int] = defaultdict(int)
    connections: dict[str, int] = defaultdict(int)
    for record in targets.records.values():
        live_targets[record.target.service] += record.chart_state == LIVE
        connections[record.target.service] += record.max_connections
    services = sorted(targets.declared_services.values(), key=lambda item: item.name)
    return TierObserved(
        declared_services=len(services),
        services_down=tuple(item.name for item in services if not live_targets[item.name]),
        services_without_connections=tuple(
            sorted({item.group or item.name for item in services if not connections[item.name]})
        ),
        zones_cut=unreachable_zones,
        quarantined=tuple(
            sorted(
                fingerprint
                for fingerprint, record in quarantine.records.items()
                if record.quarantined_until_ms > now_ms
            )
        ),
    )
