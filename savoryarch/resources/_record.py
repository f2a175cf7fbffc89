"""Configuration records as bytes: compressed JSON, for the store and between peers."""

import zlib
from typing import Any

import msgspec
from immutables import Map

from savoryarch.model import (
    ConfigurationDelta,
    ConfigurationRecord,
    ConfigurationVersion,
    Declarations,
    DeletedResource,
    Kind,
    RecordCodec,
    Resource,
    ResourceKey,
    RevisedResource,
    resource_key,
)
from savoryarch.resources._json import resource_from_json, resource_to_json

FORMAT = 1
MAX_DECODED_BYTES = 64 * 1024 * 1024


def encode_record(record: ConfigurationRecord) -> bytes:
    """Encode the whole configuration."""
    held = record.declarations
    resources = [
        resource_to_json(resource, record.revisions[resource_key(resource)])
        for mapping in (held.services, held.searches, held.routes, held.callers)
        for resource in mapping.values()
    ]
    return _encode(
        {
            "format": FORMAT,
            "generation": record.generation,
            "floor": record.floor_generation,
            "history": [[item.generation, item.change_id] for item in record.history],
            "deleted": [[key.kind.value, key.name, at] for key, at in record.deleted.items()],
            "resources": resources,
        }
    )


def decode_record(data: bytes) -> ConfigurationRecord | None:
    """Decode the whole configuration; None if the bytes are not one."""
    value = _decode(data)
    if value is None:
        return None
    try:
        revised = [_revised(item) for item in value["resources"]]
        declarations = _declarations(value["generation"], [item.resource for item in revised])
        return ConfigurationRecord(
            declarations=declarations,
            revisions=Map({resource_key(item.resource): item.revision for item in revised}),
            deleted=Map({ResourceKey(Kind(kind), name): at for kind, name, at in value["deleted"]}),
            floor_generation=value["floor"],
            history=_versions(value["history"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


def encode_delta(delta: ConfigurationDelta) -> bytes:
    """Encode a difference between two versions."""
    return _encode(
        {
            "format": FORMAT,
            "base": [delta.base.generation, delta.base.change_id],
            "history": [[item.generation, item.change_id] for item in delta.history],
            "puts": [resource_to_json(item.resource, item.revision) for item in delta.puts],
            "deletes": [
                [item.key.kind.value, item.key.name, item.revision] for item in delta.deletes
            ],
        }
    )


def decode_delta(data: bytes) -> ConfigurationDelta | None:
    """Decode a difference; None if the bytes are not one."""
    value = _decode(data)
    if value is None:
        return None
    try:
        return ConfigurationDelta(
            base=_versions([value["base"]])[0],
            puts=tuple(_revised(item) for item in value["puts"]),
            deletes=tuple(
                DeletedResource(ResourceKey(Kind(kind), name), at)
                for kind, name, at in value["deletes"]
            ),
            history=_versions(value["history"]),
        )
    except (KeyError, TypeError, ValueError):
        return None


RECORD_CODEC = RecordCodec(encode_record, decode_record, encode_delta, decode_delta)


def _encode(value: dict[str, Any]) -> bytes:
    return zlib.compress(msgspec.json.encode(value))


def _decode(data: bytes) -> dict[str, Any] | None:
    try:
        decompressor = zlib.decompressobj()
        value = msgspec.json.decode(decompressor.decompress(data, MAX_DECODED_BYTES))
    except (zlib.error, msgspec.DecodeError):
        return None
    if not decompressor.eof:
        return None
    return value if isinstance(value, dict) and value.get("format") == FORMAT else None


def _revised(value: dict[str, Any]) -> RevisedResource:
    resource, findings = resource_from_json(Kind(value["kind"]), value["name"], value)
    if resource is None:
        raise ValueError(f"resource is not valid: {findings}")
    return RevisedResource(resource, int(value["revision"]))


def _versions(value: list[list[Any]]) -> tuple[ConfigurationVersion, ...]:
    return tuple(ConfigurationVersion(int(number), str(change)) for number, change in value)


def _declarations(generation: int, resources: list[Resource]) -> Declarations:
    by_kind: dict[Kind, dict[str, Any]] = {kind: {} for kind in Kind}
    for resource in resources:
        key = resource_key(resource)
        by_kind[key.kind][key.name] = resource
    return Declarations(
        generation=int(generation),
        services=Map(by_kind[Kind.SERVICE]),
        searches=Map(by_kind[Kind.SEARCH]),
        routes=Map(by_kind[Kind.ROUTE]),
        callers=Map(by_kind[Kind.CALLER]),
    )
