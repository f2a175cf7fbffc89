"""Encodes configuration records and deltas as compressed JSON, for the store and for peers.

Decoding checks types only: the constraints of resources were checked before the record was
committed, and checking them again for thousands of targets would block the event loop.
"""

import zlib
from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from immutables import Map
from msgspec import DecodeError, Struct, json

from savoryarch.model import (
    Caller,
    ConfigurationDelta,
    ConfigurationRecord,
    ConfigurationVersion,
    Declarations,
    DeletedResource,
    KeyFromField,
    KeyFromHeader,
    Priority,
    RecordCodec,
    ResourceKey,
    ResourceKind,
    RevisedResource,
    Route,
    Search,
    Service,
    resource_key,
)

# Version of the encoding; other versions are not decoded.
FORMAT = 1
# Limit of the decompressed size. Larger records and deltas are not decoded.
MAX_DECODED_BYTES = 64 * 1024 * 1024
T = TypeVar("T")


class _Revised(Struct, array_like=True):
    revision: int


class _RevisedService(_Revised):
    resource: Service


class _RevisedSearch(_Revised):
    resource: Search


class _RevisedCaller(_Revised):
    resource: Caller


class _StoredRoute(Struct):
    """A `Route` with one field for each kind of idempotency key; the other one is None."""

    name: str
    service: str
    deadline_ms: float
    idempotent: bool
    header: str | None
    field_path: str | None
    priority: Priority


class _RevisedRoute(_Revised):
    resource: _StoredRoute


class _Deleted(Struct, array_like=True):
    kind: ResourceKind
    name: str
    revision: int


class _Version(Struct, array_like=True):
    generation: int
    change_id: str


class _Resources(Struct):
    services: list[_RevisedService]
    searches: list[_RevisedSearch]
    routes: list[_RevisedRoute]
    callers: list[_RevisedCaller]


class _StoredRecord(Struct):
    format: int
    generation: int
    floor: int
    history: list[_Version]
    deleted: list[_Deleted]
    resources: _Resources


class _StoredDelta(Struct):
    format: int
    base: _Version
    history: list[_Version]
    deleted: list[_Deleted]
    resources: _Resources


_RECORD_DECODER = json.Decoder(_StoredRecord)
_DELTA_DECODER = json.Decoder(_StoredDelta)


def encode_record(record: ConfigurationRecord) -> bytes:
    """Encode a complete configuration record."""
    declarations = record.declarations
    mappings: tuple[Map[str, Any], ...] = (
        declarations.services,
        declarations.searches,
        declarations.routes,
        declarations.callers,
    )
    revised = [
        RevisedResource(resource, record.revisions[resource_key(resource)])
        for mapping in mappings
        for _, resource in sorted(mapping.items())
    ]
    deleted = [_Deleted(key.kind, key.name, revision) for key, revision in record.deleted.items()]
    return _encode(
        _StoredRecord(
            format=FORMAT,
            generation=record.generation,
            floor=record.compacted_generation,
            history=_pack_versions(record.history),
            deleted=deleted,
            resources=_pack_resources(revised),
        )
    )


def decode_record(data: bytes) -> ConfigurationRecord | None:
    """Decode a configuration record; return None for malformed bytes or another format."""
    stored = _decode(data, _RECORD_DECODER.decode)
    if stored is None or stored.format != FORMAT:
        return None
    revised = _unpack_resources(stored.resources)
    return ConfigurationRecord(
        declarations=_make_declarations(stored.generation, revised),
        revisions=Map({resource_key(item.resource): item.revision for item in revised}),
        deleted=Map({ResourceKey(item.kind, item.name): item.revision for item in stored.deleted}),
        compacted_generation=stored.floor,
        history=_unpack_versions(stored.history),
    )


def encode_delta(delta: ConfigurationDelta) -> bytes:
    """Encode a delta between two versions."""
    return _encode(
        _StoredDelta(
            format=FORMAT,
            base=_pack_versions([delta.base])[0],
            history=_pack_versions(delta.history),
            deleted=[
                _Deleted(item.key.kind, item.key.name, item.revision) for item in delta.deletes
            ],
            resources=_pack_resources(delta.puts),
        )
    )


def decode_delta(data: bytes) -> ConfigurationDelta | None:
    """Decode a delta; return None for malformed bytes or another format."""
    stored = _decode(data, _DELTA_DECODER.decode)
    if stored is None or stored.format != FORMAT or not stored.history:
        return None
    return ConfigurationDelta(
        base=_unpack_versions([stored.base])[0],
        puts=tuple(_unpack_resources(stored.resources)),
        deletes=tuple(
            DeletedResource(ResourceKey(item.kind, item.name), item.revision)
            for item in stored.deleted
        ),
        history=_unpack_versions(stored.history),
    )


RECORD_CODEC = RecordCodec(encode_record, decode_record, encode_delta, decode_delta)


def _encode(stored: Struct) -> bytes:
    return zlib.compress(json.encode(stored))


def _decode(data: bytes, decode: Callable[[bytes], T]) -> T | None:
    """Return the decompressed and decoded data; None if malformed, truncated or too large."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_DECODED_BYTES)
        return decode(text) if decompressor.eof else None
    except (zlib.error, DecodeError, UnicodeDecodeError, RecursionError):
        return None


def _pack_resources(revised: Iterable[RevisedResource]) -> _Resources:
    stored = _Resources([], [], [], [])
    for item in revised:
        match item.resource:
            case Service() as service:
                stored.services.append(_RevisedService(item.revision, service))
            case Search() as search:
                stored.searches.append(_RevisedSearch(item.revision, search))
            case Route() as route:
                stored.routes.append(_RevisedRoute(item.revision, _pack_route(route)))
            case Caller() as caller:
                stored.callers.append(_RevisedCaller(item.revision, caller))
    return stored


def _unpack_resources(stored: _Resources) -> list[RevisedResource]:
    services_and_searches: tuple[Any, ...] = (*stored.services, *stored.searches)
    return [
        *(RevisedResource(item.resource, item.revision) for item in services_and_searches),
        *(RevisedResource(_unpack_route(item.resource), item.revision) for item in stored.routes),
        *(RevisedResource(item.resource, item.revision) for item in stored.callers),
    ]


def _pack_route(route: Route) -> _StoredRoute:
    header = route.key.header if isinstance(route.key, KeyFromHeader) else None
    field_path = route.key.field_path if isinstance(route.key, KeyFromField) else None
    return _StoredRoute(
        name=route.name,
        service=route.service,
        deadline_ms=route.deadline_ms,
        idempotent=route.idempotent,
        header=header,
        field_path=field_path,
        priority=route.priority,
    )


def _unpack_route(stored: _StoredRoute) -> Route:
    if stored.field_path is not None:
        key: KeyFromField | KeyFromHeader = KeyFromField(stored.field_path)
    else:
        key = KeyFromHeader(stored.header or "")
    return Route(
        name=stored.name,
        service=stored.service,
        deadline_ms=stored.deadline_ms,
        idempotent=stored.idempotent,
        key=key,
        priority=stored.priority,
    )


def _pack_versions(versions: Iterable[ConfigurationVersion]) -> list[_Version]:
    return [_Version(item.generation, item.change_id) for item in versions]


def _unpack_versions(stored: Iterable[_Version]) -> tuple[ConfigurationVersion, ...]:
    return tuple(ConfigurationVersion(item.generation, item.change_id) for item in stored)


def _make_declarations(generation: int, revised: Iterable[RevisedResource]) -> Declarations:
    by_kind: dict[ResourceKind, dict[str, Any]] = {kind: {} for kind in ResourceKind}
    for item in revised:
        key = resource_key(item.resource)
        by_kind[key.kind][key.name] = item.resource
    return Declarations(
        generation=generation,
        services=Map(by_kind[ResourceKind.SERVICE]),
        searches=Map(by_kind[ResourceKind.SEARCH]),
        routes=Map(by_kind[ResourceKind.ROUTE]),
        callers=Map(by_kind[ResourceKind.CALLER]),
    )
