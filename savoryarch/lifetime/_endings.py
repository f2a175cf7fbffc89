"""The ways in which a process ends, each with its reason and its exit code."""

from collections import deque
from dataclasses import dataclass
from types import TracebackType

from savoryarch.model import ExitReason

FAILED_EXIT_CODE = 1
USAGE_EXIT_CODE = 2
MAX_DETAIL_CHARACTERS = 500
MAX_STACK_CALLS = 8


@dataclass(frozen=True, slots=True)
class ShutdownEnded:
    """The shutdown decided on the exit.

    Parameters
    ----------
    reason : ExitReason
        The decision behind the exit.
    exit_code : int
        Exit code that it chose.
    cut_count : int
        Number of requests that were cut.
    """

    reason: ExitReason
    exit_code: int
    cut_count: int


@dataclass(frozen=True, slots=True)
class LoopStopped:
    """The event loop has ended although no shutdown decided on it."""


@dataclass(frozen=True, slots=True)
class SettingsRefused:
    """The settings file cannot be read, or has findings.

    Parameters
    ----------
    findings : str
        The findings.
    """

    findings: str


@dataclass(frozen=True, slots=True)
class UsageError:
    """The command line is wrong."""


@dataclass(frozen=True, slots=True)
class UnexpectedError:
    """An exception that nothing caught.

    Parameters
    ----------
    kind : str
        Its class.
    detail : str
        Its message.
    place : str
        File and line that raised it.
    stack : str
        Files and lines of the innermost calls that led there, beginning with `place`.
    """

    kind: str
    detail: str
    place: str
    stack: str


Ending = ShutdownEnded | LoopStopped | SettingsRefused | UsageError | UnexpectedError


@dataclass(frozen=True, slots=True)
class EndingSummary:
    """What a log line tells of an ending.

    Parameters
    ----------
    reason : str
        Name of the reason.
    exit_code : int
        Exit code of the process.
    fields : tuple of (str, str)
        Further keys and values.
    """

    reason: str
    exit_code: int
    fields: tuple[tuple[str, str], ...] = ()


def summarize_ending(ending: Ending) -> EndingSummary:
    """Return the reason, the exit code and the details of an ending."""
    match ending:
        case ShutdownEnded(reason, exit_code, cut_count):
            return EndingSummary(reason.value, exit_code, (("cut", str(cut_count)),))
        case LoopStopped():
            return EndingSummary("loop_stopped", FAILED_EXIT_CODE)
        case SettingsRefused(findings):
            return EndingSummary("settings_refused", FAILED_EXIT_CODE, (("findings", findings),))
        case UsageError():
            return EndingSummary("usage_error", USAGE_EXIT_CODE)
        case UnexpectedError(kind, detail, place, stack):
            fields = (("kind", kind), ("detail", detail), ("place", place), ("stack", stack))
            return EndingSummary("unexpected_error", FAILED_EXIT_CODE, fields)


def make_unexpected_error(
    error: BaseException, frames: TracebackType | None = None
) -> UnexpectedError:
    """Describe an exception.

    Parameters
    ----------
    error : BaseException
        The exception.
    frames : traceback, optional
        Its traceback, if it is not that of the exception itself.
    """
    frames = frames or error.__traceback__
    places = deque(["unknown"], maxlen=MAX_STACK_CALLS)
    while frames is not None:
        places.appendleft(f"{frames.tb_frame.f_code.co_filename}:{frames.tb_lineno}")
        frames = frames.tb_next
    detail = str(error)[:MAX_DETAIL_CHARACTERS]
    return UnexpectedError(type(error).__name__, detail, places[0], " ".join(places))
