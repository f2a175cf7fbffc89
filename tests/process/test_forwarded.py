"""Forwarded requests through real processes without faults; `test_soak.py` injects faults."""

import socket

import pytest

from savoryarch_bench._forwarded_demo import demonstrate_forwarding
from savoryarch_soak import _small_deployment
from savoryarch_soak._instances import INSTANCE_HOST, find_free_addresses

EXIT_TIMEOUT_S = 10.0


@pytest.mark.process
def test_forwarded_requests_get_complete_answers_and_a_planned_stop_succeeds():
    assert demonstrate_forwarding() == []


@pytest.mark.process
def test_an_instance_that_cannot_listen_exits(tmp_path, monkeypatch):
    """Otherwise the process that owns the address would answer for the instance."""
    with socket.socket() as listener, _small_deployment.SmallDeployment(tmp_path) as deployment:
        front, *others = find_free_addresses(3)
        listener.bind((INSTANCE_HOST, front.port))
        listener.listen()
        monkeypatch.setattr(
            _small_deployment, "find_free_addresses", lambda count: (front, *others)
        )
        monkeypatch.setattr(_small_deployment, "_connect_when_serving", lambda address: None)
        entry, _ = deployment.start_entry()
        assert entry.wait_for_exit(EXIT_TIMEOUT_S) == 1
