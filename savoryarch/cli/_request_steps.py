"""Requests of the commands, and the conversion of their replies to output and exit codes.

Each ``..._steps`` function is a generator that yields requests, gets their outcomes, and returns
the exit code.
"""

from collections.abc import Callable, Generator, Iterable
from typing import Any

from msgspec import json

from savoryarch.cli._exit_codes import ExitCode
from savoryarch.cli._http import HttpCall, HttpFailed, HttpOutcome, HttpReplied, RequestSteps
from savoryarch.model import Resource, ResourceKind
from savoryarch.resources import format_resource, resource_from_json, resource_to_json

WriteText = Callable[[str], None]
MAX_APPLY_ATTEMPTS = 5
WATCH_WAIT_MS = 25_000
_UNKNOWN_OUTCOME_STATUS = 504
_MIN_SERVER_ERROR_STATUS = 500


def apply_steps(
    url: str, resources: Iterable[Resource], prune: bool, change_id: str, write: WriteText
) -> RequestSteps:
    """Apply resources as one change.

    As long as the outcome is unknown, the change is sent again with the same id, at most
    `MAX_APPLY_ATTEMPTS` times in total.

    Parameters
    ----------
    url : str
        URL of the operators' API.
    resources : iterable of Resource
        Resources to put.
    prune : bool
        Whether to delete all other resources in the same change.
    change_id : str
        Id of the change.
    write : callable
        Writes the outcome.

    Returns
    -------
    exit_code : ExitCode
        Result of the generator.
    """
    changes: list[dict[str, Any]] = [{"put": _without_revision(item)} for item in resources]
    if prune:
        declared = {(item["put"]["kind"], item["put"]["name"]) for item in changes}
        existing = yield from _list_all(url, write)
        if existing is None:
            return ExitCode.UNAVAILABLE
        changes += [
            {"delete": {"kind": kind, "name": name}}
            for kind, name in existing
            if (kind, name) not in declared
        ]
    body = json.encode({"change_id": change_id, "changes": changes})
    for _ in range(MAX_APPLY_ATTEMPTS):
        outcome = yield _make_call("POST", f"{url}/v1/apply", body)
        code = _change_exit_code(outcome)
        if code is not ExitCode.UNKNOWN:
            break
    write_outcome(outcome, write)
    return code


def change_steps(call: HttpCall, write: WriteText) -> RequestSteps:
    """Send one change and write its outcome."""
    outcome = yield call
    write_outcome(outcome, write)
    return _change_exit_code(outcome)


def read_steps(
    url: str, path: str, write: WriteText, format_value: Callable[[Any], str] | None = None
) -> RequestSteps:
    """Get a path of the operators' API and write the value, as JSON by default."""
    outcome = yield _make_call("GET", url + path)
    match outcome:
        case HttpReplied(status=200, value=value):
            write((format_value or format_json)(value))
            return ExitCode.OK
        case _:
            write_outcome(outcome, write)
            return _read_exit_code(outcome)


def watch_steps(url: str, since: int, count: int, write: WriteText) -> RequestSteps:
    """Write each change after a generation as a line of JSON.

    Ends after `count` changes, or only with a failure if `count` is 0.
    """
    written_count = 0
    while True:
        outcome = yield _make_call("GET", f"{url}/v1/watch?since={since}&wait_ms={WATCH_WAIT_MS}")
        match outcome:
            case HttpReplied(status=200, value=value):
                for change in value["changes"]:
                    write(json.encode(change).decode())
                    written_count += 1
                    if written_count == count:
                        return ExitCode.OK
                since = value["generation"]
            case _:
                write_outcome(outcome, write)
                return _read_exit_code(outcome)


def submit_steps(call: HttpCall, write: WriteText) -> RequestSteps:
    """Send a request of a caller and write its outcome."""
    outcome = yield call
    write_outcome(outcome, write)
    match outcome:
        case HttpReplied(status=status) if status < 300:
            return ExitCode.OK
        case HttpReplied(value={"outcome": "unknown"}) | HttpFailed(may_have_arrived=True):
            return ExitCode.UNKNOWN
        case HttpFailed():
            return ExitCode.UNAVAILABLE
        case HttpReplied(status=status) if status >= _MIN_SERVER_ERROR_STATUS:
            return ExitCode.UNAVAILABLE
        case _:
            return ExitCode.REFUSED


def format_json(value: Any) -> str:
    """Return a value as indented JSON."""
    return json.format(json.encode(value)).decode()


def format_ini(value: Any) -> str:
    """Return one resource, or a list of resources, as the INI text that declares them.

    Raises
    ------
    ValueError
        If a resource is invalid.
    """
    items = value.get("items", [value])
    texts: list[str] = []
    for item in items:
        resource, findings = resource_from_json(ResourceKind(item["kind"]), item["name"], item)
        if resource is None:
            raise ValueError(f"got an invalid resource: {findings}")
        texts.append(format_resource(resource))
    return "\n".join(texts).rstrip()


def write_outcome(outcome: HttpOutcome, write: WriteText) -> None:
    """Write a reply, or the error of a request without a reply."""
    match outcome:
        case HttpReplied(value=str() as text):
            write(text)
        case HttpReplied(value=value):
            write(format_json(value))
        case HttpFailed(detail=detail):
            write(detail)


def _list_all(
    url: str, write: WriteText
) -> Generator[HttpCall, HttpOutcome, list[tuple[str, str]] | None]:
    existing: list[tuple[str, str]] = []
    for kind in ResourceKind:
        outcome = yield _make_call("GET", f"{url}/v1/resources/{kind.value}")
        match outcome:
            case HttpReplied(status=200, value=value):
                existing += [(item["kind"], item["name"]) for item in value["items"]]
            case _:
                write_outcome(outcome, write)
                return None
    return existing


def _without_revision(resource: Resource) -> dict[str, Any]:
    value = resource_to_json(resource, 0)
    del value["revision"]
    return value


def _make_call(method: str, url: str, body: bytes | None = None) -> HttpCall:
    headers = (("content-type", "application/json"),) if body is not None else ()
    # Allows for the time that a watch is held back, and for 5 s of processing and transfer.
    return HttpCall(method, url, body, headers, timeout_s=WATCH_WAIT_MS / 1000 + 5.0)


def _change_exit_code(outcome: HttpOutcome) -> ExitCode:
    match outcome:
        case HttpReplied(status=status) if status < 300:
            return ExitCode.OK
        case HttpReplied(status=status) if status == _UNKNOWN_OUTCOME_STATUS:
            return ExitCode.UNKNOWN
        case HttpReplied(status=status) if status >= _MIN_SERVER_ERROR_STATUS:
            return ExitCode.UNAVAILABLE
        case HttpReplied():
            return ExitCode.REFUSED
        case HttpFailed(may_have_arrived=may_have_arrived):
            return ExitCode.UNKNOWN if may_have_arrived else ExitCode.UNAVAILABLE


def _read_exit_code(outcome: HttpOutcome) -> ExitCode:
    match outcome:
        case HttpReplied(status=status) if status < _MIN_SERVER_ERROR_STATUS:
            return ExitCode.REFUSED
        case _:
            return ExitCode.UNAVAILABLE
