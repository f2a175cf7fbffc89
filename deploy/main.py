"""Starts the program that the build copied and compiled; machines cannot keep compiled files."""

import sys

from savoryarch.cli import main

sys.exit(main())
