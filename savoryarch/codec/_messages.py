"""Codec of messages: msgpack frames between peers, and JSON lines in traces."""

import base64
from collections.abc import Callable, Mapping
from dataclasses import dataclass, is_dataclass
from functools import partial
from inspect import getmembers, isclass
from operator import is_
from types import MappingProxyType, ModuleType, UnionType
from typing import Any, Union, get_args, get_origin

from cattrs import BaseValidationError, ClassValidationError, Converter, transform_error
from cattrs.errors import AttributeValidationNote
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override
from cattrs.v import format_exception
from immutables import Map
from msgspec import DecodeError, json, msgpack

from savoryarch.codec._outer_names import OUTER_NAMES, OuterNames
from savoryarch.exceptions import CodecError

TAG_KEY = "type"


@dataclass(frozen=True, slots=True)
class MessageCodec:
    """Encodes and decodes registered data classes.

    An encoded message carries the outer name of its class under the key ``type``.

    Parameters
    ----------
    classes : mapping of str to type
        The registered data classes by outer name.
    outer_names : OuterNames
        Outer names of classes and fields that differ from their names in the code.
    binary_converter : Converter
        Converter for msgpack; it leaves bytes unchanged.
    text_converter : Converter
        Converter for JSON; it writes bytes as text.
    """

    classes: Mapping[str, type]
    outer_names: OuterNames
    binary_converter: Converter
    text_converter: Converter

    def encode_frame(self, message: object) -> bytes:
        """Encode a message as one msgpack frame; fields with their default value are omitted."""
        return msgpack.encode(_to_plain(self.binary_converter, self.outer_names, message))

    def decode_frame(self, frame: bytes) -> object:
        """Decode one msgpack frame.

        Raises
        ------
        CodecError
            If the frame is malformed, its class is unknown or its fields are invalid.
        """
        try:
            plain = msgpack.decode(frame)
        except (DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise CodecError(f"frame is not msgpack: {error}") from error
        return self._from_plain(self.binary_converter, plain)

    def encode_plain(self, message: object) -> dict[str, Any]:
        """Convert a message to values for JSON; fields with their default value are omitted."""
        return _to_plain(self.text_converter, self.outer_names, message)

    def decode_plain(self, plain: object) -> object:
        """Convert values from JSON to a message.

        Raises
        ------
        CodecError
            If the values are malformed, their class is unknown or their fields are invalid.
        """
        return self._from_plain(self.text_converter, plain)

    def encode_line(self, message: object) -> bytes:
        """Encode a message as one line of JSON, without the newline."""
        return json.encode(self.encode_plain(message))

    def _from_plain(self, converter: Converter, plain: object) -> object:
        try:
            return _from_tagged(converter, self.classes, plain)
        except BaseValidationError as error:
            raise CodecError(
                "; ".join(transform_error(error, format_exception=_format_error))
            ) from error
        except (TypeError, ValueError, KeyError, OverflowError, RecursionError) as error:
            raise CodecError(str(error)) from error


def make_message_codec(
    *sources: ModuleType | type, outer_names: OuterNames = OUTER_NAMES
) -> MessageCodec:
    """Make a codec and register data classes with it.

    Parameters
    ----------
    *sources : module or type
        Data classes, and modules whose data classes, defined or imported, are registered.
    outer_names : OuterNames, optional
        Outer names of classes and fields that differ from their names in the code.

    Returns
    -------
    codec : MessageCodec
        The codec.

    Raises
    ------
    TypeError
        If two classes have the same outer name.
    """
    classes: dict[str, type] = {}
    for source in sources:
        members = [source] if isclass(source) else [cls for _, cls in getmembers(source, isclass)]
        for cls in filter(is_dataclass, members):
            registered = classes.setdefault(outer_names.tag_of(cls), cls)
            if registered is not cls:
                raise TypeError(
                    f"{registered} and {cls} have the same name {outer_names.tag_of(cls)!r}"
                )
    frozen_classes = MappingProxyType(classes)
    return MessageCodec(
        frozen_classes,
        outer_names,
        _make_converter(frozen_classes, outer_names, False),
        _make_converter(frozen_classes, outer_names, True),
    )


def _make_converter(
    classes: Mapping[str, type], outer_names: OuterNames, encodes_bytes_as_text: bool
) -> Converter:
    converter = Converter(omit_if_default=True, forbid_extra_keys=True)
    _register_renamed(converter, outer_names)
    for cls in (bool, int, float, str):
        converter.register_structure_hook(cls, _structure_scalar)
    converter.register_structure_hook(bytes, _structure_bytes)
    if encodes_bytes_as_text:
        converter.register_unstructure_hook(bytes, _bytes_to_text)
    converter.register_structure_hook_func(
        lambda cls: cls is object or _is_message_union(cls),
        lambda plain, cls: _check_member(_from_tagged(converter, classes, plain), cls, outer_names),
    )
    converter.register_unstructure_hook_func(
        lambda cls: cls is object or _is_message_union(cls),
        lambda message: _to_plain(converter, outer_names, message),
    )
    converter.register_structure_hook_func(
        lambda cls: get_origin(cls) is Map,
        lambda plain, cls: Map(converter.structure(plain, dict[get_args(cls)])),  # type: ignore
    )
    converter.register_unstructure_hook_func(
        lambda cls: cls is Map or get_origin(cls) is Map,
        # Sorted by key, because the iteration order of a `Map` differs between processes.
        lambda values: {key: converter.unstructure(values[key]) for key in sorted(values)},
    )
    return converter


def _register_renamed(converter: Converter, outer_names: OuterNames) -> None:
    for cls in {owner for owner, _ in outer_names.keys}:
        keys = outer_names.keys_of(cls)
        renamed: dict[str, Any] = {name: override(rename=key) for name, key in keys.items()}
        converter.register_unstructure_hook_factory(
            partial(is_, cls),
            lambda cls, renamed=renamed: make_dict_unstructure_fn(
                cls, converter, _cattrs_omit_if_default=True, **renamed
            ),
        )
        converter.register_structure_hook_factory(
            partial(is_, cls),
            lambda cls, renamed=renamed, keys=keys: partial(
                _structure_renamed,
                make_dict_structure_fn(cls, converter, _cattrs_forbid_extra_keys=True, **renamed),
                keys,
            ),
        )


def _structure_renamed(
    structure: Callable[[Any, Any], Any], keys: Mapping[str, str], plain: Any, cls: Any
) -> Any:
    """Decode a class with renamed fields, and let errors name the keys instead of the fields."""
    try:
        return structure(plain, cls)
    except ClassValidationError as error:
        for cause in error.exceptions:
            cause.__notes__ = [
                _with_outer_key(note, keys) for note in getattr(cause, "__notes__", ())
            ]
        raise


def _with_outer_key(note: str, keys: Mapping[str, str]) -> str:
    if not isinstance(note, AttributeValidationNote):
        return note
    return AttributeValidationNote(str(note), keys.get(note.name, note.name), note.type)


def _is_message_union(cls: Any) -> bool:
    if get_origin(cls) not in (Union, UnionType):
        return False
    members = [member for member in get_args(cls) if member is not type(None)]
    return bool(members) and all(is_dataclass(member) for member in members)


def _format_error(error: BaseException, cls: type | None) -> str:
    # cattrs replaces the text of a ValueError, which names the value that was got and the expected
    # one, by a general text.
    return str(error) if type(error) is ValueError else format_exception(error, cls)


def _check_member(message: object, cls: Any, outer_names: OuterNames) -> object:
    if cls is not object and not isinstance(message, cls):
        raise ValueError(f"got {outer_names.tag_of(type(message))}, expected {cls}")
    return message


def _to_plain(converter: Converter, outer_names: OuterNames, message: object) -> Any:
    if message is None:
        return None
    if not is_dataclass(message):
        raise CodecError(f"got {type(message).__name__}, expected a registered data class")
    return {TAG_KEY: outer_names.tag_of(type(message)), **converter.unstructure(message)}


def _from_tagged(converter: Converter, classes: Mapping[str, type], plain: object) -> object:
    if plain is None:
        return None
    if not isinstance(plain, dict) or TAG_KEY not in plain:
        raise ValueError(f"got {plain!r:.80}, expected an object with the key {TAG_KEY!r}")
    cls = classes.get(plain[TAG_KEY])
    if cls is None:
        raise ValueError(f"message type {plain[TAG_KEY]!r} is unknown")
    return converter.structure({key: plain[key] for key in plain if key != TAG_KEY}, cls)


def _structure_scalar(value: object, cls: type) -> object:
    if cls is float and isinstance(value, int) and not isinstance(value, bool):
        return float(value)
    if type(value) is not cls:
        raise ValueError(f"got {value!r:.80}, expected {cls.__name__}")
    return value


def _bytes_to_text(value: bytes) -> str | dict[str, str]:
    try:
        return value.decode("utf-8")
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(value).decode("ascii")}


def _structure_bytes(value: object, _: type) -> bytes:
    match value:
        case bytes():
            return value
        case str():
            return value.encode("utf-8")
        case {"base64": str(text)}:
            return base64.b64decode(text, validate=True)
        case _:
            raise ValueError(f"got {value!r:.80}, expected bytes")
