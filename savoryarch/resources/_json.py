"""Converts resources to and from the JSON objects of the resource API."""

from collections.abc import Mapping
from dataclasses import MISSING, fields
from enum import Enum
from typing import Any

from savoryarch.model import Resource, ResourceKind, ShardMap, Target, resource_key
from savoryarch.resources._forms import FORMS, make_form, make_resource
from savoryarch.resources._lines import make_target, parse_services, parse_shard_map_version
from savoryarch.utils import (
    NAME,
    Boolean,
    Constraint,
    Finding,
    Number,
    Place,
    format_suggestion,
    parse_value,
)

JsonObject = dict[str, Any]
_METADATA_KEYS = ("kind", "name", "revision")
_TARGET_KEYS = ("target_id", "availability_zone", "host", "port")
_SHARD_MAP_KEYS = ("version", "services")


def resource_to_json(resource: Resource, revision: int) -> JsonObject:
    """Return a resource as a JSON object with all fields, including defaults."""
    key = resource_key(resource)
    form = make_form(resource)
    value: JsonObject = {"kind": key.kind.value, "name": key.name, "revision": revision}
    for item in fields(form):
        value[item.name] = _to_json(getattr(form, item.name))
    return value


def resource_from_json(
    kind: ResourceKind, name: str, value: object
) -> tuple[Resource | None, tuple[Finding, ...]]:
    """Convert the JSON object of a resource.

    Parameters
    ----------
    kind : ResourceKind
    name : str
        If ``kind`` or ``name`` is present in `value`, it must be the same.
    value : object
        Decoded JSON.

    Returns
    -------
    resource : Resource or None
        The resource; None if there are findings.
    findings : tuple of Finding
        All problems, each with its dotted path.
    """
    path = f"{kind.value}.{name}"
    if not isinstance(value, dict):
        return None, (_finding(path, f"got {_describe_type(value)}, expected an object"),)
    findings = list(_check_identity(kind, name, value, path))
    values: JsonObject = {}
    declared = {item.name: item for item in fields(FORMS[kind])}
    for field_name, raw_value in value.items():
        if field_name in _METADATA_KEYS:
            continue
        field_path = f"{path}.{field_name}"
        if field_name not in declared:
            hint = format_suggestion(field_name, tuple(declared))
            findings.append(_finding(field_path, f"field {field_name!r} is unknown{hint}"))
            continue
        item = declared[field_name]
        if raw_value == "" and item.default == "":
            continue  # An empty string means the default, and need not meet the constraint.
        constraint = item.metadata["constraint"]
        values[field_name], field_findings = _read_field(
            field_name, raw_value, constraint, field_path
        )
        findings += field_findings
    findings += [
        _finding(path, f"field {item.name!r} is missing: {item.metadata['description']}")
        for item in declared.values()
        if item.default is MISSING and item.name not in value
    ]
    if findings:
        return None, tuple(findings)
    return make_resource(name, FORMS[kind](**values)), ()


def _check_identity(
    kind: ResourceKind, name: str, value: Mapping[str, Any], path: str
) -> list[Finding]:
    _, problem = parse_value(name, NAME)
    findings = [_finding(path, problem)] if problem else []
    findings += [
        _finding(f"{path}.{key}", f"got {value[key]!r}, expected {expected!r}")
        for key, expected in (("kind", kind.value), ("name", name))
        if key in value and value[key] != expected
    ]
    return findings


def _read_field(
    name: str, raw_value: object, constraint: Constraint, path: str
) -> tuple[Any, list[Finding]]:
    match name:
        case "targets":
            return _read_list(raw_value, path, _read_target)
        case "shard_maps":
            return _read_list(raw_value, path, _read_shard_map)
        case _:
            value, problem = _read_scalar(raw_value, constraint)
            return value, [_finding(path, problem)] if problem else []


def _read_scalar(raw_value: object, constraint: Constraint) -> tuple[Any, str]:
    match constraint, raw_value:
        case Number(), bool():
            return None, "got a boolean, expected a number"
        case Number(), int() | float():
            return parse_value(str(raw_value), constraint)
        case Boolean(), bool():
            return raw_value, ""
        case Number() | Boolean(), _:
            expected = "a number" if isinstance(constraint, Number) else "true or false"
            return None, f"got {_describe_type(raw_value)}, expected {expected}"
        case _, str():
            return parse_value(raw_value, constraint)
        case _:
            return None, f"got {_describe_type(raw_value)}, expected a string"


def _read_list(raw_value: object, path: str, read: Any) -> tuple[tuple[Any, ...], list[Finding]]:
    if not isinstance(raw_value, list) or not raw_value:
        return (), [
            _finding(path, f"got {_describe_type(raw_value)}, expected an array with an element")
        ]
    values: list[Any] = []
    findings: list[Finding] = []
    for index, element in enumerate(raw_value):
        value, field_findings = read(element, f"{path}.{index}")
        findings += field_findings
        values.append(value)
    return tuple(values), findings


def _read_target(raw_value: object, path: str) -> tuple[Target | None, list[Finding]]:
    findings = _check_keys(raw_value, path, _TARGET_KEYS)
    if findings or not isinstance(raw_value, dict):
        return None, findings
    texts = [str(raw_value[key]) for key in _TARGET_KEYS]
    target, problems = make_target(*texts)
    return target, [_finding(f"{path}.{field}", problem) for field, problem in problems]


def _read_shard_map(raw_value: object, path: str) -> tuple[ShardMap | None, list[Finding]]:
    findings = _check_keys(raw_value, path, _SHARD_MAP_KEYS)
    if findings or not isinstance(raw_value, dict):
        return None, findings
    version, problem = parse_shard_map_version(str(raw_value["version"]))
    if problem:
        findings.append(_finding(f"{path}.version", problem))
    names = raw_value["services"]
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        findings.append(_finding(f"{path}.services", "expected an array of strings"))
        return None, findings
    services, problem = parse_services(" ".join(names))
    if problem:
        findings.append(_finding(f"{path}.services", problem))
    return ShardMap(version or 0, services), findings


def _check_keys(raw_value: object, path: str, keys: tuple[str, ...]) -> list[Finding]:
    if not isinstance(raw_value, dict):
        return [_finding(path, f"got {_describe_type(raw_value)}, expected an object")]
    unknown = [
        _finding(f"{path}.{key}", f"field {key!r} is unknown{format_suggestion(key, keys)}")
        for key in raw_value
        if key not in keys
    ]
    missing = [_finding(path, f"field {key!r} is missing") for key in keys if key not in raw_value]
    return unknown + missing


def _to_json(value: object) -> Any:
    match value:
        case Enum():
            return value.value
        case Target():
            return {key: getattr(value, key) for key in _TARGET_KEYS}
        case ShardMap(version=version, services=services):
            return {"version": version, "services": list(services)}
        case tuple():
            return [_to_json(item) for item in value]
        case _:
            return value


def _describe_type(value: object) -> str:
    names = {dict: "an object", list: "an array", str: "a string", type(None): "null"}
    return names.get(type(value), f"{value!r}")


def _finding(path: str, message: str) -> Finding:
    return Finding(Place("", 0, path), message)
