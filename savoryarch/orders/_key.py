"""Extracts the idempotency key and the creation time of a request."""

from collections.abc import Mapping
from dataclasses import dataclass
from uuid import UUID

import msgspec

from savoryarch.model import KeyFromField, KeyFromHeader, KeySource

CREATED_HEADER = "x-order-created-ms"
MAX_KEY_BYTES = 512
_MAX_TIME_DIGITS = 15  # of a time in milliseconds, far beyond any real one
_TIME_ORDERED_UUID_VERSION = 7


@dataclass(frozen=True, slots=True)
class KeyFound:
    """The request has an idempotency key.

    Parameters
    ----------
    key : str
        The key.
    """

    key: str


@dataclass(frozen=True, slots=True)
class KeyNotFound:
    """The request has no usable idempotency key.

    Parameters
    ----------
    detail : str
        The reason, for the caller.
    """

    detail: str


def extract_key(
    source: KeySource, headers: Mapping[str, str], body: bytes
) -> KeyFound | KeyNotFound:
    """Return the idempotency key of a request.

    Parameters
    ----------
    source : KeyFromHeader or KeyFromField
        The header or the field of the JSON body that holds the key, as the route declares.
    headers : mapping
        Headers of the request by name in lower case.
    body : bytes
        Body of the request.

    Returns
    -------
    found : KeyFound or KeyNotFound
        The key without surrounding white space, or the reason why there is none.
    """
    match source:
        case KeyFromHeader(header=header):
            value = headers.get(header.lower(), "").strip()
            return _validate_key(value, f"header {header!r}")
        case KeyFromField(field_path=field_path):
            return _extract_field_key(field_path, body)


def extract_created_at_ms(key: str, headers: Mapping[str, str]) -> int | None:
    """Return the time at which the caller made the request.

    The header ``x-order-created-ms`` holds the time. Without it, the time is that of the key, if
    the key is a time-ordered UUID (version 7).

    Returns
    -------
    created_at_ms : int or None
        Milliseconds since the Unix epoch; None if the request has neither.
    """
    text = headers.get(CREATED_HEADER, "")
    if text.isascii() and text.isdigit() and len(text) <= _MAX_TIME_DIGITS:
        return int(text)
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    # The first 48 bits of 128 are the time in milliseconds.
    return uuid.int >> 80 if uuid.version == _TIME_ORDERED_UUID_VERSION else None


def _extract_field_key(field_path: str, body: bytes) -> KeyFound | KeyNotFound:
    try:
        value = msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        return KeyNotFound(f"the body is not JSON: {error}")
    for name in field_path.split("."):
        if not isinstance(value, dict) or name not in value:
            return KeyNotFound(f"field {field_path!r} is missing")
        value = value[name]
    # The number 7 and the text "7" are different keys, so numbers get a prefix.
    if isinstance(value, int) and not isinstance(value, bool):
        return KeyFound(f"#{value}")
    if not isinstance(value, str):
        return KeyNotFound(f"field {field_path!r} is neither text nor a whole number")
    return _validate_key(value.strip(), f"field {field_path!r}")


def _validate_key(key: str, location: str) -> KeyFound | KeyNotFound:
    if not key:
        return KeyNotFound(f"{location} is missing")
    if len(key.encode()) > MAX_KEY_BYTES:
        return KeyNotFound(f"{location} is longer than {MAX_KEY_BYTES} bytes")
    return KeyFound(key)
