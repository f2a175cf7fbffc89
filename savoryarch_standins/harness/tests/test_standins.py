"""The instance list and the balancer, as the processes that tests start."""

import signal
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

import pytest
import requests

from savoryarch_standins.harness import start_process

ROW = {
    "instance_id": "entry-1",
    "role": "entry",
    "availability_zone": "zone-a",
    "host": "127.0.0.1",
    "port": 7001,
    "state": "live",
}
TIMEOUT_S = 10.0


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("standins")


@pytest.fixture(scope="module")
def instance_list(folder):
    process = start_process(
        "instance-list", ["-m", "savoryarch_standins.instance_list", "--port", "0"], folder
    )
    yield process
    process.stop()


@pytest.fixture(scope="module")
def balancer(folder):
    process = start_process("balancer", ["-m", "savoryarch_standins.balancer"], folder)
    yield process
    process.stop()


def ask(process):
    reply = requests.get(f"http://{process.address()}/v1/instances", timeout=TIMEOUT_S)
    return reply.status_code, reply.json().get("instances")


def switch(address, **switches):
    reply = requests.post(f"http://{address}/switches", json=switches, timeout=TIMEOUT_S)
    return reply.status_code


CALM = {"lag_ms": 0, "stale": False, "empty": False, "outage": False}


@pytest.mark.process
@pytest.mark.parametrize(
    ("switches", "expected"),
    [
        ({}, (200, [ROW])),
        ({"empty": True}, (200, [])),
        ({"outage": True}, (503, None)),
        ({"rows": []}, (200, [])),
        ({"stale": True, "rows": []}, (200, [ROW])),
        ({"lag_ms": 60_000, "rows": []}, (200, [ROW])),
    ],
)
def test_instance_list(instance_list, switches, expected):
    assert switch(instance_list.address(), rows=[ROW], **CALM) == 200
    assert switch(instance_list.address(), **switches) == 200
    assert ask(instance_list) == expected


@pytest.mark.process
@pytest.mark.parametrize("switches", [{"rows": [{}]}, {"lagg_ms": 1}, {"stale": "yes"}])
def test_wrong_switches_are_refused(instance_list, switches):
    assert switch(instance_list.address(), **switches) == 422


class Entry:
    """An entry instance that says its name, and its readiness as told."""

    def __init__(self, name):
        entry = self
        self.readiness = 200

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                self.send_response(entry.readiness if self.path == "/ready" else 200)
                self.send_header("content-length", str(len(name)))
                self.end_headers()
                self.wfile.write(name.encode())

            def log_message(self, *arguments):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.port = self.server.server_port
        Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


@pytest.fixture
def entries():
    made = [Entry(name) for name in ("first", "second")]
    yield made
    for entry in made:
        entry.close()


def names_served(balancer, count=6):
    found = set()
    for _ in range(count):
        try:
            found.add(requests.get(f"http://{balancer.address()}/x", timeout=TIMEOUT_S).text)
        except requests.ConnectionError:
            found.add("refused")
    return found


@pytest.mark.process
@pytest.mark.parametrize(
    ("readiness", "served"),
    [
        ((200, 200), {"first", "second"}),
        ((503, 200), {"second"}),
        ((200, 503), {"first"}),
        ((503, 503), {"refused"}),
    ],
)
def test_balancer_passes_to_ready_entries(balancer, entries, readiness, served):
    for entry, code in zip(entries, readiness, strict=True):
        entry.readiness = code
    ports = [{"host": "127.0.0.1", "port": entry.port} for entry in entries]
    admin = f"{balancer.ready_fields['host']}:{balancer.ready_fields['admin_port']}"
    assert switch(admin, entries=ports, check_interval_ms=50, lag_ms=20) == 200
    wanted = [port for port, code in zip(ports, readiness, strict=True) if code == 200]
    requests.post(f"http://{admin}/wait", json=wanted, timeout=TIMEOUT_S).raise_for_status()
    assert names_served(balancer) == served


@pytest.mark.process
def test_a_frozen_process_is_continued_and_stopped(folder):
    process = start_process("frozen", ["-m", "savoryarch_standins.instance_list"], folder)
    process.send_signal(signal.SIGSTOP)
    process.stop()
    assert not process.is_running()
