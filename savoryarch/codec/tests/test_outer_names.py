"""Renaming a class or a field in the code must not change the encoding of messages.

Otherwise instances of the previous version, recorded traces and stored records cannot be read. The
recorded encodings in ``outer_names.jsonl`` are decoded and encoded again.
"""

import zlib
from base64 import b64decode
from collections.abc import Callable
from dataclasses import dataclass, make_dataclass
from types import MappingProxyType

import pytest
from msgspec import json, msgpack

from savoryarch.codec import OUTER_NAMES, OuterNames, make_message_codec
from savoryarch.codec.tests.outer_examples import CODEC, read_recorded
from savoryarch.exceptions import CodecError
from savoryarch.orders._bucket_codec import decode_bucket, encode_bucket
from savoryarch.peers._frame import read_frame, write_frame
from savoryarch.platform import make_entry_codec
from savoryarch.resources import RECORD_CODEC

ROWS = read_recorded()
MESSAGES = [row for row in ROWS if row["encoding"] in ("frame", "line")]
STORED = [row for row in ROWS if row["encoding"] not in ("frame", "line", "none")]
ENTRY_CODEC = make_entry_codec("entries/")


def _reencode_frame(data: bytes) -> bytes:
    return CODEC.encode_frame(CODEC.decode_frame(data))


def _reencode_line(data: bytes) -> bytes:
    return CODEC.encode_line(CODEC.decode_plain(json.decode(data)))


def _reencode_record(data: bytes) -> bytes:
    record = RECORD_CODEC.decode_record(zlib.compress(data))
    assert record is not None
    return zlib.decompress(RECORD_CODEC.encode_record(record))


def _reencode_delta(data: bytes) -> bytes:
    delta = RECORD_CODEC.decode_delta(zlib.compress(data))
    assert delta is not None
    return zlib.decompress(RECORD_CODEC.encode_delta(delta))


# By encoding, a function that decodes recorded bytes and returns the encoding of the result.
REENCODE: dict[str, Callable[[bytes], bytes]] = {
    "frame": _reencode_frame,
    "line": _reencode_line,
    "record": _reencode_record,
    "delta": _reencode_delta,
    "bucket": lambda data: encode_bucket(decode_bucket(data)),
    "envelope": lambda data: write_frame(read_frame(data)),
    "instance": lambda data: ENTRY_CODEC.encode_instance(ENTRY_CODEC.decode("entries/1", data)),
}
BASE64_ENCODINGS = ("frame", "bucket", "envelope")


def _recorded_bytes(row: dict[str, str]) -> bytes:
    return b64decode(row["text"]) if row["encoding"] in BASE64_ENCODINGS else row["text"].encode()


def _recorded_tag(row: dict[str, str]) -> str:
    decode = msgpack.decode if row["encoding"] == "frame" else json.decode
    return decode(_recorded_bytes(row))["type"]


@pytest.mark.parametrize("row", MESSAGES, ids=lambda row: f"{row['encoding']}-{row['name']}")
def test_a_recorded_message_is_encoded_as_before(row):
    assert _recorded_tag(row) == row["name"]
    assert REENCODE[row["encoding"]](_recorded_bytes(row)) == _recorded_bytes(row)


@pytest.mark.parametrize("row", STORED, ids=lambda row: row["encoding"])
def test_a_stored_value_is_encoded_as_before(row):
    assert REENCODE[row["encoding"]](_recorded_bytes(row)) == _recorded_bytes(row)


def test_the_frame_and_the_line_of_an_example_decode_to_the_same_message():
    frames = [row for row in MESSAGES if row["encoding"] == "frame"]
    lines = [row for row in MESSAGES if row["encoding"] == "line"]
    assert [CODEC.decode_frame(_recorded_bytes(row)) for row in frames] == [
        CODEC.decode_plain(json.decode(row["text"])) for row in lines
    ]


def test_the_recorded_names_are_those_of_the_registered_classes():
    # A renamed class needs an entry in OUTER_NAMES, a new class a recorded example.
    assert {row["name"] for row in ROWS if row["name"]} == set(CODEC.classes)


def test_each_outer_name_belongs_to_a_registered_class():
    # Only classes with tags are checked. A class that occurs only as a field may have keys.
    assert set(OUTER_NAMES.classes) <= set(CODEC.classes.values())


@dataclass(frozen=True, slots=True)
class Inner:
    number: int
    note: str = "none"


@dataclass(frozen=True, slots=True)
class Sent:
    inner: Inner
    listed: tuple[Inner, ...] = ()
    message: object = None


def _make_renamed_class(name: str, renamed: dict[str, str], hints: dict[str, object]) -> type:
    rows = [
        (renamed.get(key, key), hint) if default is ... else (renamed.get(key, key), hint, default)
        for key, (hint, default) in hints.items()
    ]
    return make_dataclass(name, rows, frozen=True, slots=True)


# The same message with the names of an earlier version, and after renames in the code.
ORIGINAL_CODEC = make_message_codec(Sent, Inner)
ORIGINAL_MESSAGE = Sent(Inner(1, "a"), (Inner(2), Inner(3, "b")), Inner(4, "c"))
RENAMED_INNER = _make_renamed_class(
    "Nested", {"number": "count"}, {"number": (int, ...), "note": (str, "none")}
)
RENAMED_SENT = _make_renamed_class(
    "Message",
    {"listed": "several"},
    {
        "inner": (RENAMED_INNER, ...),
        "listed": (tuple[RENAMED_INNER, ...], ()),  # type: ignore[valid-type]
        "message": (object, None),
    },
)
OUTER_NAMES_OF_RENAMED = OuterNames(
    MappingProxyType({RENAMED_SENT: "Sent", RENAMED_INNER: "Inner"}),
    MappingProxyType({(RENAMED_INNER, "count"): "number", (RENAMED_SENT, "several"): "listed"}),
)
RENAMED_MESSAGE = RENAMED_SENT(
    RENAMED_INNER(1, "a"), (RENAMED_INNER(2), RENAMED_INNER(3, "b")), RENAMED_INNER(4, "c")
)


def test_renamed_classes_and_fields_with_outer_names_are_encoded_as_before():
    codec = make_message_codec(RENAMED_SENT, RENAMED_INNER, outer_names=OUTER_NAMES_OF_RENAMED)
    assert set(codec.classes) == set(ORIGINAL_CODEC.classes)
    assert codec.encode_frame(RENAMED_MESSAGE) == ORIGINAL_CODEC.encode_frame(ORIGINAL_MESSAGE)
    assert codec.encode_line(RENAMED_MESSAGE) == ORIGINAL_CODEC.encode_line(ORIGINAL_MESSAGE)
    assert codec.decode_frame(ORIGINAL_CODEC.encode_frame(ORIGINAL_MESSAGE)) == RENAMED_MESSAGE
    assert codec.decode_plain(ORIGINAL_CODEC.encode_plain(ORIGINAL_MESSAGE)) == RENAMED_MESSAGE


@pytest.mark.parametrize(
    "plain",
    [
        {"type": "Sent", "inner": {"number": "x"}},
        {"type": "Sent", "inner": {"number": 1, "extra": 2}},
        {"type": "Sent", "inner": {}},
        {"type": "Sent", "inner": {"number": 1}, "listed": [{"number": 1}, {"number": None}]},
        {"type": "Sent", "inner": {"number": 1}, "listed": 5},
        {"type": "Sent", "inner": {"number": 1}, "message": {"type": "Inner", "note": "a"}},
        {"type": "Sent", "inner": {"number": 1}, "message": {"type": "Unknown"}},
    ],
)
def test_errors_name_the_outer_keys(plain):
    codec = make_message_codec(RENAMED_SENT, RENAMED_INNER, outer_names=OUTER_NAMES_OF_RENAMED)
    with pytest.raises(CodecError) as before:
        ORIGINAL_CODEC.decode_plain(plain)
    with pytest.raises(CodecError) as after:
        codec.decode_plain(plain)
    assert str(after.value) == str(before.value)


def test_the_new_name_of_a_field_is_not_accepted_as_its_key():
    codec = make_message_codec(RENAMED_SENT, RENAMED_INNER, outer_names=OUTER_NAMES_OF_RENAMED)
    with pytest.raises(CodecError, match="extra fields found .count."):
        codec.decode_plain({"type": "Inner", "number": 1, "count": 1})


@pytest.mark.parametrize(
    "names",
    [
        OuterNames(),
        OuterNames(OUTER_NAMES_OF_RENAMED.classes),
        OuterNames(keys=OUTER_NAMES_OF_RENAMED.keys),
    ],
    ids=["nothing", "classes", "fields"],
)
def test_a_renaming_without_outer_names_changes_the_encoding(names):
    codec = make_message_codec(RENAMED_SENT, RENAMED_INNER, outer_names=names)
    same_names = set(codec.classes) == set(ORIGINAL_CODEC.classes)
    same_bytes = codec.encode_frame(RENAMED_MESSAGE) == ORIGINAL_CODEC.encode_frame(
        ORIGINAL_MESSAGE
    )
    assert not (same_names and same_bytes)
    with pytest.raises(CodecError):
        codec.decode_frame(ORIGINAL_CODEC.encode_frame(ORIGINAL_MESSAGE))


def test_two_classes_with_the_same_outer_name_raise():
    with pytest.raises(TypeError, match="the same name 'Sent'"):
        make_message_codec(
            Sent, RENAMED_SENT, outer_names=OuterNames(MappingProxyType({RENAMED_SENT: "Sent"}))
        )


def test_a_key_of_a_field_that_does_not_exist_raises():
    with pytest.raises(TypeError, match="has no field 'numbr'"):
        OuterNames(keys=MappingProxyType({(Inner, "numbr"): "number"}))
