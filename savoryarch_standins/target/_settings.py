"""Reads the settings file of the target stand-ins.

An example::

    [standin]
    host = 127.0.0.1
    seed = 1

    [group balcao]
    services = 10
    targets = 3
    slots = 2
    connection_limit = 25
    availability_zones = zone-a zone-b zone-c

    [shard_map 2]
    services = balcao-01 balcao-02

    [behaviour]
    service_median_ms = 10
"""

from dataclasses import dataclass, replace

from immutables import Map

from savoryarch.utils import (
    Finding,
    IniSection,
    IpAddress,
    Number,
    WordList,
    parse_ini,
    parse_section,
    setting,
)
from savoryarch_standins.target._model import Behaviour, TargetSpec

_NAME_PATTERN = r"[a-z0-9][a-z0-9-]*"


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Section ``[standin]``: settings of the process."""

    host: str = setting(IpAddress(), "IP address to listen on", "127.0.0.1")
    seed: int = setting(Number(0, 2**31, integer=True), "seed of the random draws", 1)


@dataclass(frozen=True, slots=True)
class GroupSettings:
    """Section ``[group NAME]``: services with equal settings and equal numbers of targets."""

    services: int = setting(Number(1, 10_000, integer=True), "number of services of the group", 1)
    targets: int = setting(Number(1, 1000, integer=True), "number of targets of each service", 3)
    slots: int = setting(Number(1, 1000, integer=True), "concurrent requests of a target", 2)
    connection_limit: int = setting(
        Number(1, 10_000, integer=True), "open connections of a target", 25
    )
    availability_zones: tuple[str, ...] = setting(
        WordList(_NAME_PATTERN, "zone-a"),
        "zones of the targets, in turn",
        ("zone-a", "zone-b", "zone-c"),
    )


@dataclass(frozen=True, slots=True)
class ShardMapSettings:
    """Section ``[shard_map VERSION]``: services of a shard map with a version above 1."""

    services: tuple[str, ...] = setting(
        WordList(_NAME_PATTERN, "balcao-01"),
        "one service for each shard, in the order of the shards",
    )


@dataclass(frozen=True, slots=True)
class TargetsSettings:
    """Settings of one process of target stand-ins."""

    standin: StandinSettings
    behaviour: Behaviour
    specs: tuple[TargetSpec, ...]


@dataclass(frozen=True, slots=True)
class SettingsResult:
    """Parsed settings and the findings; the settings are usable only if there are no findings."""

    settings: TargetsSettings
    findings: tuple[Finding, ...]


def read_settings(text: str, source: str) -> SettingsResult:
    """Parse a settings file.

    Parameters
    ----------
    text : str
        Content of the file.
    source : str
        Name of the file, for the findings.

    Returns
    -------
    SettingsResult
        The settings and all findings of the file.
    """
    document, findings = parse_ini(text, source)
    standin, behaviour = StandinSettings(), Behaviour()
    later_maps: Map[int, tuple[str, ...]] = Map()
    groups: list[tuple[str, GroupSettings]] = []
    for section in document.sections:
        kind, _, name = section.name.partition(" ")
        value, section_findings = _read_section(section, kind)
        findings += section_findings
        match value:
            case StandinSettings():
                standin = value
            case Behaviour():
                behaviour = value
            case GroupSettings():
                groups.append((name, value))
            case ShardMapSettings(services=services):
                later_maps = later_maps.set(int(name), services)
    specs = [spec for name, group in groups for spec in make_target_specs(name, group)]
    specs_with_maps = tuple(
        replace(spec, shard_maps=_find_shard_maps(spec, later_maps)) for spec in specs
    )
    return SettingsResult(TargetsSettings(standin, behaviour, specs_with_maps), findings)


def make_target_specs(name: str, group: GroupSettings) -> tuple[TargetSpec, ...]:
    """Return the targets of a group.

    Services are called ``NAME-01``, ``NAME-02`` and so on, and the targets of a service
    ``NAME-01-1``, ``NAME-01-2`` and so on. The service of a group with one service has the name of
    the group.
    """
    if group.services == 1:
        services = [name]
    else:
        services = [f"{name}-{number:02}" for number in range(1, group.services + 1)]
    zones = group.availability_zones
    return tuple(
        TargetSpec(
            target_id=f"{service}-{replica + 1}",
            service=service,
            slots=group.slots,
            connection_limit=group.connection_limit,
            availability_zone=zones[replica % len(zones)],
            shard_maps=Map({1: tuple(services)}),
        )
        for service in services
        for replica in range(group.targets)
    )


def _read_section(section: IniSection, kind: str) -> tuple[object, tuple[Finding, ...]]:
    kinds = {
        "standin": StandinSettings,
        "group": GroupSettings,
        "shard_map": ShardMapSettings,
        "behaviour": Behaviour,
    }
    if kind not in kinds:
        expected = "[standin], [group NAME], [shard_map VERSION] or [behaviour]"
        message = f"got section [{section.name}], expected {expected}"
        return None, (Finding(section.place, message),)
    return parse_section(section, kinds[kind])


def _find_shard_maps(
    spec: TargetSpec, later_maps: Map[int, tuple[str, ...]]
) -> Map[int, tuple[str, ...]]:
    """Return the shard maps for a target by version.

    A later map concerns a target if it lists its service or shares a service with its first map.
    """
    maps = spec.shard_maps
    for version, services in later_maps.items():
        if spec.service in services or set(services) & set(maps[1]):
            maps = maps.set(version, services)
    return maps
