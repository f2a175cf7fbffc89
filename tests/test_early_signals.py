"""A signal that arrives while the program is loaded must not end the process.

Loading takes tenths of a second, in which the default action of SIGHUP would end the process.
"""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PROGRAM = """
import signal, sys

class ImportHook:
    def find_spec(self, name, path=None, target=None):
        if name in ("savoryarch.cli", "savoryarch.entry"):
            print("ignored" if signal.getsignal(signal.SIGHUP) is signal.SIG_IGN else "fatal")
            sys.exit(0)

sys.meta_path.insert(0, ImportHook())
import runpy
{run_statement}
"""


@pytest.mark.parametrize(
    "run_statement",
    [
        'runpy.run_module("savoryarch", run_name="__main__")',
        'sys.path.insert(0, "deploy"); runpy.run_path("deploy/main.py", run_name="__main__")',
    ],
)
def test_reload_signal_is_ignored_while_the_program_is_loaded(run_statement):
    process = subprocess.run(
        [sys.executable, "-c", PROGRAM.format(run_statement=run_statement)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30.0,
    )
    assert process.stdout.strip() == "ignored", process.stderr
