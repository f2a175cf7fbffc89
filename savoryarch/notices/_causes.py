"""Which facts need a decision: those that last longer than ordinary faults do."""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from immutables import Map

from savoryarch.model import Notice
from savoryarch.notices._observe import TierObserved
from savoryarch.notices._settings import NoticesSettings

MS_PER_DAY = 86_400_000.0
MAX_FINGERPRINTS = 1_000
ALL_DOWN_SHARE = 0.5
MIN_SERVICES_FOR_SHARE = 4
ALL_DOWN_CAUSE = "services-down"


@dataclass(frozen=True, slots=True)
class Cause:
    """A cause that holds now.

    Parameters
    ----------
    notice : Notice
        What operators are told once it has lasted.
    hold_ms : float
        How long it has to last.
    """

    notice: Notice
    hold_ms: float


@dataclass(frozen=True, slots=True)
class Recurrence:
    """How often a request was quarantined within a day.

    Parameters
    ----------
    times_ms : tuple of float
        When each quarantine was first seen.
    active : bool
        Whether it was quarantined at the last look.
    """

    times_ms: tuple[float, ...] = ()
    active: bool = False


def find_causes(
    observed: TierObserved, recurrences: Map[str, Recurrence], settings: NoticesSettings
) -> Iterator[Cause]:
    """Yield every cause that holds now, whether or not it has lasted."""
    yield from _service_causes(observed, settings)
    for name in observed.services_without_connections:
        yield Cause(_connections_notice(name), settings.no_connections_ms)
    for zone in observed.zones_cut:
        yield Cause(_zone_notice(zone), settings.zone_cut_ms)
    for fingerprint, recurrence in sorted(recurrences.items()):
        if len(recurrence.times_ms) >= settings.quarantine_recurs:
            yield Cause(_quarantine_notice(fingerprint), 0.0)


def note_recurrences(
    recurrences: Map[str, Recurrence], quarantined: tuple[str, ...], now_ms: float
) -> Map[str, Recurrence]:
    """Count each quarantine once, and forget those of more than a day ago."""
    now_quarantined = set(quarantined)
    for fingerprint in quarantined:
        known = recurrences.get(fingerprint, Recurrence())
        if not known.active and len(recurrences) < MAX_FINGERPRINTS:
            known = Recurrence((*known.times_ms, now_ms), True)
            recurrences = recurrences.set(fingerprint, known)
    for fingerprint, known in list(recurrences.items()):
        recent = tuple(at_ms for at_ms in known.times_ms if now_ms - at_ms < MS_PER_DAY)
        active = fingerprint in now_quarantined
        if not recent and not active:
            recurrences = recurrences.delete(fingerprint)
        elif recent != known.times_ms or active != known.active:
            recurrences = recurrences.set(
                fingerprint, replace(known, times_ms=recent, active=active)
            )
    return recurrences


def _service_causes(observed: TierObserved, settings: NoticesSettings) -> Iterator[Cause]:
    down = observed.services_down
    total = observed.declared_services
    # Many at once have one cause between them, for example the network of this instance.
    if total >= MIN_SERVICES_FOR_SHARE and len(down) > total * ALL_DOWN_SHARE:
        yield Cause(_all_down_notice(), settings.service_down_ms)
        return
    for name in down:
        yield Cause(_service_notice(name), settings.service_down_ms)


def _all_down_notice() -> Notice:
    return Notice(
        ALL_DOWN_CAUSE,
        "most of the declared services have no live target, as seen from this instance",
        "whether this instance or the targets are at fault",
        ("replace this instance", "bring the targets back"),
    )


def _service_notice(name: str) -> Notice:
    return Notice(
        f"service-down/{name}",
        f"service {name} has no live target",
        "whether searches go on without it",
        ("bring a target back", "declare other targets", "declare a shard map without it"),
    )


def _connections_notice(name: str) -> Notice:
    return Notice(
        f"connection-limit/{name}",
        f"the connection limit of {name} leaves this instance no connection, so that what is "
        "declared over it cannot be served",
        "which limit to change",
        ("raise connection_limit", "run fewer entry instances", "declare more targets"),
    )


def _zone_notice(zone: str) -> Notice:
    return Notice(
        f"zone-cut/{zone}",
        f"availability zone {zone} is out of reach and serves on its own",
        "whether to wait for it",
        ("wait", "take the zone's instances out of the balancer"),
    )


def _quarantine_notice(fingerprint: str) -> Notice:
    return Notice(
        f"quarantine-recurs/{fingerprint}",
        f"request {fingerprint} crashes targets again each time its quarantine ends",
        "who mends it",
        ("ask the caller to stop sending it", "mend the service that crashes"),
    )
