"""Log lines about the end of a process that has not started its log."""

import sys
from datetime import datetime
from types import TracebackType

from savoryarch.lifetime._endings import Ending, make_unexpected_error, summarize_ending
from savoryarch.lifetime._event_line import format_event
from savoryarch.lifetime._usage import ProcessUsage, read_usage

_UNKNOWN = "unknown"


def format_early_ending(ending: Ending) -> str:
    """Return the log line ``process_ending`` for the output of a process without a log."""
    text = format_event("process_ending", make_ending_fields(ending, read_usage()))
    return f"time={datetime.now():%Y-%m-%dT%H:%M:%S.%f} level=ERROR {text}"


def report_uncaught_exceptions() -> None:
    """Let the interpreter write the line after its report of an exception that ends the process."""
    sys.excepthook = _report_exception


def make_ending_fields(
    ending: Ending,
    usage: ProcessUsage,
    signal_name: str = "none",
    uptime_ms: float | None = None,
) -> tuple[tuple[str, str], ...]:
    """Return the fields of the line ``process_ending``.

    Parameters
    ----------
    ending : Ending
        The way in which the process ends.
    usage : ProcessUsage
        What the process has used.
    signal_name : str, optional
        Name of the signal that asked for the end.
    uptime_ms : float or None, optional
        Time since the process was executed; None if it is not known.
    """
    summary = summarize_ending(ending)
    count = usage.descriptor_count
    return (
        ("reason", summary.reason),
        ("signal", signal_name),
        ("exit_code", str(summary.exit_code)),
        *summary.fields,
        ("peak_memory_bytes", str(usage.peak_memory_bytes)),
        ("descriptors", _UNKNOWN if count is None else str(count)),
        ("processor_ms", f"{usage.processor_ms:.0f}"),
        ("uptime_ms", _UNKNOWN if uptime_ms is None else f"{uptime_ms:.0f}"),
    )


def _report_exception(
    kind: type[BaseException], error: BaseException, frames: TracebackType | None
) -> None:
    sys.__excepthook__(kind, error, frames)
    print(format_early_ending(make_unexpected_error(error, frames)), file=sys.stderr)
