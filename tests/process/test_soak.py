"""A short soak with a fixed seed; ``make soak`` runs other seeds.

The logs must explain each answered request, so that a violation can be traced to its cause.
"""

import subprocess
import sys

import msgspec
import pytest

SOAK_TIMEOUT_S = 100.0
EXPLAINED_PER_STATUS = 5


def run_module(*arguments):
    return subprocess.run(
        [sys.executable, "-m", *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_S,
    )


def request_ids_by_status(report):
    """Return the ids of the answered requests, by the status of the answer."""
    ids_by_status = {}
    for exchange in report["journal"]["exchanges"]:
        if exchange["status"]:
            ids_by_status.setdefault(exchange["status"], []).append(exchange["request_id"])
    return ids_by_status


@pytest.mark.process
@pytest.mark.timeout(150)
@pytest.mark.parametrize(("seed", "seconds", "instances"), [(4, 14, 2)])
def test_a_short_soak_keeps_every_promise_and_its_logs_explain_each_request(
    tmp_path, seed, seconds, instances
):
    arguments = ["--seed", seed, "--seconds", seconds, "--instances", instances, "--out", tmp_path]
    soak = run_module("savoryarch_soak", *arguments)
    assert soak.returncode == 0, soak.stdout + soak.stderr
    assert "BROKEN" not in soak.stdout
    report = msgspec.json.decode((tmp_path / "report.json").read_bytes())
    ids_by_status = request_ids_by_status(report)
    assert 200 in ids_by_status
    for status, request_ids in ids_by_status.items():
        for request_id in request_ids[-EXPLAINED_PER_STATUS:]:
            explanation = run_module(
                "savoryarch", "explain", request_id, *sorted(tmp_path.glob("entry-*.log"))
            )
            assert explanation.returncode == 0, (status, request_id, explanation.stderr)
            assert "request_ended" in explanation.stdout, (status, request_id, explanation.stdout)
