"""What a signal does to the program while it is still being loaded."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
RUN = """
import signal, sys

class Watch:
    def find_spec(self, name, path=None, target=None):
        if name == "savoryarch.cli":
            print("ignored" if signal.getsignal(signal.SIGHUP) is signal.SIG_IGN else "fatal")
            sys.exit(0)

sys.meta_path.insert(0, Watch())
import runpy
{run}
"""


@pytest.mark.parametrize(
    "run",
    [
        'runpy.run_module("savoryarch", run_name="__main__")',
        'runpy.run_path("deploy/main.py", run_name="__main__")',
    ],
)
def test_a_request_to_reload_is_ignored_before_the_program_is_loaded(run):
    """Loading takes tenths of a second, in which the signal would end the process."""
    ended = subprocess.run(
        [sys.executable, "-c", RUN.format(run=run)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30.0,
    )
    assert ended.stdout.strip() == "ignored", ended.stderr
