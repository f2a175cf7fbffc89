"""One odd entry of another writer names nothing, and the other entries still hold.

Guards against processes that end, or no longer follow the store, because an entry is nested very
deeply, has a number out of range, or names an address to which no connection can be opened.
"""

import msgspec
import pytest

from savoryarch.discovery import DiscoverySettings, MalformedEntry, StoreEntryCodec
from savoryarch.discovery._decide import (
    CHANGES_CALL,
    LIST_CALL,
    POLL_TIMER,
    decide_discovery,
    make_discovery_state,
)
from savoryarch.model import (
    KeyChange,
    KeyRead,
    KeysChanged,
    KeysListed,
    LogEvent,
    SetTimer,
    Started,
    StoreReplied,
    TimerFired,
)
from savoryarch.model.forwarding import ForwardingTable, RegisteredInstance, RegisteredTarget
from savoryarch.platform import CONFIGURATION_KEY, TARGETS_PREFIX, make_entry_codec

INSTANCES_PREFIX = "instances/"
CODEC = make_entry_codec(INSTANCES_PREFIX)
TARGET = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "slots": 2,
    "state": "ready",
    "born": 1_700_000_000_000,
    "sequence": 4,
}
INSTANCE = {"instance_id": "e-1", "availability_zone": "z", "host": "10.0.0.1", "port": 9001}
ROUTE = {
    "name": "r",
    "host": "h.example",
    "path-prefix": "/a/",
    "type": "idempotent",
    "timeout-ms": 800,
    "service": "s",
}
TABLE = {"version": 3, "routes": [ROUTE], "services": [{"name": "s", "max-conns": 26}]}
VALUES = {
    f"{TARGETS_PREFIX}i-7": TARGET,
    f"{INSTANCES_PREFIX}e-1": INSTANCE,
    CONFIGURATION_KEY: TABLE,
}
HUGE = "1" + "0" * 400
NESTED_ARRAYS = "[" * 200_000 + "]" * 200_000
NESTED_OBJECTS = '{"a":' * 200_000 + "1" + "}" * 200_000


def with_field(value, name, text):
    """Return a value as JSON, with the raw JSON `text` as one of its fields."""
    fields = {key: msgspec.json.encode(item).decode() for key, item in value.items()}
    fields[name] = text
    return ("{" + ",".join(f'"{key}":{item}' for key, item in fields.items()) + "}").encode()


ODD_VALUES = [
    *[(key, with_field(value, "x", NESTED_ARRAYS)) for key, value in VALUES.items()],
    *[(key, with_field(value, "x", NESTED_OBJECTS)) for key, value in VALUES.items()],
    *[(key, NESTED_ARRAYS.encode()) for key in VALUES],
    *[(key, b"\xff\xfe\x00") for key in VALUES],
    *[(key, b"") for key in VALUES],
    *[(key, b"[]") for key in VALUES],
    *[
        (f"{TARGETS_PREFIX}i-7", with_field(TARGET, name, text))
        for name, text in [
            ("slots", HUGE),
            ("slots", "0"),
            ("slots", "-1"),
            ("slots", "1e9"),
            ("slots", "true"),
            ("born", HUGE),
            ("born", "-1"),
            ("born", "1.5"),
            ("born", '"now"'),
            ("sequence", HUGE),
            ("sequence", "-1"),
            ("sequence", '"4"'),
            ("state", '"sleeping"'),
            ("service", '""'),
            ("service", f'"{"s" * 300}"'),
            ("zone", "null"),
            ("address", '"10.0.0.1"'),
            ("address", '"10.0.0.1:0"'),
            ("address", '"10.0.0.1:70000"'),
            ("address", '"10.0.0.1:99999999999999999999"'),
            ("address", '"10.0.0.1:-1"'),
            ("address", '"10.0.0.1:+80"'),
            ("address", '"10.0.0.1:\u00b2"'),
            ("address", '"[::80"'),
            ("address", '"[::1]:80"'),
            ("address", '":80"'),
            ("address", '"name.example:80"'),
            ("address", '"10.0.0.256:80"'),
            ("address", f'"{"1" * 100_000}:80"'),
        ]
    ],
    *[
        (f"{INSTANCES_PREFIX}e-1", with_field(INSTANCE, name, text))
        for name, text in [
            ("port", HUGE),
            ("port", "0"),
            ("port", "70000"),
            ("host", '"a b"'),
            ("host", '"[:"'),
            ("host", f'"{"h" * 100_000}"'),
            ("instance_id", '""'),
        ]
    ],
    *[
        (CONFIGURATION_KEY, with_field(TABLE, name, text))
        for name, text in [
            ("version", HUGE),
            ("version", "1.5"),
            ("routes", "{}"),
            ("services", f'[{{"name":"s","max-conns":{HUGE}}}]'),
            ("limits", f'{{"max-header-bytes":{HUGE}}}'),
        ]
    ],
    *[
        (CONFIGURATION_KEY, with_field(TABLE, "routes", f"[{with_field(ROUTE, *row).decode()}]"))
        for row in [
            ("timeout-ms", "1e400"),
            ("timeout-ms", "-1"),
            ("slo-ms", HUGE),
            ("min-coverage", "2.5"),
            ("top-k", HUGE),
            ("max-attempts", HUGE),
            ("service", "null"),
        ]
    ],
    (f"{TARGETS_PREFIX}i-7\r\nx: 1", msgspec.json.encode(TARGET)),
    (f"{TARGETS_PREFIX}i 7", msgspec.json.encode(TARGET)),
    (f"{TARGETS_PREFIX}i-\u00e9", msgspec.json.encode(TARGET)),
]


def ids_of(values):
    return [f"{number}-{key[:12]!r}-{value[-40:]!r}" for number, (key, value) in enumerate(values)]


@pytest.mark.parametrize(("key", "value"), ODD_VALUES, ids=ids_of(ODD_VALUES))
def test_an_odd_entry_is_malformed(key, value):
    entry = CODEC.decode(key, value)
    assert isinstance(entry, MalformedEntry)
    assert len(entry.detail) < 600


@pytest.mark.parametrize(
    ("key", "kind"),
    list(zip(VALUES, (RegisteredTarget, RegisteredInstance, ForwardingTable), strict=True)),
)
def test_the_same_entry_without_the_odd_field_is_used(key, kind):
    assert isinstance(CODEC.decode(key, msgspec.json.encode(VALUES[key])), kind)


def log_names(effects):
    return [effect.name for effect in effects if isinstance(effect, LogEvent)]


@pytest.mark.parametrize("arrives_in", ["list", "changes"])
@pytest.mark.parametrize(("key", "value"), ODD_VALUES, ids=ids_of(ODD_VALUES))
def test_the_store_is_followed_beside_an_odd_entry(key, value, arrives_in):
    """The odd entry costs one log line, the others are applied, and the next poll is scheduled."""
    state = make_discovery_state(DiscoverySettings(enabled=True), CODEC)
    state = decide_discovery(state, Started("e-1", "z", 1), 0.0).state
    good_key = f"{TARGETS_PREFIX}i-8"
    entries = [(key, value), (good_key, msgspec.json.encode(TARGET))]
    if arrives_in == "list":
        listed = KeysListed(tuple(KeyRead(name, data, 5) for name, data in entries), 5)
        decided = decide_discovery(state, StoreReplied(LIST_CALL, listed), 1.0)
    else:
        empty = StoreReplied(LIST_CALL, KeysListed((), 1))
        state = decide_discovery(state, empty, 1.0).state
        state = decide_discovery(state, TimerFired(POLL_TIMER), 2.0).state
        changes = KeysChanged(tuple(KeyChange(name, data, 5) for name, data in entries), 5)
        decided = decide_discovery(state, StoreReplied(CHANGES_CALL, changes), 3.0)
    assert set(decided.state.targets) == {good_key}
    assert log_names(decided.effects).count("entry_refused") == 1
    assert any(
        isinstance(effect, SetTimer) and effect.timer_id == POLL_TIMER for effect in decided.effects
    )
    state = decide_discovery(decided.state, TimerFired(POLL_TIMER), 4.0).state
    again = KeysChanged((KeyChange(key, value, 6),), 6)
    decided = decide_discovery(state, StoreReplied(CHANGES_CALL, again), 5.0)
    assert "entry_refused" not in log_names(decided.effects)


@pytest.mark.parametrize("error", [RecursionError("deep"), MemoryError(), KeyError("x")])
def test_an_unexpected_error_of_the_decoder_concerns_one_entry(error):
    def decode(key, value):
        if key == "odd":
            raise error
        return CODEC.decode(key, value)

    codec = StoreEntryCodec(decode, CODEC.encode_instance)
    state = make_discovery_state(DiscoverySettings(enabled=True), codec)
    state = decide_discovery(state, Started("e-1", "z", 1), 0.0).state
    good_key = f"{TARGETS_PREFIX}i-8"
    rows = (KeyRead("odd", b"{}", 5), KeyRead(good_key, msgspec.json.encode(TARGET), 5))
    decided = decide_discovery(state, StoreReplied(LIST_CALL, KeysListed(rows, 5)), 1.0)
    assert set(decided.state.targets) == {good_key}
    assert "entry_refused" in log_names(decided.effects)
