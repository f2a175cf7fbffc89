"""Replays trace files against the decisions of a complete instance."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from pathlib import Path

from savoryarch import model
from savoryarch.codec import make_message_codec
from savoryarch.configuration import apply_changes
from savoryarch.exceptions import FindingsError
from savoryarch.model import Declarations, DeclarationsInForce, PutResource, Started
from savoryarch.replay._player import TraceResult, play_trace
from savoryarch.replay._trace import Trace, TraceHeader, read_trace
from savoryarch.resources import RECORD_CODEC, parse_resources
from savoryarch.targets import TargetsSettings
from savoryarch.tier import (
    COMPONENT_MESSAGES,
    TierSettings,
    decide_tier,
    make_tier_state,
)
from savoryarch.utils import Finding, Place, parse_ini, parse_section

REPLAY_INCARNATION = 1_000_000
SETTINGS_SECTIONS = (
    "targets",
    "search",
    "admission",
    "quarantine",
    "orders",
    "configuration",
    "membership",
    "shutdown",
    "notices",
)


def replay_files(paths: Iterable[str], write: Callable[[str], None]) -> int:
    """Replay trace files; write one line for each trace and one for each difference.

    Parameters
    ----------
    paths : iterable of str
        Paths of the trace files.
    write : callable
        Called with each line of output.

    Returns
    -------
    exit_code : int
        0 if every trace holds, 1 if a trace differs or cannot be read.
    """
    exit_code = 0
    for path in paths:
        try:
            result = replay_file(Path(path))
        except FindingsError as error:
            write(f"unreadable {path}\n{error}")
            exit_code = 1
            continue
        write(_describe_result(result))
        for difference in result.differences:
            write(f"  {difference}")
            exit_code = 1
    return exit_code


def replay_file(path: Path) -> TraceResult:
    """Replay one trace file.

    Raises
    ------
    FindingsError
        If the trace, its settings or its resources cannot be read.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FindingsError((Finding(Place(str(path)), f"cannot be read: {error}"),)) from error
    trace = read_trace(text, str(path))
    header = trace.header
    start: list[object] = [
        Started(header.instance_id, header.availability_zone, REPLAY_INCARNATION)
    ]
    if header.resources:
        start.append(DeclarationsInForce(_read_resources(path.parent / header.resources)))
    state = make_tier_state(_read_settings(header), RECORD_CODEC)
    codec = make_message_codec(model, *COMPONENT_MESSAGES)
    return play_trace(trace, state, decide_tier, codec, tuple(start))


def _read_settings(header: TraceHeader) -> TierSettings:
    """Return the default settings with the values that the trace header gives."""
    settings = TierSettings(
        header.instance_id,
        header.availability_zone,
        REPLAY_INCARNATION,
        TargetsSettings(header.availability_zone, header.instance_id),
    )
    document, findings = parse_ini(header.settings, "settings")
    for section in document.sections:
        if section.name not in SETTINGS_SECTIONS:
            expected = f"expected one of {', '.join(SETTINGS_SECTIONS)}"
            findings += (Finding(section.place, f"got section {section.name!r}, {expected}"),)
            continue
        default = getattr(settings, section.name)
        value, section_findings = parse_section(section, type(default))
        findings += section_findings
        given = {entry.key: getattr(value, entry.key) for entry in section.entries if value}
        settings = replace(settings, **{section.name: replace(default, **given)})
    if findings:
        raise FindingsError(findings)
    return settings


def _read_resources(path: Path) -> Declarations:
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        raise FindingsError((Finding(Place(str(path)), f"cannot be read: {error}"),)) from error
    declared, findings = parse_resources(text, str(path))
    if findings:
        raise FindingsError(findings)
    changes = tuple(PutResource(item.resource) for item in declared)
    return apply_changes(Declarations(generation=1), changes)


def _describe_result(result: TraceResult) -> str:
    trace: Trace = result.trace
    verdict = "differs" if result.differences else "holds"
    return f"{verdict} {trace.source}: {trace.header.promise} ({result.effect_count} effects)"
