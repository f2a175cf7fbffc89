"""A signal that arrives while the program is loaded must not end the process by its default action.

Loading takes tenths of a second.
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
            signal.raise_signal(signal.{signal_name})
            print("loading")
            sys.exit(3)

sys.meta_path.insert(0, ImportHook())
import runpy
{run_statement}
"""


@pytest.mark.parametrize(
    ("signal_name", "exit_code", "output"),
    [("SIGHUP", 3, "loading"), ("SIGTERM", 0, ""), ("SIGINT", 0, "")],
)
@pytest.mark.parametrize(
    "run_statement",
    [
        'runpy.run_module("savoryarch", run_name="__main__")',
        'sys.path.insert(0, "deploy"); runpy.run_path("deploy/main.py", run_name="__main__")',
    ],
)
def test_a_signal_while_the_program_is_loaded_is_handled(
    run_statement, signal_name, exit_code, output
):
    """SIGHUP is ignored, and a planned stop succeeds, because nothing has been accepted."""
    program = PROGRAM.format(run_statement=run_statement, signal_name=signal_name)
    process = subprocess.run(
        [sys.executable, "-c", program, "serve", "--settings", "settings.ini"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30.0,
    )
    assert (process.returncode, process.stdout.strip()) == (exit_code, output), process.stderr
    ending = f"event=process_ending reason=stopped_at_start signal={signal_name} exit_code=0"
    assert (ending in process.stderr) == (exit_code == 0), process.stderr


def test_closed_standard_descriptors_are_opened_before_any_connection():
    """Guards against log lines on a connection that has got the number of a closed descriptor."""
    program = (
        "import os, sys\n"
        "os.close(0); os.close(1)\n"
        "from savoryarch._first_steps import prepare_process\n"
        "prepare_process()\n"
        "names = [os.readlink(f'/proc/self/fd/{number}') for number in (0, 1)]\n"
        "print(names, len(os.listdir('/proc/self/fd')), file=sys.stderr)\n"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, timeout=30.0
    )
    assert process.stderr.split("]")[0] == "['/dev/null', '/dev/null'"
