"""Runs the program as ``python -m savoryarch``."""

import sys

from savoryarch.cli import main

if __name__ == "__main__":
    sys.exit(main())
