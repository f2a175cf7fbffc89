"""Derives the causes of notices from the observed state of the instance."""

from collections.abc import Iterator
from dataclasses import dataclass

from immutables import Map

from savoryarch.model import Notice
from savoryarch.notices._observe import TierObserved
from savoryarch.notices._settings import NoticesSettings
from savoryarch.utils import replace

MS_PER_DAY = 86_400_000.0
MAX_TRACKED_FINGERPRINTS = 1_000
# One notice replaces those of single services if more than this share of the declared services are
# down, provided that at least so many are declared.
MOST_DOWN_SHARE = 0.5
MIN_SERVICES_FOR_SHARE = 4
MOST_SERVICES_DOWN_ID = "services-down"


@dataclass(frozen=True, slots=True)
class Cause:
    """A cause that currently holds.

    Parameters
    ----------
    notice : Notice
        Notice to open once the cause has held for `hold_ms`.
    hold_ms : float
        How long the cause has to hold: longer than ordinary faults last, or 0 if no such fault
        brings it about.
    """

    notice: Notice
    hold_ms: float


@dataclass(frozen=True, slots=True)
class Recurrence:
    """Quarantines of one request within a day.

    Parameters
    ----------
    times_ms : tuple of float
        When each quarantine was first observed.
    active : bool
        Whether the request was quarantined at the last observation.
    """

    times_ms: tuple[float, ...] = ()
    active: bool = False


def find_causes(
    observed: TierObserved, recurrences: Map[str, Recurrence], settings: NoticesSettings
) -> Iterator[Cause]:
    """Yield every cause that currently holds, however long it has held."""
    yield from _service_causes(observed, settings)
    for name in observed.services_without_connections:
        yield Cause(_no_connections_notice(name), settings.no_connections_ms)
    for zone in observed.zones_cut:
        yield Cause(_zone_cut_notice(zone), settings.zone_cut_ms)
    for fingerprint, recurrence in sorted(recurrences.items()):
        if len(recurrence.times_ms) >= settings.quarantine_recurs:
            yield Cause(_quarantine_recurs_notice(fingerprint), 0.0)


def update_recurrences(
    recurrences: Map[str, Recurrence], quarantined: tuple[str, ...], now_ms: float
) -> Map[str, Recurrence]:
    """Record quarantines that began since the last observation and remove those older than a day.

    At most `MAX_TRACKED_FINGERPRINTS` requests are tracked.
    """
    now_quarantined = set(quarantined)
    for fingerprint in quarantined:
        recurrence = recurrences.get(fingerprint, Recurrence())
        if not recurrence.active and len(recurrences) < MAX_TRACKED_FINGERPRINTS:
            recurrence = Recurrence((*recurrence.times_ms, now_ms), True)
            recurrences = recurrences.set(fingerprint, recurrence)
    for fingerprint, recurrence in list(recurrences.items()):
        times_within_day_ms = tuple(
            at_ms for at_ms in recurrence.times_ms if now_ms - at_ms < MS_PER_DAY
        )
        active = fingerprint in now_quarantined
        if not times_within_day_ms and not active:
            recurrences = recurrences.delete(fingerprint)
        elif times_within_day_ms != recurrence.times_ms or active != recurrence.active:
            recurrences = recurrences.set(
                fingerprint, replace(recurrence, times_ms=times_within_day_ms, active=active)
            )
    return recurrences


def _service_causes(observed: TierObserved, settings: NoticesSettings) -> Iterator[Cause]:
    down = observed.services_down
    total = observed.declared_services
    # Failures of many services at once have a common cause, for example this instance's network.
    if total >= MIN_SERVICES_FOR_SHARE and len(down) > total * MOST_DOWN_SHARE:
        yield Cause(_most_services_down_notice(), settings.service_down_ms)
        return
    for name in down:
        yield Cause(_service_down_notice(name), settings.service_down_ms)


def _most_services_down_notice() -> Notice:
    return Notice(
        MOST_SERVICES_DOWN_ID,
        "most of the declared services have no live target, as seen from this instance",
        "whether this instance or the targets are at fault",
        ("replace this instance", "bring the targets back"),
    )


def _service_down_notice(name: str) -> Notice:
    return Notice(
        f"service-down/{name}",
        f"service {name} has no live target",
        "whether searches go on without it",
        ("bring a target back", "declare other targets", "declare a shard map without it"),
    )


def _no_connections_notice(name: str) -> Notice:
    return Notice(
        f"connection-limit/{name}",
        f"the connection limit of {name} leaves this instance no connection, so that what is "
        "declared over it cannot be served",
        "which limit to change",
        ("raise connection_limit", "run fewer entry instances", "declare more targets"),
    )


def _zone_cut_notice(zone: str) -> Notice:
    return Notice(
        f"zone-cut/{zone}",
        f"availability zone {zone} is out of reach and serves on its own",
        "whether to wait for it",
        ("wait", "take the zone's instances out of the balancer"),
    )


def _quarantine_recurs_notice(fingerprint: str) -> Notice:
    return Notice(
        f"quarantine-recurs/{fingerprint}",
        f"request {fingerprint} crashes targets again each time its quarantine ends",
        "who mends it",
        ("ask the caller to stop sending it", "mend the service that crashes"),
    )
