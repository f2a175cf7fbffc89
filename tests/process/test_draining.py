"""A target that drains while an instance cannot reach it, with real processes.

Guards against new requests to a target that has reported that it drains: because a failed
connection, or a write that the store executes late, makes it live again for the instance, or
because an attempt has waited for a connection since before the report.
"""

import socket
import time
from contextlib import suppress
from http.client import HTTPConnection
from threading import Event, Lock, Thread

import msgspec
import pytest

from savoryarch.platform import CONFIGURATION_KEY, REQUEST_ID_HEADER, TARGETS_PREFIX
from savoryarch_soak._small_deployment import ROUTE_HOST, SmallDeployment, send_request

LEARNING_S = 1.0  # until the instance has read a change of the store, or lost a connection
DRAIN_DEADLINE_MS = 3000.0
SENDERS = 4
TARGET = "till-0"
TARGET_KEY = TARGETS_PREFIX + TARGET


def now_ms():
    return time.monotonic() * 1000.0


class Path:
    """A proxy on the path to a target, which can be cut.

    During a cut, new connections are refused, or they hang because the queue of connections that
    are not accepted is full.
    """

    def __init__(self, refuses):
        self._refuses = refuses
        self._accepting = Lock()
        self._fillers = []
        self._closed = False
        self._is_cut = False
        self.target_port = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=0)
        self.port = self._listener.getsockname()[1]
        self._sockets = []
        self._threads = []
        self._start_thread(self._accept)

    def _start_thread(self, run, *arguments):
        thread = Thread(target=run, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self):
        while not self._closed:
            with self._accepting:
                self._listener.settimeout(0.02)
                try:
                    accepted, _ = self._listener.accept()
                except OSError:
                    accepted = None
            if accepted is None:
                Event().wait(0.005)
                continue
            target = socket.create_connection(("127.0.0.1", self.target_port))
            self._sockets += [accepted, target]
            self._start_thread(self._forward, accepted, target)
            self._start_thread(self._forward, target, accepted)

    def _forward(self, reader, writer):
        with suppress(OSError):
            while data := reader.recv(65_536):
                writer.sendall(data)
        for ended in (reader, writer):
            with suppress(OSError):
                ended.shutdown(socket.SHUT_RDWR)

    def cut(self, keeps_connections=False):
        """Let new connections fail, and end the open ones unless they are kept."""
        self._accepting.acquire()
        self._is_cut = True
        if not keeps_connections:
            self._end_connections()
        if self._refuses:
            self._listener.close()
            return
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self._fillers.append(filler)

    def heal(self):
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self._refuses:
            self._listener = socket.create_server(("127.0.0.1", self.port), backlog=0)
        self._is_cut = False
        self._accepting.release()

    def _end_connections(self):
        for item in self._sockets:
            with suppress(OSError):
                item.shutdown(socket.SHUT_RDWR)

    def close(self):
        self._closed = True
        if self._is_cut:
            self.heal()
        self._listener.close()
        self._end_connections()
        for thread in list(self._threads):
            thread.join()
        for item in self._sockets:
            item.close()


@pytest.fixture
def make_deployment(tmp_path, request):
    """Start a deployment in which the instance reaches one target by a path that can be cut."""

    def start(refuses=False):
        path = Path(refuses)
        request.addfinalizer(path.close)
        deployment = SmallDeployment(tmp_path, registered_ports={TARGET: path.port})
        request.addfinalizer(deployment.__exit__)
        deployment.__enter__()
        path.target_port = deployment.target_ports[TARGET]
        return deployment, path

    return start


class Orders:
    """Sends orders on connections of their own until it is closed."""

    def __init__(self, address):
        self.statuses = {}
        self._stopped = Event()
        self._threads = [
            Thread(target=self._send, args=(address, number), daemon=True)
            for number in range(SENDERS)
        ]
        for thread in self._threads:
            thread.start()

    def _send(self, address, sender):
        connection = HTTPConnection(*address, timeout=10.0)
        number = 0
        while not self._stopped.wait(0.005):
            name = f"o-{sender}-{number}"
            self.statuses[name] = send_request(connection, "order", name, "POST").status
            number += 1
        connection.close()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self._stopped.set()
        for thread in self._threads:
            thread.join()


def make_ready_again(value):
    """Return the registration that a target wrote before the one with which it drains."""
    registration = msgspec.json.decode(value)
    assert registration["state"] == "draining"
    sequence = registration["sequence"] - 1
    return msgspec.json.encode(registration | {"state": "ready", "sequence": sequence})


def reached_after(deployment, at_ms):
    return [
        item.request_id
        for item in deployment.read_arrivals()
        if item.target == TARGET and item.at_ms > at_ms
    ]


@pytest.mark.process
@pytest.mark.parametrize(
    ("refuses", "cuts_s", "has_late_write"),
    [
        (False, (0.5, 1.5), False),
        # A connection is accepted between two cuts.
        (True, (0.5, 1.0, 0.3, 0.5), False),
        (False, (0.0, 1.5), True),
    ],
)
def test_a_target_that_drains_during_a_cut_gets_no_new_orders(
    make_deployment, refuses, cuts_s, has_late_write
):
    """`cuts_s` has the times of a cut before and after the report, and of a pause and a cut."""
    deployment, path = make_deployment(refuses)
    _, connection = deployment.start_entry()
    with Orders((connection.host, connection.port)) as orders:
        Event().wait(LEARNING_S)
        assert reached_after(deployment, 0.0)
        path.cut()
        Event().wait(cuts_s[0])
        deployment.drive_target(0, TARGET, "drain")
        drained_at_ms = now_ms()
        Event().wait(cuts_s[1])
        path.heal()
        for pause_s, cut_s in zip(cuts_s[2::2], cuts_s[3::2], strict=True):
            Event().wait(pause_s)
            path.cut()
            Event().wait(cut_s)
            path.heal()
        Event().wait(LEARNING_S)
        if has_late_write:
            deployment.rewrite_entry(TARGET_KEY, make_ready_again)
        due_at_ms = max(drained_at_ms + DRAIN_DEADLINE_MS, now_ms() + LEARNING_S * 1000.0)
        Event().wait((due_at_ms - now_ms()) / 1000.0 + 1.0)
    late = reached_after(deployment, due_at_ms)
    assert not late, (len(late), late[:5])
    assert list(orders.statuses.values())[-1] == 200


@pytest.mark.process
def test_an_order_does_not_wait_for_a_connection_to_a_target_that_drains(make_deployment):
    """The target processes a long order on the only connection, and accepts no other."""
    deployment, path = make_deployment()

    def lengthen_timeouts(value):
        table = msgspec.json.decode(value)
        routes = [route | {"timeout-ms": 9000} for route in table["routes"]]
        return msgspec.json.encode(table | {"version": 2, "routes": routes})

    deployment.rewrite_entry(CONFIGURATION_KEY, lengthen_timeouts)
    _, connection = deployment.start_entry()
    for replica in (1, 2):
        deployment.drive_target(replica, f"till-{replica}", "drain")
    Event().wait(LEARNING_S)
    assert send_request(connection, "order", "first", "POST").status == 200
    deployment.set_switches(0, work_ms=5000.0)
    outcomes = {}

    def send(name):
        sender = HTTPConnection(connection.host, connection.port, timeout=10.0)
        headers = {"host": ROUTE_HOST, REQUEST_ID_HEADER: name}
        sender.request("POST", f"/order/{name}", headers=headers)
        outcomes[name] = (sender.getresponse().status, now_ms())
        sender.close()

    senders = [Thread(target=send, args=(name,)) for name in ("long", "waiting")]
    senders[0].start()
    Event().wait(0.2)
    path.cut(keeps_connections=True)
    senders[1].start()
    Event().wait(0.4)
    assert not outcomes
    deployment.drive_target(0, TARGET, "drain")
    drained_at_ms = now_ms()
    for sender in senders:
        sender.join()
    path.heal()
    status, ended_at_ms = outcomes["waiting"]
    assert outcomes["long"][0] == 200
    assert status == 503
    assert ended_at_ms < drained_at_ms + DRAIN_DEADLINE_MS
    assert "waiting" not in {item.request_id for item in deployment.read_arrivals()}
