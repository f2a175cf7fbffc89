"""Forwarded requests through real processes without faults; `test_soak.py` injects faults."""

import os
import signal
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing, suppress
from http.client import HTTPConnection
from threading import Event, Timer

import pytest

from savoryarch_bench._forwarded_demo import demonstrate_forwarding
from savoryarch_soak import _small_deployment
from savoryarch_soak._instances import INSTANCE_HOST, find_free_addresses, render_settings

EXIT_TIMEOUT_S = 10.0
MAX_START_ATTEMPTS = 5
TAKEN_S = 8.0  # longer than the 6 s in which a predecessor finishes its requests


@pytest.mark.process
def test_forwarded_requests_get_complete_answers_and_a_planned_stop_succeeds():
    assert demonstrate_forwarding() == []


def is_open(address):
    try:
        socket.create_connection((address.host, address.port), timeout=1.0).close()
    except OSError:
        return False
    return True


def read_readiness(address):
    """Return the status of the readiness page."""
    with closing(HTTPConnection(address.host, address.port, timeout=EXIT_TIMEOUT_S)) as connection:
        connection.request("GET", "/ready")
        return connection.getresponse().status


@pytest.mark.process
@pytest.mark.parametrize("listening", [True, False])
def test_an_instance_whose_front_is_taken_for_long_neither_ends_nor_becomes_ready(
    tmp_path, monkeypatch, listening
):
    """Guards against processes that end 5 s after their start, and again after each restart.

    An instance that is not ready gets no clients from the load balancer, so that the process that
    owns the address does not answer for it.
    """
    front, ready, peers = find_free_addresses(3)
    monkeypatch.setattr(
        _small_deployment, "find_free_addresses", lambda count: (front, ready, peers)
    )
    monkeypatch.setattr(_small_deployment, "_connect_when_serving", lambda address: None)
    with socket.socket() as owner, _small_deployment.SmallDeployment(tmp_path) as deployment:
        owner.bind((INSTANCE_HOST, front.port))
        if listening:
            owner.listen()
        entry, _ = deployment.start_entry()
        Event().wait(TAKEN_S)
        assert entry.is_running()
        assert read_readiness(ready) == 503
        owner.close()
        until_s = time.monotonic() + EXIT_TIMEOUT_S
        while read_readiness(ready) != 200:
            assert time.monotonic() < until_s
            Event().wait(0.1)
        with closing(HTTPConnection(front.host, front.port)) as connection:
            answer = _small_deployment.send_request(connection, "read", "after")
        assert answer.status == 200
        entry.send_signal(signal.SIGTERM)
        assert entry.wait_for_exit(EXIT_TIMEOUT_S) == 0


@pytest.mark.process
@pytest.mark.parametrize("name", ["callers", "operators"])
def test_an_instance_whose_own_interface_is_taken_opens_it_later(tmp_path, name):
    """Guards against processes that end at their start, and again after each restart."""
    *addresses, store, taken = find_free_addresses(5)
    settings = render_settings(0, 1, addresses, store)
    path = tmp_path / "entry.ini"
    for earlier, later in (
        (f"[{name}]\nenabled = no", f"[{name}]\nhost = {taken.host}\nport = {taken.port}"),
        ("enabled = yes", "enabled = no"),
        ("await_targets = yes", "await_targets = no"),
    ):
        assert earlier in settings
        settings = settings.replace(earlier, later)
    path.write_text(settings, encoding="utf-8")
    command = [sys.executable, "-m", "savoryarch", "serve", "--settings", str(path)]
    with socket.create_server((taken.host, taken.port)):
        process = subprocess.Popen(command, stdout=subprocess.DEVNULL)
        with suppress(subprocess.TimeoutExpired):
            process.wait(TAKEN_S)
    try:
        until_s = time.monotonic() + EXIT_TIMEOUT_S
        while not is_open(taken):
            assert process.poll() is None
            assert time.monotonic() < until_s
            Event().wait(0.1)
        process.send_signal(signal.SIGTERM)
        assert process.wait(EXIT_TIMEOUT_S) == 0
    finally:
        process.kill()
        process.wait()


@pytest.mark.process
@pytest.mark.parametrize("taken", [0, 1, 2])
def test_an_instance_waits_for_an_address_that_is_in_use(tmp_path, monkeypatch, taken):
    """Guards against processes that end, or run without peers, as a socket has their address.

    The socket is bound and does not listen, like the end of an outgoing connection.
    """
    addresses = find_free_addresses(3)
    monkeypatch.setattr(_small_deployment, "find_free_addresses", lambda count: addresses)
    with socket.socket() as holder, _small_deployment.SmallDeployment(tmp_path) as deployment:
        holder.bind((INSTANCE_HOST, addresses[taken].port))
        # The front and the peers' address are opened up to 1.5 s after the start.
        released = Timer(3.0, holder.close)
        released.start()
        try:
            entry, connection = deployment.start_entry()
            answer = _small_deployment.send_request(connection, "read", "after")
            assert answer.status == 200
            released.join()
            until_s = time.monotonic() + EXIT_TIMEOUT_S
            while not is_open(addresses[taken]):
                assert time.monotonic() < until_s
                Event().wait(0.1)
            assert entry.is_running()
        finally:
            released.cancel()


@pytest.mark.process
@pytest.mark.parametrize("late", [signal.SIGHUP, signal.SIGTERM])
def test_a_late_signal_does_not_end_a_finished_process(tmp_path, late):
    """Guards against an exit by a signal: the interpreter drops its handlers while it ends."""
    with _small_deployment.SmallDeployment(tmp_path) as deployment:
        entry, connection = deployment.start_entry()
        connection.close()
        entry.send_signal(signal.SIGTERM)
        while entry.is_running():
            entry.send_signal(late)
            Event().wait(0.0005)
        assert entry.wait_for_exit(EXIT_TIMEOUT_S) == 0


@pytest.mark.process
@pytest.mark.parametrize("reader", ["gone", "stuck"])
def test_output_that_nobody_reads_does_not_change_the_exit_code(tmp_path, reader):
    """Guards against code 120 of a finished stop: the interpreter cannot write its last output."""
    addresses = find_free_addresses(4)
    path = tmp_path / "entry.ini"
    path.write_text(render_settings(0, 1, addresses[:3], addresses[3]), encoding="utf-8")
    reading, writing = os.pipe()
    if reader == "gone":
        os.close(reading)
    else:
        os.set_blocking(writing, False)
        with suppress(BlockingIOError):
            while True:
                os.write(writing, b"x" * 4096)
        os.set_blocking(writing, True)
    command = [sys.executable, "-m", "savoryarch", "serve", "--settings", str(path)]
    # Without buffers of its own, the interpreter would have nothing left to write at its end.
    environment = {name: value for name, value in os.environ.items() if name != "PYTHONUNBUFFERED"}
    process = subprocess.Popen(command, stdout=writing, stderr=subprocess.DEVNULL, env=environment)
    try:
        until_s = time.monotonic() + EXIT_TIMEOUT_S
        while not is_open(addresses[1]):
            assert process.poll() is None
            assert time.monotonic() < until_s
            Event().wait(0.1)
        process.send_signal(signal.SIGTERM)
        assert process.wait(EXIT_TIMEOUT_S) == 0
    finally:
        process.kill()
        os.close(writing)
        if reader == "stuck":
            os.close(reading)


def start_and_stop_before_peers_open(deployment, peers):
    """Return an instance that stops, and a connection to it, before it opened the peers' address.

    That takes more than one attempt if the machine is too busy to stop the instance in time.
    """
    for _ in range(MAX_START_ATTEMPTS):
        entry, connection = deployment.start_entry()
        entry.send_signal(signal.SIGTERM)
        if not is_open(peers):
            return entry, connection
        connection.close()
        assert entry.wait_for_exit(EXIT_TIMEOUT_S) == 0
    raise TimeoutError(f"the peers' address was open before each of {MAX_START_ATTEMPTS} stops")


@pytest.mark.process
def test_an_instance_that_stops_opens_no_further_addresses(tmp_path, monkeypatch):
    """Guards against requests that a planned stop cuts while the modules for peers are loaded."""
    addresses = find_free_addresses(3)
    peers = addresses[2]
    monkeypatch.setattr(_small_deployment, "find_free_addresses", lambda count: addresses)
    with _small_deployment.SmallDeployment(tmp_path) as deployment, ThreadPoolExecutor() as threads:
        entry, connection = start_and_stop_before_peers_open(deployment, peers)
        for replica in range(_small_deployment.REPLICAS):
            deployment.set_switches(replica, work_ms=1500.0)
        answer = threads.submit(_small_deployment.send_request, connection, "read", "late")
        while not answer.done():
            assert not is_open(peers)
            Event().wait(0.05)
        assert answer.result().status == 200
        connection.close()
        assert entry.wait_for_exit(EXIT_TIMEOUT_S) == 0
