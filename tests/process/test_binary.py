"""The one-file program is built, runs outside of the checkout, and serves searches.

Inside the checkout, the program could use files that it does not contain.
"""

import os
import subprocess
import sys
from pathlib import Path

import pytest
import requests

from savoryarch_standins.harness import Cluster, ClusterPlan, EntryPlan

ROOT = Path(__file__).parent.parent.parent
BINARY = ROOT / "dist" / "savoryarch"
TARGETS = """
[group balcao]
services = 2
targets = 2
slots = 4
connection_limit = 40
"""
RESOURCES = """
[search counter]
shard_maps =
    1: balcao-01 balcao-02
deadline_ms = 2000
prefer = coverage
"""
TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    make = ["make", "--no-print-directory", "binary"]
    subprocess.run(make, cwd=ROOT, check=True, capture_output=True, timeout=300)
    # The program unpacks its libraries into SHIV_ROOT; on an instance without a disk, this is a
    # folder of a memory file system.
    os.environ["SHIV_ROOT"] = str(tmp_path_factory.mktemp("shiv"))
    yield BINARY
    del os.environ["SHIV_ROOT"]


@pytest.mark.process
@pytest.mark.timeout(400)
@pytest.mark.parametrize(
    ("arguments", "exit_code", "text"),
    [
        (["version"], 0, "savoryarch 0.1.0"),
        (["check", str(ROOT / "examples" / "bertolini" / "resources.ini")], 0, "no findings"),
        (["replay", str(ROOT / "traces" / "one-snapshot.trace")], 0, "holds"),
        (["check", "absent.ini"], 1, "absent.ini"),
    ],
)
def test_binary_runs_commands(binary, tmp_path, arguments, exit_code, text):
    process = subprocess.run(
        [sys.executable, str(binary), *arguments],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert process.returncode == exit_code, process.stderr
    assert text in process.stdout + process.stderr


@pytest.mark.process
@pytest.mark.timeout(120)
def test_binary_serves_a_query(binary):
    plan = ClusterPlan(
        targets=TARGETS,
        entries=(EntryPlan("entry-1", "zone-a"),),
        program=(str(binary),),
        settings={"shutdown": {"balancer_lag_ms": "0"}},
    )
    with Cluster(plan) as cluster:
        cluster.apply_resources(RESOURCES)
        entry = cluster.entries["entry-1"]
        url = f"http://{entry.address('callers')}/v1/searches/counter"
        answer = requests.post(url, data=b'{"q": "hinge"}', timeout=10)
        assert answer.status_code == 200, answer.text
        assert answer.json()["coverage"] == {"asked": 2, "answered": 2, "left_out": []}
        assert entry.stop() == 0
