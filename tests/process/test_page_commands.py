"""Runs the commands of every page, in order, against one entry instance without targets."""

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
REFUSED = {"query", "order"}  # nothing serves them: "try again later"
DECIDED = {"delete", "restore"}  # the revision is another one; there is nothing to decide
OF_OPERATORS = {"apply", "get", "delete", "watch", "status", "notices", "restore"}


@pytest.fixture(scope="module")
def entry():
    plan = ClusterPlan(
        targets="",
        entries=(EntryPlan("entry-1", "zone-a"),),
        settings={"shutdown": {"balancer_lag_ms": "0"}},
    )
    with Cluster(plan) as cluster:
        running = cluster.entries["entry-1"]
        run(running, "apply examples/bertolini/resources.ini")
        yield running


def commands_of(page):
    text = (ROOT / page).read_text(encoding="utf-8")
    return re.findall(r"^    savoryarch (.+)$", text, flags=re.MULTILINE)


def run(entry, command):
    arguments = split(command)
    if "--operators" in arguments:
        start = arguments.index("--operators")
        del arguments[start : start + 2]
    if arguments[0] in OF_OPERATORS:
        arguments += ["--operators", f"http://{entry.address('operators')}"]
    if arguments[0] in REFUSED:
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
def test_commands_of_a_page(entry, page):
    commands = [command for command in commands_of(page) if not command.startswith("serve")]
    assert commands
    for command in commands:
        ended = run(entry, command)
        name = command.split()[0]
        expected = {3} if name in REFUSED else {0, 1} if name in DECIDED else {0}
        assert ended.returncode in expected, (command, ended.stdout, ended.stderr)
