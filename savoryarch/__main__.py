"""Runs the program as ``python -m savoryarch``."""

import signal
import sys

# SIGHUP requests to reload the settings. It is ignored from the first line on, because its default
# action would end a process that has not loaded its settings yet.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from savoryarch.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
