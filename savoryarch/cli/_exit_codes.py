"""Exit codes of the program."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code; scripts can rely on it."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4


EXIT_CODE_HELP = (
    (ExitCode.OK, "done"),
    (ExitCode.REFUSED, "findings, a conflict, a refusal, or a replay that differs"),
    (ExitCode.USAGE, "the command line is wrong"),
    (ExitCode.UNAVAILABLE, "nothing was changed; try again later"),
    (ExitCode.UNKNOWN, "it may have been done; the same command settles it"),
)
