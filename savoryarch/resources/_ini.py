"""Parses and formats resources in INI files.

The format is INI because the settings use it and because a resource has one level of fields. The
two lists, targets and shard maps, are easier to read as lines than as nested structures.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, fields, replace
from itertools import groupby
from typing import Any

from savoryarch.model import Declarations, Resource, ResourceKind, resource_key
from savoryarch.resources._forms import FORMS, format_scalar, make_form, make_resource
from savoryarch.resources._lines import (
    format_shard_maps,
    format_targets,
    read_shard_maps,
    read_targets,
)
from savoryarch.utils import (
    NAME,
    Finding,
    IniSection,
    Place,
    format_suggestion,
    parse_ini,
    parse_section,
    parse_value,
)

_GROUP = "group"
_GROUP_KEYS = ("slots", "connection_limit")
_LINE_READERS = {"targets": read_targets, "shard_maps": read_shard_maps}
# Stands for the value of a field that `_LINE_READERS` parse.
_PLACEHOLDER = "lines"


@dataclass(frozen=True, slots=True)
class DeclaredResource:
    """A resource and the places in a file that declare it.

    Parameters
    ----------
    resource : Resource
        The resource.
    places : mapping of str to Place
        Place of each declared field by its name, and of the section under the empty string.
    """

    resource: Resource
    places: Mapping[str, Place]


def parse_resources(
    text: str, source: str
) -> tuple[tuple[DeclaredResource, ...], tuple[Finding, ...]]:
    """Parse the resources of one INI text.

    Returns
    -------
    resources : tuple of DeclaredResource
        The resources without findings, in file order.
    findings : tuple of Finding
        All problems within single sections, with file, line and dotted path. References and
        constraints between resources are checked by ``savoryarch.configuration``.
    """
    document, findings = parse_ini(text, source)
    all_findings = list(findings)
    groups, group_findings = _read_groups(document.sections)
    all_findings += group_findings
    resources: list[DeclaredResource] = []
    for section in document.sections:
        kind_name, _, name = section.name.partition(" ")
        if kind_name == _GROUP:
            continue
        declared, problems = _read_resource(section, kind_name, name.strip(), groups)
        all_findings += problems
        if declared:
            resources.append(declared)
    return tuple(resources), tuple(all_findings)


def _read_groups(
    sections: Iterable[IniSection],
) -> tuple[dict[str, IniSection], list[Finding]]:
    """Return the ``[group NAME]`` sections by name, and a finding for each unknown key."""
    groups: dict[str, IniSection] = {}
    findings: list[Finding] = []
    for section in sections:
        kind_name, _, name = section.name.partition(" ")
        if kind_name != _GROUP:
            continue
        groups[name.strip()] = section
        findings += [
            Finding(
                entry.place,
                f"key {entry.key!r} is unknown{format_suggestion(entry.key, _GROUP_KEYS)}",
            )
            for entry in section.entries
            if entry.key not in _GROUP_KEYS
        ]
    return groups, findings


def _read_resource(
    section: IniSection, kind_name: str, name: str, groups: Mapping[str, IniSection]
) -> tuple[DeclaredResource | None, tuple[Finding, ...]]:
    kinds = tuple(kind.value for kind in ResourceKind)
    if kind_name not in kinds:
        hint = format_suggestion(kind_name, (*kinds, _GROUP))
        expected = f"[{'|'.join((*kinds, _GROUP))} NAME]"
        return None, (
            Finding(section.place, f"got section [{section.name}], expected {expected}{hint}"),
        )
    _, problem = parse_value(name, NAME)
    if problem:
        return None, (Finding(section.place, problem),)
    kind = ResourceKind(kind_name)
    section = _with_dotted_paths(section, kind, name)
    values, findings = _read_multiline_fields(section, kind)
    form, field_findings = parse_section(_merge_group(section, kind, groups), FORMS[kind])
    findings += field_findings
    if findings:
        return None, tuple(findings)
    form = replace(form, **values)
    places = {entry.key: entry.place for entry in section.entries}
    return DeclaredResource(make_resource(name, form), {"": section.place} | places), ()


def _with_dotted_paths(section: IniSection, kind: ResourceKind, name: str) -> IniSection:
    path = f"{kind.value}.{name}"
    entries = tuple(
        replace(entry, place=replace(entry.place, path=f"{path}.{entry.key}"))
        for entry in section.entries
    )
    return IniSection(section.name, replace(section.place, path=path), entries)


def _merge_group(
    section: IniSection, kind: ResourceKind, groups: Mapping[str, IniSection]
) -> IniSection:
    """Add the fields that a service inherits from its group.

    The values of multi-line fields become a placeholder, because `parse_section` reads single
    values; `_read_multiline_fields` parses the lines.
    """
    entries = [
        replace(entry, value=_PLACEHOLDER) if entry.key in _LINE_READERS else entry
        for entry in section.entries
    ]
    group = section.get(_GROUP)
    if kind is ResourceKind.SERVICE and group and group.value in groups:
        entries += [
            entry
            for entry in groups[group.value].entries
            if entry.key in _GROUP_KEYS and not section.get(entry.key)
        ]
    return IniSection(section.name, section.place, tuple(entries))


def _read_multiline_fields(
    section: IniSection, kind: ResourceKind
) -> tuple[dict[str, Any], tuple[Finding, ...]]:
    values: dict[str, Any] = {}
    findings: tuple[Finding, ...] = ()
    for item in fields(FORMS[kind]):
        entry = section.get(item.name)
        if item.name in _LINE_READERS and entry:
            values[item.name], field_findings = _LINE_READERS[item.name](entry)
            findings += field_findings
    return values, findings


def format_resources(declarations: Declarations) -> str:
    """Return INI text that `parse_resources` parses to the same resources.

    Fields that have their default value are omitted. Services of a group that have the same slots
    and connection limit get them from a ``[group NAME]`` section.
    """
    services = sorted(declarations.services.values(), key=lambda item: (item.group, item.name))
    sections: list[str] = []
    for group, members in groupby(services, key=lambda item: item.group):
        group_services = list(members)
        group_values = {(item.slots, item.connection_limit) for item in group_services}
        has_group_section = bool(group) and len(group_values) == 1
        if has_group_section:
            slots, limit = group_values.pop()
            sections.append(f"[group {group}]\nslots = {slots}\nconnection_limit = {limit}\n")
        omitted = set(_GROUP_KEYS) if has_group_section else set()
        sections += [format_resource(item, omitted) for item in group_services]
    others = (declarations.searches, declarations.routes, declarations.callers)
    for resources in others:
        sections += [format_resource(resources[name]) for name in sorted(resources)]
    return "\n".join(sections)


def format_resource(resource: Resource, omitted: Iterable[str] = ()) -> str:
    """Return one resource as an INI section, without the fields named in `omitted`."""
    key = resource_key(resource)
    form = make_form(resource)
    lines = [f"[{key.kind.value} {key.name}]"]
    for item in fields(form):
        value = getattr(form, item.name)
        if item.name in omitted or value == item.default:
            continue
        match item.name:
            case "targets":
                lines += ["targets =", *(f"    {line}" for line in format_targets(value))]
            case "shard_maps":
                lines += ["shard_maps =", *(f"    {line}" for line in format_shard_maps(value))]
            case _:
                lines.append(f"{item.name} = {format_scalar(value)}")
    return "\n".join(lines) + "\n"


def find_field_place(declared: DeclaredResource, field_name: str) -> Place:
    """Return the place of a field, or of its section if the field was not declared."""
    return declared.places.get(field_name, declared.places[""])
