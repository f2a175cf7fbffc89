"""Examples of every message with all fields set, and their recorded encodings.

``python -m savoryarch.codec.tests.outer_examples`` prints lines to append to `RECORDED_PATH`, for
the classes that have none. Existing lines must not be changed, because they are the encodings that
other instances send and that stored records contain.
"""

import sys
from base64 import b64encode
from collections.abc import Callable, Iterator, Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path
from types import NoneType, UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

from immutables import Map
from msgspec import json

from savoryarch import model
from savoryarch.codec import MessageCodec, make_message_codec
from savoryarch.exceptions import CodecError
from savoryarch.tier import COMPONENT_MESSAGES

RECORDED_PATH = Path(__file__).parent / "outer_names.jsonl"
CODEC = make_message_codec(model, *COMPONENT_MESSAGES)
MAX_DEPTH = 12  # a class that is nested more deeply contains itself


def make_examples(cls: type, codec: MessageCodec) -> Iterator[Any]:
    """Yield examples of a class that together contain each enum value and each union member."""
    count = max(len(_choices(hint, codec)) for hint in [int, *get_type_hints(cls).values()])
    for example_number in range(count):
        yield _make_value(cls, example_number, codec, 0)


def _choices(hint: Any, codec: MessageCodec) -> list[Any]:
    """Return the alternatives of a type: the members of a union or an enum, otherwise the type.

    A tuple has the alternatives of its first item, and a data class those of the field with the
    most. Data classes without an encoding are left out of unions.
    """
    if hint is object:  # a field that holds any message; three messages are its examples
        return [codec.classes[name] for name in ("Ping", "ClaimMessages", "SetReadiness")]
    if get_origin(hint) in (Union, UnionType):
        registered = set(codec.classes.values())
        members = [item for item in get_args(hint) if item is not NoneType]
        return [item for item in members if not is_dataclass(item) or item in registered]
    if isinstance(hint, type) and issubclass(hint, Enum):
        return list(hint)
    if get_origin(hint) is tuple:
        return _choices(get_args(hint)[0], codec)
    if is_dataclass(hint):
        nested = [_choices(item, codec) for item in get_type_hints(hint).values()]
        return max(nested, key=len, default=[hint])
    return [hint]


def _make_value(hint: Any, example_number: int, codec: MessageCodec, depth: int) -> Any:
    if depth > MAX_DEPTH:
        raise RecursionError(f"{hint} is nested too deeply")
    match hint:
        case Enum():
            return hint
        case _ if is_dataclass(hint) and isinstance(hint, type):
            hints = get_type_hints(hint)
            values = {
                item.name: _make_field_value(
                    item, hints[item.name], example_number + index, codec, depth
                )
                for index, item in enumerate(fields(hint))
            }
            return hint(**values)
        case _ if hint in _SCALARS:
            return _SCALARS[hint](example_number)
    return _make_container(hint, example_number, codec, depth)


def _make_container(hint: Any, example_number: int, codec: MessageCodec, depth: int) -> Any:
    arguments = get_args(hint)
    if get_origin(hint) is tuple:
        types = (arguments[0], arguments[0]) if arguments[1:] == (...,) else arguments
        return tuple(
            _make_value(cls, example_number + index, codec, depth + 1)
            for index, cls in enumerate(types)
        )
    if get_origin(hint) in (Map, Mapping):
        key, value = arguments
        return Map(
            {
                _make_value(key, index, codec, depth): _make_value(value, index, codec, depth)
                for index in (1, 2)
            }
        )
    choices = _choices(hint, codec)
    if choices == [hint]:
        raise TypeError(f"{hint} has no example")
    return _make_value(choices[example_number % len(choices)], example_number, codec, depth + 1)


def _make_field_value(
    item: Any, hint: Any, example_number: int, codec: MessageCodec, depth: int
) -> Any:
    """Return a value that differs from the field's default, so that the field is not omitted."""
    return not item.default if hint is bool else _make_value(hint, example_number, codec, depth + 1)


_SCALARS: dict[Any, Callable[[int], Any]] = {
    bool: lambda example_number: example_number % 2 == 0,
    int: lambda example_number: 41 + example_number,
    float: lambda example_number: 7.25 + example_number,
    str: lambda example_number: f"text {example_number}",
    bytes: lambda example_number: b"\x00\xff%d" % example_number,
}


def encode_examples(name: str, codec: MessageCodec) -> Iterator[dict[str, str]]:
    """Yield the lines of one class; for a class that cannot be encoded, one line without text.

    Each example has a line with its msgpack frame in Base64, and one with its line of JSON.
    """
    try:
        for example in make_examples(codec.classes[name], codec):
            frame, line = codec.encode_frame(example), codec.encode_line(example)
            codec.decode_frame(frame)
            yield {"encoding": "frame", "name": name, "text": b64encode(frame).decode()}
            yield {"encoding": "line", "name": name, "text": line.decode()}
    except (TypeError, CodecError) as error:
        print(f"{name}: {error}", file=sys.stderr)
        yield {"encoding": "none", "name": name, "text": ""}


def read_recorded() -> list[dict[str, str]]:
    """Return the decoded lines of `RECORDED_PATH`."""
    return [json.decode(line) for line in RECORDED_PATH.read_bytes().splitlines()]


if __name__ == "__main__":
    recorded_names = {row["name"] for row in read_recorded()} if RECORDED_PATH.exists() else set()
    for class_name in sorted(set(CODEC.classes) - recorded_names):
        for row in encode_examples(class_name, CODEC):
            print(json.encode(row).decode())
