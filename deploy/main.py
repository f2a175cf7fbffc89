"""Starts the program that the build copied and compiled; machines cannot keep compiled files."""

import gc
import sys

# What is loaded stays: collecting it while it is being loaded takes a tenth of the start.
gc.disable()

from savoryarch.cli import main  # noqa: E402

sys.exit(main())
