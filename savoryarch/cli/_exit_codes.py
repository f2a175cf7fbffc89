"""Exit codes of the program ``savoryarch``."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command; the values are stable, so that scripts can depend on them."""

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
