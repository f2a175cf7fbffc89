"""Reads trace files, which hold one JSON object per line."""

from dataclasses import dataclass
from typing import Any

from msgspec import DecodeError, ValidationError, convert, json

from savoryarch.exceptions import FindingsError
from savoryarch.utils import Finding, Place


@dataclass(frozen=True, slots=True)
class TraceHeader:
    """Header of a trace, its first line.

    Parameters
    ----------
    trace : str
        Name of the trace.
    promise : str
        One sentence with the property that the trace checks.
    instance_id, availability_zone : str
        Identity of the instance at which the trace was recorded.
    resources : str
        Path of the file with the declared resources, relative to the trace; empty for none.
    settings : str
        INI text with the settings that differ from their defaults.
    never : tuple of dict
        Patterns that no effect of the trace may match.
    """

    trace: str
    promise: str
    instance_id: str = "entry-1"
    availability_zone: str = "a"
    resources: str = ""
    settings: str = ""
    never: tuple[dict[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class EventStep:
    """Feeds an event at a time, after the timers that are due by then have fired."""

    place: Place
    at_ms: float
    event: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ExpectStep:
    """Requires an effect that matches a pattern among those decided since the last event step."""

    place: Place
    expect: dict[str, Any]


@dataclass(frozen=True, slots=True)
class ForbidStep:
    """Forbids effects that match a pattern among those decided since the last event step."""

    place: Place
    forbid: dict[str, Any]


@dataclass(frozen=True, slots=True)
class AdvanceStep:
    """Advances the time and fires the timers that are due; counts as an event step."""

    place: Place
    advance_to_ms: float


Step = EventStep | ExpectStep | ForbidStep | AdvanceStep


@dataclass(frozen=True, slots=True)
class Trace:
    """A trace file: its path, header and steps."""

    source: str
    header: TraceHeader
    steps: tuple[Step, ...]


def read_trace(text: str, source: str) -> Trace:
    """Parse the text of a trace file.

    Parameters
    ----------
    text : str
        Content of the file.
    source : str
        Name of the file, for findings.

    Raises
    ------
    FindingsError
        With one finding for each line that cannot be parsed.
    """
    findings: list[Finding] = []
    header: TraceHeader | None = None
    steps: list[Step] = []
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        place = Place(source, number)
        try:
            plain = json.decode(line)
            if header is None:
                header = convert(plain, TraceHeader)
            else:
                steps.append(_read_step(plain, place))
        except (DecodeError, ValidationError, ValueError) as error:
            findings.append(Finding(place, str(error)))
    if header is None:
        findings.append(Finding(Place(source), "expected a first line with the key 'trace'"))
    if findings or header is None:
        raise FindingsError(tuple(findings))
    return Trace(source, header, tuple(steps))


def _read_step(plain: object, place: Place) -> Step:
    match plain:
        case {
            "at_ms": int() | float() as at_ms,
            "event": dict() as event,
            **extra_keys,
        } if not extra_keys:
            return EventStep(place, float(at_ms), event)
        case {"advance_to_ms": int() | float() as at_ms, **extra_keys} if not extra_keys:
            return AdvanceStep(place, float(at_ms))
        case {"expect": dict() as expect, **extra_keys} if not extra_keys:
            return ExpectStep(place, expect)
        case {"forbid": dict() as forbid, **extra_keys} if not extra_keys:
            return ForbidStep(place, forbid)
        case _:
            raise ValueError(
                f"got {plain!r:.80}, expected at_ms with event, advance_to_ms, expect or forbid"
            )
