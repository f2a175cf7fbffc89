"""Logs: one line of key=value pairs per event."""

from collections.abc import Iterable
from typing import Any

from logbook import Logger, StreamHandler, lookup_level
from twisted.logger import LogEvent, globalLogPublisher

from savoryarch.entry._log_writer import LogWriter

STREAMS = {"stdout": 1, "stderr": 2}

_FORMAT = "time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} {record.message}"
_LOGGER = Logger("savoryarch")
_writers: list[LogWriter] = []


def start_logging(level: str, instance_id: str, stream: str, reactor: Any) -> None:
    """Write log lines at `level` and above to ``stdout`` or ``stderr``."""
    text = f"{_FORMAT} instance={instance_id}"
    writer = LogWriter(STREAMS[stream], reactor)
    _writers.append(writer)
    StreamHandler(writer, level=lookup_level(level.upper()), format_string=text).push_application()
    observer: Any = log_failure
    globalLogPublisher.addObserver(observer)


def log_event(name: str, fields: Iterable[tuple[str, str]] = ()) -> None:
    """Log one event."""
    _report_dropped_lines()
    _LOGGER.info(format_event(name, fields))


def log_routine(name: str, fields: Iterable[tuple[str, str]] = ()) -> None:
    """Log one event that went well; it is the first to be dropped when there are too many."""
    if all(writer.accepts_routine_line() for writer in _writers):
        log_event(name, fields)


def log_error(name: str, fields: Iterable[tuple[str, str]] = ()) -> None:
    """Log one event that is an error of this program."""
    _LOGGER.error(format_event(name, fields))


def log_failure(event: LogEvent) -> None:
    """Log an exception that reached Twisted's loop, which goes on after it."""
    failure = event.get("log_failure")
    if failure is None:
        return
    frames = failure.getTracebackObject()
    while frames is not None and frames.tb_next is not None:
        frames = frames.tb_next
    place = f"{frames.tb_frame.f_code.co_filename}:{frames.tb_lineno}" if frames else "unknown"
    kind = type(failure.value).__name__
    fields = (("kind", kind), ("detail", failure.getErrorMessage()), ("place", place))
    log_error("unhandled_error", fields)


def dropped_lines() -> int:
    """Return the number of lines that were dropped since the start."""
    return sum(writer.dropped for writer in _writers)


def format_event(name: str, fields: Iterable[tuple[str, str]]) -> str:
    """Format one event as ``event=NAME key=value ...``; values with spaces are quoted."""
    return " ".join([f"event={name}", *(f"{key}={_quote(value)}" for key, value in fields)])


_reported_dropped = [0]


def _report_dropped_lines() -> None:
    dropped = dropped_lines()
    if dropped >= 2 * _reported_dropped[0] + 1:
        # Told each time the number has doubled, so that telling it does not add to the load.
        _reported_dropped[0] = dropped
        _LOGGER.warning(format_event("log_lines_dropped", (("total", str(dropped)),)))


def _quote(value: str) -> str:
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'
