"""Messages as plain values, as msgpack frames between peers, and as JSON lines of traces."""

import base64
from collections.abc import Mapping
from dataclasses import dataclass, is_dataclass
from inspect import getmembers, isclass
from types import MappingProxyType, ModuleType, UnionType
from typing import Any, Union, get_args, get_origin

from cattrs import BaseValidationError, Converter, transform_error
from cattrs.v import format_exception
from immutables import Map
from msgspec import DecodeError, json, msgpack

from savoryarch.exceptions import CodecError

TAG = "type"


@dataclass(frozen=True, slots=True)
class MessageCodec:
    """Converts registered data classes; each carries its class name under ``type``.

    Parameters
    ----------
    classes : mapping of str to type
        The registered data classes by name.
    binary, text : Converter
        Converters that keep bytes as they are, and that write them as text.
    """

    classes: Mapping[str, type]
    binary: Converter
    text: Converter

    def encode_frame(self, message: object) -> bytes:
        """Encode a message as one msgpack frame."""
        return msgpack.encode(_to_plain(self.binary, message))

    def decode_frame(self, frame: bytes) -> object:
        """Decode one msgpack frame.

        Raises
        ------
        CodecError
            If the frame is malformed, of an unknown class or has wrong fields.
        """
        try:
            plain = msgpack.decode(frame)
        except (DecodeError, UnicodeDecodeError) as error:
            raise CodecError(f"frame is not msgpack: {error}") from error
        return self._from_plain(self.binary, plain)

    def encode_text(self, message: object) -> dict[str, Any]:
        """Convert a message to plain values for JSON; fields at their default are left out."""
        return _to_plain(self.text, message)

    def decode_text(self, plain: object) -> object:
        """Convert plain values from JSON to a message; raises `CodecError`."""
        return self._from_plain(self.text, plain)

    def encode_line(self, message: object) -> bytes:
        """Encode a message as one line of JSON, without the line break."""
        return json.encode(self.encode_text(message))

    def _from_plain(self, converter: Converter, plain: object) -> object:
        try:
            return _from_tagged(converter, self.classes, plain)
        except BaseValidationError as error:
            raise CodecError(
                "; ".join(transform_error(error, format_exception=_describe))
            ) from error
        except (TypeError, ValueError, KeyError) as error:
            raise CodecError(str(error)) from error


def make_message_codec(*sources: ModuleType | type) -> MessageCodec:
    """Make a codec for data classes, and for every one that a module defines or exports."""
    classes: dict[str, type] = {}
    for source in sources:
        members = [source] if isclass(source) else [kind for _, kind in getmembers(source, isclass)]
        classes |= {kind.__name__: kind for kind in members if is_dataclass(kind)}
    names = MappingProxyType(classes)
    return MessageCodec(names, _make_converter(names, False), _make_converter(names, True))


def _make_converter(classes: Mapping[str, type], as_text: bool) -> Converter:
    converter = Converter(omit_if_default=True, forbid_extra_keys=True)
    for kind in (bool, int, float, str):
        converter.register_structure_hook(kind, _check_scalar)
    converter.register_structure_hook(bytes, _read_bytes)
    if as_text:
        converter.register_unstructure_hook(bytes, _write_bytes)
    converter.register_structure_hook_func(
        lambda kind: kind is object or _is_message_union(kind),
        lambda plain, kind: _check_member(_from_tagged(converter, classes, plain), kind),
    )
    converter.register_unstructure_hook_func(
        lambda kind: kind is object or _is_message_union(kind),
        lambda message: _to_plain(converter, message),
    )
    converter.register_structure_hook_func(
        lambda kind: get_origin(kind) is Map,
        lambda plain, kind: Map(converter.structure(plain, dict[get_args(kind)])),  # type: ignore
    )
    converter.register_unstructure_hook_func(
        lambda kind: kind is Map or get_origin(kind) is Map,
        # Sorted, since the order of a mapping differs between processes.
        lambda values: {key: converter.unstructure(values[key]) for key in sorted(values)},
    )
    return converter


def _is_message_union(kind: Any) -> bool:
    if get_origin(kind) not in (Union, UnionType):
        return False
    members = [member for member in get_args(kind) if member is not type(None)]
    return bool(members) and all(is_dataclass(member) for member in members)


def _describe(error: BaseException, kind: type | None) -> str:
    # The library's text for a ValueError hides what was got and what was expected.
    return str(error) if type(error) is ValueError else format_exception(error, kind)


def _check_member(message: object, kind: Any) -> object:
    if kind is not object and not isinstance(message, kind):
        raise ValueError(f"got {type(message).__name__}, expected {kind}")
    return message


def _to_plain(converter: Converter, message: object) -> Any:
    if message is None:
        return None
    if not is_dataclass(message):
        raise CodecError(f"got {type(message).__name__}, expected a registered data class")
    return {TAG: type(message).__name__, **converter.unstructure(message)}


def _from_tagged(converter: Converter, classes: Mapping[str, type], plain: object) -> object:
    if plain is None:
        return None
    if not isinstance(plain, dict) or TAG not in plain:
        raise ValueError(f"got {plain!r:.80}, expected an object with the key {TAG!r}")
    kind = classes.get(plain[TAG])
    if kind is None:
        raise ValueError(f"message type {plain[TAG]!r} is unknown")
    return converter.structure({key: plain[key] for key in plain if key != TAG}, kind)


def _check_scalar(value: object, kind: type) -> object:
    if kind is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not kind:
        raise ValueError(f"got {value!r:.80}, expected {kind.__name__}")
    return value


def _write_bytes(value: bytes) -> str | dict[str, str]:
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(value).decode("ascii")}


def _read_bytes(value: object, _: type) -> bytes:
    match value:
        case bytes():
            return value
        case str():
            return value.encode("utf-8")
        case {"base64": str(text)}:
            return base64.b64decode(text, validate=True)
        case _:
            raise ValueError(f"got {value!r:.80}, expected bytes")
