"""Forwarded requests through real processes, without any fault; `test_soak.py` adds the faults."""

import socket

import pytest

from savoryarch_bench._forwarded_demo import demonstrate_forwarding
from savoryarch_soak import _small_deployment
from savoryarch_soak._instances import INSTANCE_HOST, find_free_addresses

EXIT_TIMEOUT_S = 10.0


@pytest.mark.process
def test_forwarded_requests_get_whole_answers_and_a_planned_stop_is_clean():
    assert demonstrate_forwarding() == []


@pytest.mark.process
def test_an_instance_that_cannot_listen_ends(tmp_path, monkeypatch):
    """Otherwise whatever listens there would answer in its name."""
    with socket.socket() as taken, _small_deployment.SmallDeployment(tmp_path) as deployment:
        front, *others = find_free_addresses(3)
        taken.bind((INSTANCE_HOST, front.port))
        taken.listen()
        monkeypatch.setattr(
            _small_deployment, "find_free_addresses", lambda count: (front, *others)
        )
        monkeypatch.setattr(_small_deployment, "_connect_when_serving", lambda address: None)
        entry, _ = deployment.start_entry()
        assert entry.wait_for_exit(EXIT_TIMEOUT_S) == 1
