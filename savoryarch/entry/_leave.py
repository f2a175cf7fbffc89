"""Ends the process."""

import os
from typing import NoReturn

from savoryarch.entry._log import flush_log


def leave_process(exit_code: int) -> NoReturn:
    """End the process at once, when the event loop has ended.

    The interpreter's own steps at the end are left out. They would remove the signal handlers,
    replace the exit code if nobody reads the output, and release objects that threads of the
    messaging library still use.
    """
    flush_log()
    os._exit(exit_code)
