"""Logs: one line of key=value pairs per event."""

import sys
from collections.abc import Iterable

from logbook import Logger, StreamHandler, lookup_level

_FORMAT = "time={record.time:%Y-%m-%dT%H:%M:%S.%f} level={record.level_name} {record.message}"
_LOGGER = Logger("savoryarch")


def start_log(level: str, instance_id: str) -> None:
    """Write log lines at `level` and above to standard error."""
    text = f"{_FORMAT} instance={instance_id}"
    StreamHandler(
        sys.stderr, level=lookup_level(level.upper()), format_string=text
    ).push_application()


def log_event(name: str, fields: Iterable[tuple[str, str]] = ()) -> None:
    """Log one event."""
    _LOGGER.info(format_event(name, fields))


def log_error(name: str, fields: Iterable[tuple[str, str]] = ()) -> None:
    """Log one event that is an error of this program."""
    _LOGGER.error(format_event(name, fields))


def format_event(name: str, fields: Iterable[tuple[str, str]]) -> str:
    """Format one event as ``event=NAME key=value ...``; values with spaces are quoted."""
    return " ".join([f"event={name}", *(f"{key}={_quote(value)}" for key, value in fields)])


def _quote(value: str) -> str:
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t") + '"'
