"""Structured logs: one line of key=value pairs per event."""

import os
from collections.abc import Iterable
from typing import Any

from logbook import Logger, StreamHandler, lookup_level
from twisted.logger import LogEvent, globalLogPublisher

from savoryarch.entry._log_writer import LogWriter
from savoryarch.lifetime import format_event, make_unexpected_error

STDOUT, STDERR = 1, 2  # file descriptors
DESCRIPTORS_BY_STREAM = {"stdout": STDOUT, "stderr": STDERR}

_FORMAT = "time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} {record.message}"
_LOGGER = Logger("savoryarch")
_writers: list[LogWriter] = []


def start_logging(level: str, instance_id: str, stream: str, reactor: Any) -> None:
    """Start writing log lines, also about the exceptions that reach Twisted's event loop.

    Parameters
    ----------
    level : str
        Least severe level that is written.
    instance_id : str
        Id of this instance, which every line carries.
    stream : {"stdout", "stderr"}
        Where lines are written.
    reactor : IReactorTime provider
        Schedules the retry of a write that would block.
    """
    line = f"{_FORMAT} instance={instance_id}"
    writer = LogWriter(DESCRIPTORS_BY_STREAM[stream], reactor)
    _writers.append(writer)
    StreamHandler(writer, level=lookup_level(level.upper()), format_string=line).push_application()
    observer: Any = log_failure
    globalLogPublisher.addObserver(observer)


def log_event(name: str, fields: Iterable[tuple[str, str]] = ()) -> None:
    """Log an event at level ``info``, with its fields as pairs of key and value."""
    _report_dropped_lines()
    _LOGGER.info(format_event(name, fields))


def log_routine(name: str, fields: Iterable[tuple[str, str]] = ()) -> None:
    """Log a routine success at level ``info``, unless routine lines are being dropped.

    They are dropped before other lines, as described for `LogWriter.accepts_routine_line`.
    """
    if all(writer.accepts_routine_line() for writer in _writers):
        log_event(name, fields)


def log_error(name: str, fields: Iterable[tuple[str, str]] = ()) -> None:
    """Log a failure at level ``error``, with its fields as pairs of key and value."""
    _LOGGER.error(format_event(name, fields))


def log_failure(event: LogEvent) -> None:
    """Log an exception that reached Twisted's event loop, which continues after it.

    Parameters
    ----------
    event : LogEvent
        An event of Twisted's log; ignored if it holds no failure.
    """
    failure = event.get("log_failure")
    if failure is None:
        return
    error = make_unexpected_error(failure.value, failure.getTracebackObject())
    detail = failure.getErrorMessage()
    fields = (("kind", error.kind), ("detail", detail), ("place", error.place))
    log_error("unhandled_error", fields)


def write_output(line: str) -> None:
    """Write a line to the standard output without blocking; it is lost if nobody reads."""
    try:
        os.set_blocking(STDOUT, False)
        os.write(STDOUT, f"{line}\n".encode())
    except OSError as error:
        log_error("output_lost", (("error", str(error)),))


def flush_log() -> None:
    """Write the buffered lines as far as that is possible without blocking."""
    for writer in _writers:
        writer.write_buffered()


def dropped_lines() -> int:
    """Return the number of log lines that were dropped since the start of the process."""
    return sum(writer.dropped for writer in _writers)


# One item, the number of dropped lines that was logged last. It is a list so that functions can
# change the number without a global statement.
_reported_dropped = [0]


def _report_dropped_lines() -> None:
    dropped = dropped_lines()
    if dropped >= 2 * _reported_dropped[0] + 1:
        # Logged only when the number has doubled, so that the reports do not add to the load.
        _reported_dropped[0] = dropped
        _LOGGER.warning(format_event("log_lines_dropped", (("total", str(dropped)),)))
