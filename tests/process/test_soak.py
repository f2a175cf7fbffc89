"""A short soak with a fixed seed; `make soak` plays others."""

import subprocess
import sys

import pytest

SOAK_TIMEOUT_S = 100.0


@pytest.mark.process
@pytest.mark.timeout(120)
@pytest.mark.parametrize(("seed", "seconds", "instances"), [(4, 12, 2)])
def test_a_short_soak_keeps_every_promise(seed, seconds, instances):
    arguments = ["--seed", seed, "--seconds", seconds, "--instances", instances]
    ended = subprocess.run(
        [sys.executable, "-m", "savoryarch_soak", *map(str, arguments)],
        capture_output=True,
        text=True,
        timeout=SOAK_TIMEOUT_S,
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "BROKEN" not in ended.stdout
