"""Decodes the entries of the store that operators, targets and entry instances write."""

import msgspec
from immutables import Map

from savoryarch.discovery import MalformedEntry, StoreEntry, StoreEntryCodec, UnrelatedEntry
from savoryarch.model import (
    Target,
)
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


class _SplitPart(msgspec.Struct, rename="kebab"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    type: str
    timeout_ms: float
    # The latency objective of a request.
    slo_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    service: str | None = None
    split: tuple[_SplitPart, ...] = ()
    # The shards of a search, one service each.
    gather: tuple[str, ...] = ()
    top_k: int = 0
    min_coverage: float = 0.0


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_conns: int


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Configuration(msgspec.Struct, rename="kebab"):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None


class _TargetRegistration(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    slots: int
    state: str
    # Start of the target in Unix milliseconds; a new start under the same name is a new target.
    born: int = 0


class _InstanceRegistration(msgspec.Struct):
    instance_id: str
    availability_zone: str
    host: str
    port: int


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
                row = msgspec.json.decode(value, type=_InstanceRegistration)
                return RegisteredInstance(
                    row.instance_id, row.availability_zone, row.host, row.port
                )
        except (msgspec.MsgspecError, ValueError) as error:
            return MalformedEntry(str(error))
        return UnrelatedEntry()

    return StoreEntryCodec(decode, encode_instance)


def encode_instance(instance: RegisteredInstance) -> bytes:
    """Return the value under which an entry instance registers, as JSON."""
    row = _InstanceRegistration(
        instance.instance_id, instance.availability_zone, instance.host, instance.port
    )
    return msgspec.json.encode(row)


def decode_table(value: bytes) -> ForwardingTable:
    """Decode the operator's configuration.

    Raises
    ------
    ValueError
        If the value is not JSON, lacks a field, has a field of another type, or has a route
        without a service. ``msgspec.DecodeError`` is such an error.
    """
    row = msgspec.json.decode(value, type=_Configuration)
    limits = FrontLimits()
    if row.limits is not None:
        limits = FrontLimits(
            row.limits.max_header_bytes,
            row.limits.max_body_bytes,
            row.limits.header_timeout_ms,
            row.limits.idle_timeout_ms,
        )
    return ForwardingTable(
        version=row.version,
        routes=tuple(_make_route(route) for route in row.routes),
        connection_limits=Map({service.name: service.max_conns for service in row.services}),
        limits=limits,
    )


def _make_route(row: _Route) -> ForwardedRoute:
    return ForwardedRoute(
        name=row.name,
        host=row.host.lower(),
        path_prefix=row.path_prefix,
        destination=_make_destination(row),
        idempotent=row.type == "idempotent",
        timeout_ms=row.timeout_ms,
        objective_ms=row.slo_ms,
        max_attempts=max(1, row.max_attempts),
        priority=row.priority,
    )


def _make_destination(row: _Route) -> Destination:
    if row.gather:
        return ToShards(row.gather, row.top_k, row.min_coverage)
    if row.split:
        return ToSplit(tuple(WeightedService(part.service, part.weight) for part in row.split))
    if row.service is None:
        raise ValueError(f"route {row.name!r} names no service")
    return ToService(row.service)


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
        If the value is not JSON, lacks a field, has a field of another type, an address that is
        not HOST:PORT, an unknown state, or no slot. ``msgspec.DecodeError`` is such an error.
    """
    row = msgspec.json.decode(value, type=_TargetRegistration)
    host, colon, port = row.address.rpartition(":")
    if not colon or not port.isdigit():
        raise ValueError(f"got address {row.address!r}, expected HOST:PORT")
    if row.state not in (_READY, _DRAINING):
        raise ValueError(f"got state {row.state!r}, expected {_READY!r} or {_DRAINING!r}")
    if row.slots < 1:
        raise ValueError(f"got {row.slots} slots, expected at least 1")
    target = Target(make_target_id(name, row.born), row.service, row.zone, host, int(port))
    return RegisteredTarget(target, name, row.slots, row.state == _DRAINING)
