"""The instance list and the balancer as processes: switches, listed rows and passed connections."""

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


def read_instances(process):
    reply = requests.get(f"http://{process.address()}/v1/instances", timeout=TIMEOUT_S)
    return reply.status_code, reply.json().get("instances")


def post_switches(address, **switches):
    reply = requests.post(f"http://{address}/switches", json=switches, timeout=TIMEOUT_S)
    return reply.status_code


NO_FAULTS = {"lag_ms": 0, "stale": False, "empty": False, "outage": False}


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
def test_switches_determine_the_listed_instances(instance_list, switches, expected):
    assert post_switches(instance_list.address(), rows=[ROW], **NO_FAULTS) == 200
    assert post_switches(instance_list.address(), **switches) == 200
    assert read_instances(instance_list) == expected


@pytest.mark.process
@pytest.mark.parametrize("switches", [{"rows": [{}]}, {"lagg_ms": 1}, {"stale": "yes"}])
def test_invalid_switches_are_refused(instance_list, switches):
    assert post_switches(instance_list.address(), **switches) == 422


class EntryServer:
    """An HTTP server that replies with its name, and to ``/ready`` with the status `readiness`."""

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
    servers = [EntryServer(name) for name in ("first", "second")]
    yield servers
    for entry in servers:
        entry.close()


def find_reached_entries(balancer, count=6):
    reached = set()
    for _ in range(count):
        try:
            reached.add(requests.get(f"http://{balancer.address()}/x", timeout=TIMEOUT_S).text)
        except requests.ConnectionError:
            reached.add("refused")
    return reached


@pytest.mark.process
@pytest.mark.parametrize(
    ("readiness", "reached"),
    [
        ((200, 200), {"first", "second"}),
        ((503, 200), {"second"}),
        ((200, 503), {"first"}),
        ((503, 503), {"refused"}),
    ],
)
def test_balancer_passes_connections_to_ready_entries(balancer, entries, readiness, reached):
    for entry, code in zip(entries, readiness, strict=True):
        entry.readiness = code
    addresses = [{"host": "127.0.0.1", "port": entry.port} for entry in entries]
    admin_address = f"{balancer.ready_fields['host']}:{balancer.ready_fields['admin_port']}"
    assert post_switches(admin_address, entries=addresses, check_interval_ms=50, lag_ms=20) == 200
    ready_addresses = [
        address for address, code in zip(addresses, readiness, strict=True) if code == 200
    ]
    requests.post(
        f"http://{admin_address}/wait", json=ready_addresses, timeout=TIMEOUT_S
    ).raise_for_status()
    assert find_reached_entries(balancer) == reached


@pytest.mark.process
def test_a_process_stopped_by_sigstop_is_continued_and_ended(folder):
    process = start_process("frozen", ["-m", "savoryarch_standins.instance_list"], folder)
    process.send_signal(signal.SIGSTOP)
    process.stop()
    assert not process.is_running()
