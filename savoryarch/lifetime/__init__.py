"""What a process knows of its own life: the steps of its start, its limits, its use and its end."""

from savoryarch.lifetime._early_ending import (
    format_early_ending,
    make_ending_fields,
    report_uncaught_exceptions,
)
from savoryarch.lifetime._endings import (
    Ending,
    EndingSummary,
    LoopStopped,
    SettingsRefused,
    ShutdownEnded,
    UnexpectedError,
    UsageError,
    make_unexpected_error,
    summarize_ending,
)
from savoryarch.lifetime._event_line import format_event
from savoryarch.lifetime._start_steps import StartSteps, StepEnd, begin_start
from savoryarch.lifetime._usage import (
    ProcessLimits,
    ProcessUsage,
    read_age_ms,
    read_limits,
    read_usage,
)

__all__ = [
    "Ending",
    "EndingSummary",
    "LoopStopped",
    "ProcessLimits",
    "ProcessUsage",
    "SettingsRefused",
    "ShutdownEnded",
    "StartSteps",
    "StepEnd",
    "UnexpectedError",
    "UsageError",
    "begin_start",
    "format_early_ending",
    "format_event",
    "make_ending_fields",
    "make_unexpected_error",
    "read_age_ms",
    "read_limits",
    "read_usage",
    "report_uncaught_exceptions",
    "summarize_ending",
]
