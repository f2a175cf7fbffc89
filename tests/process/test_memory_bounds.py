"""A real instance stays within the memory of the smallest machine, however bytes reach it.

Each row is one way in which an instance may be made to keep bytes, driven past its bound. Guards
against processes that the platform ends because they exceed their memory.
"""

import re
import socket
import time
from contextlib import ExitStack, suppress
from http.client import HTTPException
from pathlib import Path
from threading import Event

import pytest

from savoryarch_soak._small_deployment import SmallDeployment, send_request

MEMORY_MB = 160.0  # the smallest `memory_mb` of the deployments
KB_PER_MB = 1000.0
FLOOD_S = 5.0
SETTLE_S = 1.0
RECOVERY_S = 12.0  # `recovery-s` of the deployments
PEERS_OPEN_S = 2.0  # after the front
IDLE_PERIOD_S = 1.0
IDLE_AFTER_S = 1.0  # in attempts of `IDLE_PERIOD_S`, 20 of them
MAX_IDLE_CPU_SHARE = 0.1
TICKS_PER_S = 100.0
HEAD = (
    b"POST /%s/1 HTTP/1.1\r\nHost: small.example\r\nRequest-Id: flood-%d\r\nDeadline-Ms: 2000\r\n"
)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
READ = b"GET /read/1 HTTP/1.1\r\nHost: small.example\r\nRequest-Id: unread\r\n\r\n"
LONG_BODY = b"Content-Length: 262144\r\n\r\n" + b"x" * 262_143

# Number of connections, what each sends first, and what each then sends again and again.
CLIENTS = {
    "trailers without end": (1, HEAD + CHUNKED + b"0\r\n", b"a:b\r\n" * 20_000),
    "heads of short headers": (1000, HEAD + b"a:\r\n" * 3900, b""),
    "heads of one long header": (3000, HEAD + b"a: " + b"x" * 16_000, b""),
    "bodies that do not end": (800, HEAD + LONG_BODY, b""),
    "bodies of small chunks": (100, HEAD + CHUNKED + b"2\r\nxx\r\n" * 100_000, b""),
    "bodies that are outstanding": (800, HEAD + LONG_BODY + b"x", b""),
    "bodies for all shards": (800, (HEAD + LONG_BODY + b"x").replace(b"%s", b"find"), b""),
    "pipelined requests": (300, (HEAD + b"Content-Length: 0\r\n\r\n") * 500, b""),
    "answers that are not read": (100, READ, READ * 500),
}

# The header of a connection that sends messages, and frames with their length before them.
PUSH_HEADER = b"\0SP\0\0\x50\0\0"
FRAME = (1 << 20).to_bytes(8, "big") + b"x" * (1 << 20)
PEERS = {
    "frames that do not end": (1000, PUSH_HEADER + FRAME[:-1], b""),
    "frames": (100, PUSH_HEADER + FRAME * 10, b""),
}


def read_peak_mb(pid):
    status = Path(f"/proc/{pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1.024 / KB_PER_MB


def read_cpu_s(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_cpu_share(pid):
    before_s = read_cpu_s(pid)
    Event().wait(IDLE_PERIOD_S)
    return (read_cpu_s(pid) - before_s) / IDLE_PERIOD_S


def read_status(connection):
    try:
        return send_request(connection, "read", "after").status
    except (OSError, HTTPException):
        connection.close()
        return 0


def flood(address, count, first, repeated):
    """Open connections, send on each, and do not read; return those that are open."""
    with ExitStack() as stack:
        for number in range(count):
            client = stack.enter_context(socket.socket())
            client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            client.settimeout(2.0)
            with suppress(OSError):
                client.connect(address)
                client.sendall(first.replace(b"%s", b"order").replace(b"%d", b"%d" % number))
        deadline_s = time.monotonic() + FLOOD_S
        with suppress(OSError):
            while repeated and time.monotonic() < deadline_s:
                client.sendall(repeated)
        Event().wait(SETTLE_S)


@pytest.mark.process
@pytest.mark.parametrize("way", ["bodies for all shards", "bodies that are outstanding"])
def test_requests_that_targets_do_not_read_cannot_exceed_the_memory(tmp_path, wait_for, way):
    with SmallDeployment(tmp_path) as deployment:
        entry, connection = deployment.start_entry(memory_mb=MEMORY_MB)
        connection.close()
        deployment.suspend_targets()
        flood((connection.host, connection.port), *CLIENTS[way])
        peak_mb = read_peak_mb(entry.pid)
        print(f"{way}, not read: peak {peak_mb:.0f} MB")
        assert peak_mb < MEMORY_MB
        deployment.resume_targets()
        wait_for(lambda: read_status(connection) == 200, RECOVERY_S)


@pytest.mark.process
@pytest.mark.parametrize("way", [*CLIENTS, *PEERS])
def test_connections_cannot_exceed_the_memory_of_an_instance(tmp_path, wait_for, way):
    with SmallDeployment(tmp_path) as deployment:
        entry, connection = deployment.start_entry(memory_mb=MEMORY_MB)
        connection.close()
        if way in CLIENTS:
            flood((connection.host, connection.port), *CLIENTS[way])
        else:
            host, _, port = entry.ready_fields["peers"].rpartition(":")
            Event().wait(PEERS_OPEN_S)
            flood((host, int(port)), *PEERS[way])
        peak_mb = read_peak_mb(entry.pid)
        print(f"{way}: peak {peak_mb:.0f} MB")
        assert peak_mb < MEMORY_MB
        wait_for(lambda: read_status(connection) == 200, RECOVERY_S)
        wait_for(lambda: read_cpu_share(entry.pid) < MAX_IDLE_CPU_SHARE, IDLE_AFTER_S)
        assert entry.is_running()
