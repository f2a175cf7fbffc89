"""Finds the idempotency key of a request and the time at which it was made."""

from collections.abc import Mapping
from dataclasses import dataclass
from uuid import UUID

import msgspec

from savoryarch.model import KeyFromField, KeyFromHeader, KeySource

CREATED_HEADER = "x-order-created-ms"
MAX_KEY_BYTES = 512
_TIME_ORDERED_UUID = 7


@dataclass(frozen=True, slots=True)
class KeyFound:
    """The key of a request."""

    key: str


@dataclass(frozen=True, slots=True)
class KeyNotFound:
    """The request has no usable key."""

    detail: str


def extract_key(
    source: KeySource, headers: Mapping[str, str], body: bytes
) -> KeyFound | KeyNotFound:
    """Find the idempotency key of a request.

    Parameters
    ----------
    source : KeyFromHeader or KeyFromField
        Where the route says it is.
    headers : mapping
        Headers of the request, their names in lower case.
    body : bytes
        Body of the request.
    """
    match source:
        case KeyFromHeader(header=header):
            value = headers.get(header.lower(), "").strip()
            return _checked(value, f"header {header!r}")
        case KeyFromField(field_path=field_path):
            return _field_key(field_path, body)


def extract_created_at_ms(key: str, headers: Mapping[str, str]) -> int | None:
    """Find when the caller made the request, from its header or a time-ordered (version 7) UUID.

    Returns
    -------
    created_at_ms : int or None
        Milliseconds since the Unix epoch; None if the request does not tell.
    """
    text = headers.get(CREATED_HEADER, "")
    if text.isascii() and text.isdigit():
        return int(text)
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    return uuid.int >> 80 if uuid.version == _TIME_ORDERED_UUID else None


def _field_key(field_path: str, body: bytes) -> KeyFound | KeyNotFound:
    try:
        value = msgspec.json.decode(body)
    except msgspec.MsgspecError as error:
        return KeyNotFound(f"the body is not JSON: {error}")
    for name in field_path.split("."):
        if not isinstance(value, dict) or name not in value:
            return KeyNotFound(f"field {field_path!r} is missing")
        value = value[name]
    # A number and its text are different keys: 7 and "7" name different things.
    if isinstance(value, int) and not isinstance(value, bool):
        return KeyFound(f"#{value}")
    if not isinstance(value, str):
        return KeyNotFound(f"field {field_path!r} is neither text nor a whole number")
    return _checked(value.strip(), f"field {field_path!r}")


def _checked(key: str, where: str) -> KeyFound | KeyNotFound:
    if not key:
        return KeyNotFound(f"{where} is missing")
    if len(key.encode()) > MAX_KEY_BYTES:
        return KeyNotFound(f"{where} is longer than {MAX_KEY_BYTES} bytes")
    return KeyFound(key)
