"""Decodes the entries of the store that operators, targets and entry instances write."""

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


class _SplitPart(msgspec.Struct, rename="kebab"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    # "idempotent"; a route with any other type is treated as not idempotent.
    type: str
    timeout_ms: float
    # The latency objective of a request (service level objective).
    slo_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = DEFAULT_MAX_ATTEMPTS
    service: str | None = None
    split: tuple[_SplitPart, ...] = ()
    # The shards of a search, one service each.
    gather: tuple[str, ...] = ()
    # Number of records in the answer to a search.
    top_k: int = 0
    # Least share of the shards, from 0 to 1, that an answer to a search needs.
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
                registration = msgspec.json.decode(value, type=_InstanceRegistration)
                return RegisteredInstance(
                    registration.instance_id,
                    registration.availability_zone,
                    registration.host,
                    registration.port,
                )
        except (msgspec.MsgspecError, ValueError) as error:
            return MalformedEntry(str(error))
        return UnrelatedEntry()

    return StoreEntryCodec(decode, encode_instance)


def encode_instance(instance: RegisteredInstance) -> bytes:
    """Return the value under which an entry instance registers, as JSON."""
    registration = _InstanceRegistration(
        instance.instance_id, instance.availability_zone, instance.host, instance.port
    )
    return msgspec.json.encode(registration)


def decode_table(value: bytes) -> ForwardingTable:
    """Decode the operator's configuration, which defines the forwarding table.

    Raises
    ------
    ValueError
        If the value is not JSON, lacks a field, has a field of another type, or has a route
        without a service. ``msgspec.DecodeError`` is such an error.
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
        If the value is not JSON, lacks a field, has a field of another type, an address that is
        not HOST:PORT, an unknown state, or no slot. ``msgspec.DecodeError`` is such an error.
    """
    registration = msgspec.json.decode(value, type=_TargetRegistration)
    host, colon, port = registration.address.rpartition(":")
    if not colon or not port.isdigit():
        raise ValueError(f"got address {registration.address!r}, expected HOST:PORT")
    if registration.state not in (_READY, _DRAINING):
        raise ValueError(f"got state {registration.state!r}, expected {_READY!r} or {_DRAINING!r}")
    if registration.slots < 1:
        raise ValueError(f"got {registration.slots} slots, expected at least 1")
    target = Target(
        make_target_id(name, registration.born),
        registration.service,
        registration.zone,
        host,
        int(port),
    )
    return RegisteredTarget(target, name, registration.slots, registration.state == _DRAINING)
