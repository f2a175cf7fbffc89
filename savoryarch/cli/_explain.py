"""Finds the log lines of one request, and the state of the instances that served it."""

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path

from savoryarch.exceptions import FindingsError
from savoryarch.utils import Finding, Place

_PAIR = re.compile(r'(?P<key>[a-z_]+)=(?P<value>"(?:[^"\\]|\\.)*"|[^ "]*)')
_START = re.compile(r"time=\S+ level=")
# Events that change the state of an instance. Of each, the last line before a request is shown.
STATE_EVENTS = (
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
    time : str
        Time of the event; its order as text is the order of time.
    instance : str
        Id of the instance; empty if the line does not have it.
    event : str
        Name of the event.
    fields : mapping of str to str
        All other keys and values except the level, in the order of the line.
    """

    time: str
    instance: str
    event: str
    fields: Mapping[str, str]

    def __str__(self) -> str:
        pairs = " ".join(f"{key}={value}" for key, value in self.fields.items() if value)
        return f"{self.time} {self.instance} {self.event} {pairs}".rstrip()


def parse_log_line(text: str) -> LogLine | None:
    """Parse one line; returns None if it is not a line of this program's log."""
    start = _START.search(text)
    if not start:
        return None
    pairs = {
        match["key"]: _unquote(match["value"]) for match in _PAIR.finditer(text, start.start())
    }
    if "event" not in pairs:
        return None
    metadata_keys = ("time", "instance", "event", "level")
    fields = {key: value for key, value in pairs.items() if key not in metadata_keys}
    return LogLine(pairs["time"], pairs.get("instance", ""), pairs["event"], fields)


def read_logs(paths: Iterable[str]) -> list[LogLine]:
    """Read log files.

    Parameters
    ----------
    paths : iterable of str
        Paths of the files.

    Returns
    -------
    lines : list of LogLine
        Lines of all files, sorted by time; other lines are left out.

    Raises
    ------
    FindingsError
        If files cannot be read; it lists all of them.
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
    """Return the log lines of a request, and the previous state of the instances in them.

    Parameters
    ----------
    request_id : str
        The client's id of the request.
    lines : list of LogLine
        Lines of all instances, sorted by time.

    Returns
    -------
    output : list of str
        All lines about the request. Then for each instance, the last line before the request of
        each event that changes its state, and of each target that the request was sent to.
    """
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    if not request_lines:
        return [
            f"no line names request {request_id!r}; "
            "under load, lines about successful requests are not logged"
        ]
    instances = dict.fromkeys(line.instance for line in request_lines)
    output = [f"request {request_id}: {len(request_lines)} lines of {', '.join(instances)}", ""]
    output += [str(line) for line in request_lines]
    target_ids = {name.partition("@")[0] for line in request_lines for name in _target_names(line)}
    for instance in instances:
        first_line = next(line for line in request_lines if line.instance == instance)
        earlier_lines = [
            line for line in lines if line.instance == instance and line.time <= first_line.time
        ]
        output += ["", f"state of {instance} at {first_line.time}:"]
        output += [f"  {line}" for line in _last_state_lines(earlier_lines, target_ids)]
    return output


def _last_state_lines(earlier_lines: list[LogLine], target_ids: set[str]) -> list[LogLine]:
    last_lines: dict[str, LogLine] = {}
    for line in earlier_lines:
        if line.event in STATE_EVENTS:
            last_lines[line.event] = line
        elif line.event in TARGET_EVENTS:
            name = line.fields.get("key", "").rpartition("/")[2]
            if name in target_ids:
                last_lines[name] = line
    return sorted(last_lines.values(), key=lambda line: line.time)


def _target_names(line: LogLine) -> list[str]:
    names = [line.fields.get("target", "")]
    names += line.fields.get("tried", "").split(",")
    return [name for name in names if name]


def _unquote(text: str) -> str:
    if not text.startswith('"'):
        return text
    return text[1:-1].replace("\\n", "\n").replace('\\"', '"').replace("\\\\", "\\")
