"""Parses and formats targets and shard maps, which are INI values with one entry per line."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

from savoryarch.model import ShardMap, Target
from savoryarch.resources._forms import TARGET_ID
from savoryarch.utils import NAME, PORT, Finding, IniEntry, IpAddress, Place, parse_value

ZONE = NAME
_SHARD_MAP_LINE = re.compile(r"^(?P<version>[^:\s]+)\s*:\s*(?P<services>.*)$")
MAX_SHARD_MAP_VERSION = 2**31


@dataclass(frozen=True, slots=True)
class _Line:
    text: str
    place: Place


def read_targets(entry: IniEntry) -> tuple[tuple[Target, ...], tuple[Finding, ...]]:
    """Parse ``TARGET_ID AVAILABILITY_ZONE HOST:PORT`` lines into targets with an empty service."""
    targets: list[Target] = []
    findings: list[Finding] = []
    for line in _split_lines(entry):
        words = line.text.split()
        if len(words) != 3 or ":" not in words[2]:
            findings.append(
                Finding(line.place, f"got {line.text!r}, expected TARGET_ID ZONE HOST:PORT")
            )
            continue
        host, _, port = words[2].rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        target, problems = make_target(words[0], words[1], host, port)
        findings += [Finding(line.place, problem) for _, problem in problems]
        if target:
            targets.append(target)
    if not targets and not findings:
        findings.append(Finding(entry.place, "got no target, expected at least one"))
    return tuple(targets), tuple(findings)


def make_target(
    target_id: str, zone: str, host: str, port: str
) -> tuple[Target | None, tuple[tuple[str, str], ...]]:
    """Return a target made from texts, or None and a (field, problem) pair per invalid text."""
    checks = (
        ("target_id", target_id, TARGET_ID),
        ("availability_zone", zone, ZONE),
        ("host", host, IpAddress()),
        ("port", port, PORT),
    )
    parsed = [(name, *parse_value(text, constraint)) for name, text, constraint in checks]
    problems = tuple((name, problem) for name, _, problem in parsed if problem)
    if problems:
        return None, problems
    values = [value for _, value, _ in parsed]
    return Target(values[0], "", values[1], values[2], values[3]), ()


def read_shard_maps(entry: IniEntry) -> tuple[tuple[ShardMap, ...], tuple[Finding, ...]]:
    """Parse ``VERSION: SERVICE SERVICE ...``; a line without a version extends the last map."""
    maps: list[ShardMap] = []
    findings: list[Finding] = []
    for line in _split_lines(entry):
        if matched := _SHARD_MAP_LINE.match(line.text):
            version, problem = parse_shard_map_version(matched["version"])
            if problem:
                findings.append(Finding(line.place, problem))
            maps.append(ShardMap(version or 0, ()))
            words = matched["services"]
        else:
            words = line.text
        if not maps:
            findings.append(Finding(line.place, f"got {line.text!r}, expected 'VERSION: SERVICE'"))
            continue
        services, problem = parse_services(words)
        if problem:
            findings.append(Finding(line.place, problem))
        maps[-1] = ShardMap(maps[-1].version, maps[-1].services + services)
    if not maps and not findings:
        findings.append(Finding(entry.place, "got no shard map, expected at least one"))
    return tuple(maps), tuple(findings)


def parse_shard_map_version(text: str) -> tuple[int | None, str]:
    """Return the version of a shard map, or None and the problem."""
    if text.isascii() and text.isdigit() and 1 <= int(text) <= MAX_SHARD_MAP_VERSION:
        return int(text), ""
    return None, f"got {text!r}, expected a shard map version, a whole number from 1"


def parse_services(text: str) -> tuple[tuple[str, ...], str]:
    """Return service names separated by white space or commas, and the problem if any.

    An empty text has no names and no problem.
    """
    words = tuple(text.replace(",", " ").split())
    invalid = [word for word in words if not re.fullmatch(NAME.pattern, word)]
    if invalid:
        return (), f"got {' '.join(invalid)!r}, expected names of services such as {NAME.example!r}"
    return words, ""


def format_targets(targets: Iterable[Target]) -> list[str]:
    """Return one line for each target, as `read_targets` parses it."""
    return [
        f"{item.target_id} {item.availability_zone} {_format_address(item)}" for item in targets
    ]


def format_shard_maps(shard_maps: Iterable[ShardMap]) -> list[str]:
    """Return one line for each shard map, as `read_shard_maps` parses it."""
    return [f"{item.version}: {' '.join(item.services)}" for item in shard_maps]


def _format_address(target: Target) -> str:
    host = f"[{target.host}]" if ":" in target.host else target.host
    return f"{host}:{target.port}"


def _split_lines(entry: IniEntry) -> list[_Line]:
    return [
        _Line(
            text.strip(),
            Place(entry.place.source, entry.place.line + offset, entry.place.path),
        )
        for offset, text in enumerate(entry.value.split("\n"))
        if text.strip()
    ]
