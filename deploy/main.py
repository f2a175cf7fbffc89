"""Starts the program that the build copied and compiled; machines cannot keep compiled files."""

import gc
import signal
import sys

# Until there are settings that can be read again, the request to do so means nothing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# What is loaded stays: collecting it while it is being loaded takes a tenth of the start.
gc.disable()

from savoryarch.cli import main  # noqa: E402

sys.exit(main())
