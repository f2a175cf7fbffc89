"""Reads the declarations of target stand-ins from INI.

::

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

_NAME = r"[a-z0-9][a-z0-9-]*"


@dataclass(frozen=True, slots=True)
class StandinSettings:
    """Section ``[standin]``."""

    host: str = setting(IpAddress(), "IP number to listen on", "127.0.0.1")
    seed: int = setting(Number(0, 2**31, integer=True), "seed of the random draws", 1)


@dataclass(frozen=True, slots=True)
class GroupSettings:
    """Section ``[group NAME]``: services declared alike, each with the same number of targets."""

    services: int = setting(Number(1, 10_000, integer=True), "services of the group", 1)
    targets: int = setting(Number(1, 1000, integer=True), "targets of each service", 3)
    slots: int = setting(Number(1, 1000, integer=True), "requests that a target runs at a time", 2)
    connection_limit: int = setting(
        Number(1, 10_000, integer=True), "connections that a target accepts", 25
    )
    availability_zones: tuple[str, ...] = setting(
        WordList(_NAME, "zone-a"), "where the targets run, in turn", ("zone-a", "zone-b", "zone-c")
    )


@dataclass(frozen=True, slots=True)
class ShardMapSettings:
    """Section ``[shard_map VERSION]``: the services of a later partitioning."""

    services: tuple[str, ...] = setting(WordList(_NAME, "balcao-01"), "one service per shard")


@dataclass(frozen=True, slots=True)
class TargetsSettings:
    """Everything that one process of target stand-ins serves."""

    standin: StandinSettings
    behaviour: Behaviour
    specs: tuple[TargetSpec, ...]


@dataclass(frozen=True, slots=True)
class SettingsResult:
    """The settings; meaningless if there are findings."""

    settings: TargetsSettings
    findings: tuple[Finding, ...]


def read_settings(text: str, source: str) -> SettingsResult:
    """Read the text of a settings file; every finding is reported."""
    document, findings = parse_ini(text, source)
    standin, behaviour = StandinSettings(), Behaviour()
    later_maps: Map[int, tuple[str, ...]] = Map()
    groups: list[tuple[str, GroupSettings]] = []
    for section in document.sections:
        kind, _, name = section.name.partition(" ")
        value, found = _read_section(section, kind)
        findings += found
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
    mapped = tuple(replace(spec, shard_maps=_find_shard_maps(spec, later_maps)) for spec in specs)
    return SettingsResult(TargetsSettings(standin, behaviour, mapped), findings)


def make_target_specs(name: str, group: GroupSettings) -> tuple[TargetSpec, ...]:
    """Make the targets of a group: service ``NAME-03``, target ``NAME-03-1``.

    A group of one service names it after itself.
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
    maps = spec.shard_maps
    for version, services in later_maps.items():
        if spec.service in services or set(services) & set(maps[1]):
            maps = maps.set(version, services)
    return maps
