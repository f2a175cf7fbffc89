"""The commands of each page of the documentation work on an instance without targets."""

import os
import re
import subprocess
import sys
from pathlib import Path
from shlex import split

import pytest

from savoryarch_standins.harness import Cluster, ClusterPlan, EntryPlan

ROOT = Path(__file__).parent.parent.parent
PAGES = (
    "README.md",
    "docs/TUTORIAL.md",
    "docs/OPERATIONS.md",
    "docs/RESOURCES.md",
    "docs/TRACES.md",
)
TIMEOUT_S = 30.0
REFUSED_COMMANDS = {"query", "order"}  # without targets, they exit with "try again later"
# The instance may have another revision than the page, and it has no pending restore.
CONFLICTING_COMMANDS = {"delete", "restore"}
OPERATOR_COMMANDS = {"apply", "get", "delete", "watch", "status", "notices", "restore"}


@pytest.fixture(scope="module")
def entry():
    plan = ClusterPlan(
        targets="",
        entries=(EntryPlan("entry-1", "zone-a"),),
        settings={"shutdown": {"balancer_lag_ms": "0"}},
    )
    with Cluster(plan) as cluster:
        running = cluster.entries["entry-1"]
        run_command(running, "apply examples/bertolini/resources.ini")
        yield running


def commands_of(page):
    text = (ROOT / page).read_text(encoding="utf-8")
    return re.findall(r"^    savoryarch (.+)$", text, flags=re.MULTILINE)


def run_command(entry, command):
    arguments = split(command)
    if "--operators" in arguments:
        start = arguments.index("--operators")
        del arguments[start : start + 2]
    if arguments[0] in OPERATOR_COMMANDS:
        arguments += ["--operators", f"http://{entry.address('operators')}"]
    if arguments[0] in REFUSED_COMMANDS:
        arguments += ["--callers", f"http://{entry.address('callers')}"]
    if arguments[0] == "watch":
        arguments += ["--count", "1", "--since", "0"]
    return subprocess.run(
        [sys.executable, "-m", "savoryarch", *arguments],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@pytest.mark.process
@pytest.mark.timeout(300)
@pytest.mark.parametrize("page", PAGES)
def test_commands_of_a_page_exit_as_expected(entry, page):
    commands = [command for command in commands_of(page) if not command.startswith("serve")]
    assert commands
    for command in commands:
        process = run_command(entry, command)
        name = command.split()[0]
        expected = (
            {3} if name in REFUSED_COMMANDS else {0, 1} if name in CONFLICTING_COMMANDS else {0}
        )
        assert process.returncode in expected, (command, process.stdout, process.stderr)
