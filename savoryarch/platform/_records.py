"""Decodes the entries of the store that operators, targets and entry instances write."""

from ipaddress import IPv4Address
from typing import Annotated

import msgspec
from immutables import Map

from savoryarch.discovery import MalformedEntry, StoreEntry, StoreEntryCodec, UnrelatedEntry
from savoryarch.model import Target
from savoryarch.model.forwarding import (
    Destination,
    ForwardedRoute,
    ForwardingTable,
    FrontLimits,
    RegisteredInstance,
    RegisteredTarget,
    ToService,
    ToShards,
    ToSplit,
    WeightedService,
)
from savoryarch.platform._wire import make_target_id

CONFIGURATION_KEY = "op/config"
TARGETS_PREFIX = "servers/"
DEFAULT_MAX_ATTEMPTS = 2
_READY = "ready"
_DRAINING = "draining"
_MAX_PORT = 65_535
_MAX_NAME_CHARACTERS = 200  # the store's limit on the length of a key
# Above any real number of slots or connections, and small enough to calculate with.
_MAX_COUNT = 1_000_000
_MAX_INT64 = 2**63 - 1
_MAX_MS = 86_400_000.0  # one day

# Other writers may leave entries with numbers of any size; these types reject those out of range.
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_CHARACTERS)]
_Host = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,253}$")]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
_PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]
_ByteCount = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
_Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
_UnixMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
_Sequence = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
_Version = Annotated[int, msgspec.Meta(ge=-_MAX_INT64, le=_MAX_INT64)]
_DurationMs = Annotated[float, msgspec.Meta(ge=0.0, le=_MAX_MS)]
_Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]


class _SplitPart(msgspec.Struct, rename="kebab"):
    service: str
    weight: Annotated[float, msgspec.Meta(ge=0.0, le=float(_MAX_COUNT))]


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    # "idempotent"; a route with any other type is treated as not idempotent.
    type: str
    timeout_ms: _DurationMs
    # The latency objective of a request (service level objective).
    slo_ms: _DurationMs = 1000.0
    priority: _Count = 0
    max_attempts: _Count = DEFAULT_MAX_ATTEMPTS
    service: str | None = None
    split: tuple[_SplitPart, ...] = ()
    # The shards of a search, one service each.
    gather: tuple[str, ...] = ()
    # Number of records in the answer to a search.
    top_k: _Count = 0
    # Least share of the shards, from 0 to 1, that an answer to a search needs.
    min_coverage: _Share = 0.0


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_conns: _Count


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: _ByteCount
    max_body_bytes: _ByteCount
    header_timeout_ms: _DurationMs
    idle_timeout_ms: _DurationMs


class _Configuration(msgspec.Struct, rename="kebab"):
    version: _Version
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None


class _TargetRegistration(msgspec.Struct, rename="kebab"):
    service: _Name
    address: str
    zone: _Name
    slots: _PositiveCount
    state: str
    # Start of the target in Unix milliseconds; a new start under the same name is a new target.
    born: _UnixMs = 0
    # Number of the registration since that start.
    sequence: _Sequence = 0


class _InstanceRegistration(msgspec.Struct):
    instance_id: _Name
    availability_zone: _Name
    host: _Host
    port: _Port


def make_entry_codec(instances_prefix: str) -> StoreEntryCodec:
    """Make the codec of the store's entries.

    Parameters
    ----------
    instances_prefix : str
        Prefix of the keys under which entry instances register.

    Returns
    -------
    codec : StoreEntryCodec
        Decodes an entry by its key: a malformed value gives `MalformedEntry`, and a key of
        another kind `UnrelatedEntry`. Encodes the registration of an entry instance.
    """

    def decode(key: str, value: bytes) -> StoreEntry:
        try:
            if key == CONFIGURATION_KEY:
                return decode_table(value)
            if key.startswith(TARGETS_PREFIX):
                return decode_target(key.removeprefix(TARGETS_PREFIX), value)
            if key.startswith(instances_prefix):
                return decode_instance(value)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            return MalformedEntry(str(error))
        return UnrelatedEntry()

    return StoreEntryCodec(decode, encode_instance)


def encode_instance(instance: RegisteredInstance) -> bytes:
    """Return the value under which an entry instance registers, as JSON."""
    registration = _InstanceRegistration(
        instance.instance_id, instance.availability_zone, instance.host, instance.port
    )
    return msgspec.json.encode(registration)


def decode_instance(value: bytes) -> RegisteredInstance:
    """Decode the registration of an entry instance.

    Raises
    ------
    ValueError
        If the value is not JSON, lacks a field, or has a field of another type or out of range.
        ``msgspec.DecodeError`` is such an error.
    RecursionError
        If the value is nested too deeply.
    """
    registration = msgspec.json.decode(value, type=_InstanceRegistration)
    return RegisteredInstance(
        registration.instance_id,
        registration.availability_zone,
        registration.host,
        registration.port,
    )


def decode_table(value: bytes) -> ForwardingTable:
    """Decode the operator's configuration, which defines the forwarding table.

    Raises
    ------
    ValueError
        If the value is not JSON, lacks a field, has a field of another type or out of range, or
        has a route without a service. ``msgspec.DecodeError`` is such an error.
    RecursionError
        If the value is nested too deeply.
    """
    configuration = msgspec.json.decode(value, type=_Configuration)
    limits = FrontLimits()
    if configuration.limits is not None:
        limits = FrontLimits(
            configuration.limits.max_header_bytes,
            configuration.limits.max_body_bytes,
            configuration.limits.header_timeout_ms,
            configuration.limits.idle_timeout_ms,
        )
    return ForwardingTable(
        version=configuration.version,
        routes=tuple(_make_route(route) for route in configuration.routes),
        connection_limits=Map(
            {service.name: service.max_conns for service in configuration.services}
        ),
        limits=limits,
    )


def _make_route(route: _Route) -> ForwardedRoute:
    return ForwardedRoute(
        name=route.name,
        host=route.host.lower(),
        path_prefix=route.path_prefix,
        destination=_make_destination(route),
        idempotent=route.type == "idempotent",
        timeout_ms=route.timeout_ms,
        objective_ms=route.slo_ms,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
    )


def _make_destination(route: _Route) -> Destination:
    if route.gather:
        return ToShards(route.gather, route.top_k, route.min_coverage)
    if route.split:
        return ToSplit(tuple(WeightedService(part.service, part.weight) for part in route.split))
    if route.service is None:
        raise ValueError(f"route {route.name!r} names no service")
    return ToService(route.service)


def decode_target(name: str, value: bytes) -> RegisteredTarget:
    """Decode the registration of a target.

    Parameters
    ----------
    name : str
        Name that the target registered with; the key without `TARGETS_PREFIX`.
    value : bytes
        Value of the entry.

    Raises
    ------
    ValueError
        If the value is not JSON, lacks a field, has a field of another type or out of range, an
        address that is not an IPv4 address and a port, an unknown state, or a name that a header
        cannot carry. ``msgspec.DecodeError`` is such an error.
    RecursionError
        If the value is nested too deeply.
    """
    # The name is sent in a header, where a line break would start another header.
    if not (name.isascii() and name.isprintable()) or " " in name:
        raise ValueError(f"got target name {name!r}, expected printable ASCII without spaces")
    registration = msgspec.json.decode(value, type=_TargetRegistration)
    host, port = _split_address(registration.address)
    if registration.state not in (_READY, _DRAINING):
        state = registration.state[:_MAX_NAME_CHARACTERS]
        raise ValueError(f"got state {state!r}, expected {_READY!r} or {_DRAINING!r}")
    target = Target(
        make_target_id(name, registration.born),
        registration.service,
        registration.zone,
        host,
        port,
    )
    is_draining = registration.state == _DRAINING
    return RegisteredTarget(target, name, registration.slots, is_draining, registration.sequence)


def _split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        If the address is not ``HOST:PORT`` with an IPv4 address and a port from 1 to 65,535.
    """
    shown = address[:_MAX_NAME_CHARACTERS]
    host, colon, port = address.rpartition(":")
    if not colon or not (port.isascii() and port.isdigit()) or len(port) > len(str(_MAX_PORT)):
        raise ValueError(f"got address {shown!r}, expected HOST:PORT")
    if not 1 <= int(port) <= _MAX_PORT:
        raise ValueError(f"got port {port} in address {shown!r}, expected 1 to {_MAX_PORT}")
    try:
        return str(IPv4Address(host)), int(port)
    except ValueError as error:
        raise ValueError(f"got address {shown!r}, expected an IPv4 address") from error
