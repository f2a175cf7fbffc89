"""A short soak with a fixed seed; `make soak` plays others."""

import subprocess
import sys

import msgspec
import pytest

SOAK_TIMEOUT_S = 100.0
EXPLAINED = 5  # requests of each outcome


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_S,
    )


def requests_by_outcome(report):
    """Return ids of requests that reached an instance, by the status of their answer."""
    rows = {}
    for exchange in report["journal"]["exchanges"]:
        if exchange["status"]:
            rows.setdefault(exchange["status"], []).append(exchange["request_id"])
    return rows


@pytest.mark.process
@pytest.mark.timeout(150)
@pytest.mark.parametrize(("seed", "seconds", "instances"), [(4, 14, 2)])
def test_a_short_soak_keeps_every_promise_and_its_logs_explain_each_request(
    tmp_path, seed, seconds, instances
):
    arguments = ["--seed", seed, "--seconds", seconds, "--instances", instances, "--out", tmp_path]
    ended = run("savoryarch_soak", *arguments)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "BROKEN" not in ended.stdout
    report = msgspec.json.decode((tmp_path / "report.json").read_bytes())
    rows = requests_by_outcome(report)
    assert 200 in rows
    for status, names in rows.items():
        for name in names[-EXPLAINED:]:
            told = run("savoryarch", "explain", name, *sorted(tmp_path.glob("entry-*.log")))
            assert told.returncode == 0, (status, name, told.stderr)
            assert "request_ended" in told.stdout, (status, name, told.stdout)
