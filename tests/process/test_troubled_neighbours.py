"""A real instance beside targets and writers in trouble.

Guards against an instance that ends, no longer follows the store, uses up its memory or stops
answering, because a target or another writer of the store sends what no one expects.
"""

import os
import socket
from contextlib import suppress
from pathlib import Path
from threading import Event, Thread

import msgspec
import pytest

from savoryarch.platform import TARGETS_PREFIX
from savoryarch_soak._small_deployment import SmallDeployment, send_request
from savoryarch_standins.forwarded import make_target_body

NESTED = b"[" * 200_000 + b"]" * 200_000
LEARNING_S = 1.5  # until the instance has read a change of the store
DRAIN_DEADLINE_MS = 3000.0
PAUSE_SLACK_MS = 500.0
CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
# The start of a reply, and what follows it again and again.
ENDLESS = {
    "headers": (b"HTTP/1.1 200 OK\r\n", b"x-pad: 1\r\n" * 1500),
    "header value": (b"HTTP/1.1 200 OK\r\nx-pad: ", b"x" * 15_000),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 750),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 15_000),
    "chunks": (CHUNKED, b"2\r\nxx\r\n" * 2500),
}
MAX_GROWTH_BYTES = 150_000_000


def make_entry(service="shop", address="127.0.0.1:1", **fields):
    values = {"service": service, "address": address, "zone": "zone-a", "slots": 4}
    return msgspec.json.encode(values | {"state": "ready", "born": 1} | fields)


def resident_bytes(pid):
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def read(connection, name):
    return send_request(connection, "read", name).status


@pytest.fixture
def deployment(tmp_path):
    with SmallDeployment(tmp_path) as started:
        yield started


@pytest.mark.process
def test_odd_entries_in_the_store_leave_the_instance_serving_and_following(deployment):
    entry, connection = deployment.start_entry()
    odd_values = (
        make_entry()[:-1] + b',"x":' + NESTED + b"}",
        make_entry(address="127.0.0.1:0"),
        make_entry(address="127.0.0.1:70000"),
        make_entry(address="127.0.0.1:99999999999999999999"),
        make_entry().replace(b'"slots":4', b'"slots":1' + b"0" * 400),
        make_entry().replace(b'"born":1', b'"born":1' + b"0" * 400),
        b"\xff",
    )
    for number, value in enumerate(odd_values):
        deployment.write_entry(f"{TARGETS_PREFIX}odd-{number}", value)
    host_port = b'"host":"127.0.0.1","port":'
    for number, port in enumerate((b"0", b"70000", b"1" + b"0" * 400)):
        value = b'{"instance_id":"odd","availability_zone":"a",' + host_port + port + b"}"
        deployment.write_entry(f"savoryarch-instances/odd-{number}", value)
    Event().wait(LEARNING_S)
    assert [read(connection, f"after-{number}") for number in range(20)] == [200] * 20
    deployment.drive_target(0, "shop-0", "drain")
    Event().wait(LEARNING_S)
    for number in range(30):
        assert read(connection, f"drained-{number}") == 200
    reached = {
        item.target for item in deployment.read_arrivals() if item.request_id.startswith("drained")
    }
    assert "shop-0" not in reached
    assert entry.is_running()


class EndlessTarget:
    """Answers each request with a start, and then with bytes without end."""

    def __init__(self, start, piece):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        self.connections = []
        self._start, self._piece = start, piece
        self._threads = [Thread(target=self._accept, daemon=True)]
        self._threads[0].start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.connections.append(connection)
            thread = Thread(target=self._flood, args=(connection,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def _flood(self, connection):
        with connection:
            try:
                if not connection.recv(65_536):
                    return
                connection.sendall(self._start)
                while True:
                    connection.sendall(self._piece)
            except OSError:
                return

    def close(self):
        """End all threads; a shutdown wakes those that wait for a connection or for bytes."""
        for waiting in [self.listener, *self.connections]:
            with suppress(OSError):
                waiting.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            thread.join()
        self.listener.close()


@pytest.mark.process
@pytest.mark.parametrize("form", ENDLESS)
def test_bytes_without_end_cost_the_instance_neither_memory_nor_other_callers(deployment, form):
    entry, connection = deployment.start_entry()
    before_bytes = resident_bytes(entry.pid)
    targets = [EndlessTarget(*ENDLESS[form]) for _ in range(3)]
    try:
        for number, target in enumerate(targets):
            value = make_entry(address=f"127.0.0.1:{target.port}")
            deployment.write_entry(f"{TARGETS_PREFIX}endless-{number}", value)
        Event().wait(LEARNING_S)
        names = [f"beside-{number}" for number in range(60)]
        answers = [send_request(connection, "read", name) for name in names]
        growth_bytes = resident_bytes(entry.pid) - before_bytes
    finally:
        for target in targets:
            target.close()
    assert all(target.connections for target in targets)
    for name, answer in zip(names, answers, strict=True):
        if answer.status == 200:
            assert answer.body == make_target_body("shop", name)
    # Each of the targets may cost the request that meets it; hedges save most of them.
    assert sum(answer.status == 200 for answer in answers) >= 50
    assert growth_bytes < MAX_GROWTH_BYTES
    assert entry.is_running()


@pytest.mark.process
@pytest.mark.parametrize("route", ["read", "order"])
def test_a_target_that_says_that_it_leaves_gets_nothing_more(deployment, route):
    """The store still says that it is ready, and it still accepts connections."""
    _, connection = deployment.start_entry()
    service = {"read": "shop", "order": "till"}[route]
    deployment.drive_target(0, f"{service}-0", "leave")
    statuses = []
    for number in range(400):
        statuses.append(send_request(connection, route, f"r{number}", "POST").status)
    assert statuses == [200] * 400
    told = [item for item in deployment.read_arrivals() if item.leaving]
    assert len(told) <= 1, [item.request_id for item in told]
    deployment.drive_target(0, f"{service}-0", "restart")
    Event().wait(LEARNING_S)
    for number in range(400):
        send_request(connection, route, f"s{number}", "POST")
    back = {
        item.target
        for item in deployment.read_arrivals()
        if item.request_id.startswith("s")  # a probe has no id
    }
    assert f"{service}-0" in back


@pytest.mark.process
@pytest.mark.parametrize("route", ["read", "order"])
def test_a_target_that_asks_for_a_pause_gets_it(deployment, route):
    _, connection = deployment.start_entry()
    service = {"read": "shop", "order": "till"}[route]
    deployment.set_switches(0, refuse_share=0.5, hold_ms=1500.0)
    statuses = [
        send_request(connection, route, f"r{number}", "POST").status for number in range(600)
    ]
    # The budget of extra attempts is empty at the start, so that the first refusals are passed on.
    assert set(statuses) <= {200, 503} and statuses.count(503) <= 3
    arrivals = [item for item in deployment.read_arrivals() if item.target == f"{service}-0"]
    refused = [item for item in arrivals if item.hold_ms > PAUSE_SLACK_MS]
    assert refused
    for refusal in refused:
        ends_ms = refusal.at_ms + refusal.hold_ms
        late = [item for item in arrivals if refusal.at_ms < item.at_ms < ends_ms - 5.0]
        assert not late
