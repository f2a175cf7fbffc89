"""Tells the story of one request from the log lines of several instances."""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

from savoryarch.exceptions import FindingsError
from savoryarch.utils import Finding, Place

_PAIR = re.compile(r'(?P<key>[a-z_]+)=(?P<value>"(?:[^"\\]|\\.)*"|[^ "]*)')
_START = re.compile(r"time=\S+ level=")
# Events that change what an instance believes; the last one of each before a request is shown.
BELIEFS = (
    "started",
    "table_in_force",
    "store_lost",
    "store_regained",
    "settings_reloaded",
    "shutdown_started",
    "log_lines_dropped",
)
TARGET_EVENTS = ("target_learned", "target_draining", "target_gone")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a log.

    Parameters
    ----------
    time, instance, event : str
        When, which instance, and the name of the event; `time` sorts as text.
    fields : mapping of str to str
        Every other pair, in order.
    """

    time: str
    instance: str
    event: str
    fields: Mapping[str, str]

    def __str__(self) -> str:
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items() if value)
        return f"{self.time} {self.instance} {self.event} {pairs}".rstrip()


def parse_log_line(text: str) -> LogLine | None:
    """Parse one line; None if it is not one of this program's log."""
    found = _START.search(text)
    if not found:
        return None
    pairs = {
        match["key"]: _unquote(match["value"]) for match in _PAIR.finditer(text, found.start())
    }
    if "event" not in pairs:
        return None
    own = ("time", "instance", "event", "level")
    fields = {key: value for key, value in pairs.items() if key not in own}
    return LogLine(pairs["time"], pairs.get("instance", ""), pairs["event"], fields)


def read_logs(paths: Iterable[str]) -> list[LogLine]:
    """Read log files; returns their lines in the order of time.

    Raises
    ------
    FindingsError
        Names every file that cannot be read.
    """
    lines: list[LogLine] = []
    findings: list[Finding] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            findings.append(Finding(Place(path), f"cannot be read: {error.strerror}"))
            continue
        lines += [line for line in map(parse_log_line, text.splitlines()) if line]
    if findings:
        raise FindingsError(tuple(findings))
    return sorted(lines, key=lambda line: line.time)


def explain_request(request_id: str, lines: list[LogLine]) -> list[str]:
    """Return the story of a request: what happened to it, and what was believed before."""
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return [
            f"no line names request {request_id!r}: "
            "lines about requests that went well are left out under load"
        ]
    instances = dict.fromkeys(line.instance for line in own)
    told = [f"request {request_id}: {len(own)} lines of {', '.join(instances)}", ""]
    told += [str(line) for line in own]
    targets = {name.partition("@")[0] for line in own for name in _targets_of(line)}
    for instance in instances:
        first = next(line for line in own if line.instance == instance)
        before = [line for line in lines if line.instance == instance and line.time <= first.time]
        told += ["", f"what {instance} believed at {first.time}:"]
        told += [f"  {line}" for line in _beliefs(before, targets)]
    return told


def _beliefs(before: list[LogLine], targets: set[str]) -> list[LogLine]:
    last: dict[str, LogLine] = {}
    for line in before:
        if line.event in BELIEFS:
            last[line.event] = line
        elif line.event in TARGET_EVENTS:
            name = line.fields.get("key", "").rpartition("/")[2]
            if name in targets:
                last[name] = line
    return sorted(last.values(), key=lambda line: line.time)


def _targets_of(line: LogLine) -> list[str]:
    names = [line.fields.get("target", "")]
    names += line.fields.get("tried", "").split(",")
    return [name for name in names if name]


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    return text[1:-1].replace("\\n", "\n").replace('\\"', '"').replace("\\\\", "\\")
