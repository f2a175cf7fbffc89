"""Runs the program as ``python -m savoryarch``."""

import signal
import sys

# Until there are settings that can be read again, the request to do so means nothing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from savoryarch.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
