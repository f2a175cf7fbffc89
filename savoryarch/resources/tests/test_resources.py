"""Resources convert to INI, JSON and stored bytes and back; wrong input gives findings."""

from dataclasses import replace

import pytest
from immutables import Map

from savoryarch.configuration import apply_changes, make_next_record
from savoryarch.model import (
    Caller,
    ConfigurationDelta,
    ConfigurationRecord,
    ConfigurationVersion,
    Declarations,
    DeletedResource,
    KeyFromField,
    Preference,
    Priority,
    PutResource,
    ResourceKey,
    ResourceKind,
    RevisedResource,
    Route,
    Search,
    Service,
    ShardMap,
    Target,
    resource_key,
)
from savoryarch.resources import (
    RECORD_CODEC,
    decode_delta,
    decode_record,
    encode_delta,
    encode_record,
    format_resources,
    parse_resources,
    resource_from_json,
    resource_to_json,
)

TARGETS = (
    Target("balcao-01-a", "balcao-01", "zone-a", "127.0.0.1", 7001),
    Target("balcao-01-b", "balcao-01", "zone-b", "::1", 7002),
)
RESOURCES = (
    Service("balcao-01", "balcao", 2, 25, TARGETS),
    Service("pedidos", "", 4, 110, (Target("pedidos-a", "pedidos", "zone-a", "10.0.0.1", 80),)),
    Search("counter", (ShardMap(1, ("balcao-01",)), ShardMap(2, ("pedidos", "balcao-01"))), 700.0),
    Search(
        "mechanics",
        (ShardMap(1, ("balcao-01",)),),
        1234.5,
        0.95,
        Preference.COVERAGE,
        Priority.URGENT,
        0.125,
    ),
    Route("order", "pedidos", 2000.0, key=KeyFromField("rebuild.wheel_id")),
    Route("lookup", "pedidos", 2000.0, idempotent=True, priority=Priority.BATCH),
    Caller("portal", 2.5),
)


def declare(*resources):
    return apply_changes(Declarations(), tuple(PutResource(item) for item in resources))


def test_formatted_ini_parses_to_the_same_resources():
    parsed, findings = parse_resources(format_resources(declare(*RESOURCES)), "x.ini")
    assert not findings
    assert declare(*(item.resource for item in parsed)) == declare(*RESOURCES)


@pytest.mark.parametrize("resource", RESOURCES, ids=lambda item: item.name)
def test_json_of_a_resource_parses_to_the_same_resource(resource):
    key = resource_key(resource)
    value = resource_to_json(resource, 3)
    assert value["revision"] == 3
    assert resource_from_json(key.kind, key.name, value) == (resource, ())


@pytest.mark.parametrize(
    ("text", "findings"),
    [
        (
            "[serch x]\na = 1",
            [
                "x.ini:1 serch x: got section [serch x], expected "
                "[service|search|route|caller|group NAME]; did you mean 'search'?"
            ],
        ),
        ("[caller A]", ["x.ini:1 caller A: got 'A', expected text such as 'balcao-03'"]),
        (
            "[caller portal]\nweigth = 3",
            [
                "x.ini:2 caller.portal.weigth: key 'weigth' is unknown; did you mean 'weight'?",
            ],
        ),
        (
            "[group g]\nslot = 2",
            ["x.ini:2 group g.slot: key 'slot' is unknown; did you mean 'slots'?"],
        ),
        (
            "[service s]\nslots = 0\nconnection_limit = 5\ntargets =\n  a b\n  c zone-a x:99999",
            [
                "x.ini:2 service.s.slots: got 0, expected a whole number from 1 to 10000",
                "x.ini:5 service.s.targets: got 'a b', expected TARGET_ID ZONE HOST:PORT",
                "x.ini:6 service.s.targets: got 'x', expected an IP number such as '127.0.0.1'",
                "x.ini:6 service.s.targets: got 99999, expected a whole number from 0 to 65535",
            ],
        ),
        (
            "[search s]\nshard_maps =\n  x: A\n  1: b",
            [
                "x.ini:1 search.s: key 'deadline_ms' is missing: time until the answer is due",
                "x.ini:3 search.s.shard_maps: got 'A', expected names of services such as "
                "'balcao-03'",
                "x.ini:3 search.s.shard_maps: got 'x', expected a shard map version, a whole "
                "number from 1",
            ],
        ),
    ],
)
def test_ini_with_errors_gives_findings_with_their_lines(text, findings):
    parsed, found = parse_resources(text, "x.ini")
    assert not parsed
    assert [str(item) for item in sorted(found)] == findings


@pytest.mark.parametrize(
    ("kind", "value", "findings"),
    [
        (ResourceKind.CALLER, [], ["caller.x: got an array, expected an object"]),
        (
            ResourceKind.CALLER,
            {"name": "y", "weight": "2", "wait": 1},
            [
                "caller.x.name: got 'y', expected 'x'",
                "caller.x.wait: field 'wait' is unknown; did you mean 'weight'?",
                "caller.x.weight: got a string, expected a number",
            ],
        ),
        (
            ResourceKind.SERVICE,
            {
                "slots": True,
                "connection_limit": 2,
                "targets": [
                    {"target_id": "a", "availability_zone": "z", "host": "h", "port": 1},
                    {"target_id": "a"},
                ],
            },
            [
                "service.x.slots: got a boolean, expected a number",
                "service.x.targets.0.host: got 'h', expected an IP number such as '127.0.0.1'",
                "service.x.targets.1: field 'availability_zone' is missing",
                "service.x.targets.1: field 'host' is missing",
                "service.x.targets.1: field 'port' is missing",
            ],
        ),
        (
            ResourceKind.ROUTE,
            {"deadline_ms": 10, "key": "", "idempotent": "no"},
            [
                "route.x: field 'service' is missing: the service whose targets run the request",
                "route.x.idempotent: got a string, expected true or false",
                "route.x.key: got '', expected text such as 'field:wheel_id'",
            ],
        ),
    ],
)
def test_json_with_errors_gives_findings_with_their_paths(kind, value, findings):
    resource, found = resource_from_json(kind, "x", value)
    assert resource is None
    assert [f"{item.place.path}: {item.message}" for item in sorted(found)] == findings


def test_encoded_record_decodes_to_the_same_record():
    version = ConfigurationVersion(1, "c1")
    record = make_next_record(ConfigurationRecord(), declare(*RESOURCES), version)
    record = replace(record, deleted=Map({ResourceKey(ResourceKind.CALLER, "old"): 1}))
    assert decode_record(encode_record(record)) == record


def test_encoded_delta_decodes_to_the_same_delta():
    delta = ConfigurationDelta(
        ConfigurationVersion(1, "c1"),
        tuple(RevisedResource(item, 2) for item in RESOURCES),
        (DeletedResource(ResourceKey(ResourceKind.ROUTE, "old"), 2),),
        (ConfigurationVersion(2, "c2"),),
    )
    assert decode_delta(encode_delta(delta)) == delta


@pytest.mark.parametrize("data", [b"", b"{}", encode_record(ConfigurationRecord())[:-3]])
def test_malformed_bytes_decode_to_none(data):
    assert RECORD_CODEC.decode_record(data) is None
    assert RECORD_CODEC.decode_delta(data) is None
