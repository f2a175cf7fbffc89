"""Decoding and validation of operators' requests."""

from dataclasses import dataclass
from typing import Any

from msgspec import DecodeError, json

from savoryarch.model import (
    Change,
    DeleteResource,
    PutResource,
    ResourceKey,
    ResourceKind,
    RestoreChoice,
    SettleRestore,
)
from savoryarch.resources import resource_from_json
from savoryarch.utils import Finding, Place, format_suggestion

MAX_BODY_BYTES = 1024 * 1024
MAX_CHANGES = 10_000  # in one request
MAX_WAIT_MS = 60_000.0  # for changes, in a request of ``GET /v1/watch``
DEFAULT_WAIT_MS = 30_000.0
MAX_CHANGE_ID_CHARACTERS = 128


class BadRequestError(Exception):
    """Raised for a request that is refused with one reason.

    Parameters
    ----------
    status : int
        HTTP status of the reply.
    reason : str
        Reason of the refusal, for programs.
    detail : str
        Description of the error, for people.
    """

    def __init__(self, status: int, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail


class InvalidRequestError(Exception):
    """Raised for a request with invalid values, after all of it was validated.

    Parameters
    ----------
    findings : tuple of Finding
        All errors in the request.
    """

    def __init__(self, findings: tuple[Finding, ...]) -> None:
        super().__init__(f"{len(findings)} findings")
        self.findings = findings


@dataclass(frozen=True, slots=True)
class AppliedChanges:
    """Decoded body of ``POST /v1/apply``.

    Parameters
    ----------
    change_id : str
        Id of the change; if it is empty, the instance makes one.
    changes : tuple of Change
        Changes that are applied together.
    """

    change_id: str
    changes: tuple[Change, ...]


def parse_kind(word: str) -> ResourceKind:
    """Parse the kind of a resource, a segment of the path.

    Raises
    ------
    BadRequestError
        If there is no such kind.
    """
    kinds = tuple(kind.value for kind in ResourceKind)
    if word not in kinds:
        detail = (
            f"kind {word!r} is unknown{format_suggestion(word, kinds)}; "
            f"kinds are {', '.join(kinds)}"
        )
        raise BadRequestError(404, "unknown_kind", detail)
    return ResourceKind(word)


def decode_json(body: bytes) -> Any:
    """Decode a JSON body.

    Raises
    ------
    BadRequestError
        If the body exceeds `MAX_BODY_BYTES` or is not JSON.
    """
    if len(body) > MAX_BODY_BYTES:
        detail = f"got a body of {len(body)} bytes, over {MAX_BODY_BYTES}"
        raise BadRequestError(413, "body_too_large", detail)
    try:
        return json.decode(body)
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise BadRequestError(400, "malformed_body", f"body is not JSON: {error}") from error


def parse_number(text: str | None, name: str, default: float | None, high: float) -> float | None:
    """Parse a number of the query string.

    Parameters
    ----------
    text : str or None
        Value of the parameter; None if it is absent.
    name : str
        Name of the parameter, for the error.
    default : float or None
        Result if the parameter is absent.
    high : float
        Largest accepted number; the smallest is 0.

    Raises
    ------
    BadRequestError
        If the value is not a number in this range.
    """
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= high:
        detail = f"got {name}={text!r}, expected a number from 0 to {high:g}"
        raise BadRequestError(400, "malformed_query", detail)
    return value


def decode_put(
    kind: ResourceKind, name: str, body: bytes, expected_revision: int | None
) -> PutResource:
    """Decode the body of a ``PUT`` of one resource.

    Raises
    ------
    BadRequestError
        If the body is too large or not JSON.
    InvalidRequestError
        If the resource is invalid.
    """
    resource, findings = resource_from_json(kind, name, decode_json(body))
    if resource is None:
        raise InvalidRequestError(findings)
    return PutResource(resource, expected_revision)


def decode_apply(body: bytes) -> AppliedChanges:
    """Decode the body of ``POST /v1/apply``.

    Raises
    ------
    BadRequestError
        If the body is too large or not JSON.
    InvalidRequestError
        If the body or one of its changes is invalid.
    """
    value = decode_json(body)
    if not isinstance(value, dict) or not isinstance(value.get("changes"), list):
        raise InvalidRequestError((_finding("changes", "expected an array of changes"),))
    items = value["changes"]
    if not 1 <= len(items) <= MAX_CHANGES:
        message = f"got {len(items)} changes, expected 1 to {MAX_CHANGES}"
        raise InvalidRequestError((_finding("changes", message),))
    change_id = value.get("change_id", "")
    if not isinstance(change_id, str) or len(change_id) > MAX_CHANGE_ID_CHARACTERS:
        message = f"expected a string of at most {MAX_CHANGE_ID_CHARACTERS} characters"
        raise InvalidRequestError((_finding("change_id", message),))
    decoded = [_decode_change(item, f"changes.{index}") for index, item in enumerate(items)]
    findings = tuple(finding for _, change_findings in decoded for finding in change_findings)
    if findings:
        raise InvalidRequestError(findings)
    return AppliedChanges(change_id, tuple(change for change, _ in decoded if change is not None))


def decode_restore(body: bytes) -> SettleRestore:
    """Decode the body of ``POST /v1/restore``.

    Raises
    ------
    BadRequestError
        If the body is too large or not JSON.
    InvalidRequestError
        If the body does not have a valid choice.
    """
    value = decode_json(body)
    choices = tuple(choice.value for choice in RestoreChoice)
    choice = value.get("choice") if isinstance(value, dict) else None
    if choice not in choices:
        message = f"got {choice!r}, expected one of {', '.join(choices)}"
        raise InvalidRequestError((_finding("choice", message),))
    return SettleRestore(RestoreChoice(choice))


def _decode_change(value: object, path: str) -> tuple[Change | None, tuple[Finding, ...]]:
    if not isinstance(value, dict) or ("put" in value) == ("delete" in value):
        return None, (_finding(path, "expected an object with either 'put' or 'delete'"),)
    expected_revision = value.get("expected_revision")
    if expected_revision is not None and (
        not isinstance(expected_revision, int) or expected_revision < 0
    ):
        message = f"got {expected_revision!r}, expected a whole number from 0"
        return None, (_finding(f"{path}.expected_revision", message),)
    operation = "put" if "put" in value else "delete"
    operand = value[operation]
    key = _decode_key(operand)
    if key is None:
        return None, (_finding(f"{path}.{operation}", "expected an object with 'kind' and 'name'"),)
    if operation == "delete":
        return DeleteResource(key, expected_revision), ()
    resource, findings = resource_from_json(key.kind, key.name, operand)
    return (None if resource is None else PutResource(resource, expected_revision)), findings


def _decode_key(value: object) -> ResourceKey | None:
    if not isinstance(value, dict) or not isinstance(value.get("name"), str):
        return None
    try:
        return ResourceKey(ResourceKind(value.get("kind")), value["name"])
    except ValueError:
        return None


def _finding(path: str, message: str) -> Finding:
    return Finding(Place("", 0, path), message)
