"""Parses the body of ``POST /switches``: fields of `Behaviour`, chart events, index versions."""

from dataclasses import dataclass, fields, replace
from typing import Any

from msgspec import ValidationError, convert, to_builtins
from msgspec.json import decode

from savoryarch.utils import Finding, Place
from savoryarch_standins.target._model import Behaviour, BehaviourChanged, ChartEventTriggered

_DRIVE_EVENTS = ("drain", "restore", "freeze", "thaw", "crash")


@dataclass(frozen=True, slots=True)
class ParsedSwitches:
    """The events that a request asks for, or what is wrong with the request."""

    events: tuple[BehaviourChanged | ChartEventTriggered, ...] = ()
    findings: tuple[Finding, ...] = ()


def read_switches(body: bytes, current: Behaviour) -> ParsedSwitches:
    """Parse the body of ``POST /switches``.

    Parameters
    ----------
    body : bytes
        A JSON object. Its keys are the fields of `Behaviour`; ``drive``, with one of the chart
        events ``drain``, ``restore``, ``freeze``, ``thaw`` and ``crash``; and ``advance_index``,
        with the number of index versions by which every served snapshot advances.
    current : Behaviour
        The present behaviour; fields that the body does not name keep their value.

    Returns
    -------
    ParsedSwitches
        The events, or the findings if the body is malformed or has unknown keys.
    """
    try:
        requested: dict[str, Any] = decode(body or b"{}", type=dict[str, Any])
        drive = requested.pop("drive", None)
        version_count = int(requested.pop("advance_index", 0))
        unknown = sorted(set(requested) - {item.name for item in fields(Behaviour)})
        if unknown or drive not in (None, *_DRIVE_EVENTS):
            message = f"got {', '.join(unknown) or drive!r}, expected switches of Behaviour"
            return ParsedSwitches(findings=(Finding(Place("switches"), message),))
        behaviour = convert({**to_builtins(current), **requested}, Behaviour)
    except (ValidationError, ValueError, TypeError) as error:
        return ParsedSwitches(findings=(Finding(Place("switches"), str(error)),))
    if version_count:
        behaviour = advance_index(behaviour, version_count)
    switched = (BehaviourChanged(behaviour),) if behaviour != current else ()
    return ParsedSwitches((*switched, ChartEventTriggered(drive)) if drive else switched)


def advance_index(behaviour: Behaviour, version_count: int) -> Behaviour:
    """Return the behaviour with every served snapshot advanced by `version_count` versions."""
    advanced = []
    for snapshot in behaviour.snapshots.split(","):
        shard_map, _, index = snapshot.partition(".")
        advanced.append(f"{shard_map}.{int(index) + version_count}")
    return replace(behaviour, snapshots=",".join(advanced))
