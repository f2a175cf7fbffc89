"""Unusable requests to a real process get a typed error, are counted, and disturb no others."""

import json
import re
import socket

import pytest
import requests

from savoryarch_standins.harness import start_process

SETTINGS = """[instance]
instance_id = entry-1
availability_zone = zone-a
[callers]
port = 0
[operators]
port = 0
[peers]
port = 0
[shutdown]
balancer_lag_ms = 0
"""
TIMEOUT_S = 10.0
BODY = b'{"q": 1}'


@pytest.fixture(scope="module")
def entry(tmp_path_factory):
    folder = tmp_path_factory.mktemp("entry")
    path = folder / "settings.ini"
    path.write_text(SETTINGS)
    arguments = ["-m", "savoryarch", "serve", "--settings", str(path)]
    process = start_process("entry-1", arguments, folder)
    yield process
    assert process.stop() == 0


def exchange(entry, data):
    """Send raw bytes and return what is received until the connection is closed."""
    address = entry.address("callers")
    with socket.create_connection((address.host, address.port), TIMEOUT_S) as connection:
        connection.sendall(data)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
    return received


def post(path, body=BODY, headers=""):
    head = f"POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n"
    return f"{head}connection: close\r\n{headers}\r\n".encode() + body


def refusal_count(entry, reason):
    metrics = requests.get(f"http://{entry.address('operators')}/metrics", timeout=TIMEOUT_S).text
    found = re.search(rf'savoryarch_refusals_total{{[^}}]*reason="{reason}"[^}}]*}} (\S+)', metrics)
    return float(found[1]) if found else 0.0


@pytest.mark.parametrize(
    ("data", "status", "reason"),
    [
        (post("/v1/searches/counter", b"{"), 400, "malformed_body"),
        (post("/v1/searches/counter", b"\xff"), 400, "malformed_body"),
        (post("/v1/searches/counter", b"[" * 5000), 400, "malformed_body"),
        (post("/v1/searches/counter", b""), 400, "malformed_body"),
        (post("/v1/searches/counter", b" " * 1_100_000), 413, "body_too_large"),
        (post("/v1/searches/x", headers="x-deadline-ms: soon\r\n"), 400, "malformed_deadline"),
        (post("/v1/searches/x", headers="x-deadline-ms: nan\r\n"), 400, "malformed_deadline"),
        (post("/v1/searches/x", headers="x-deadline-ms: -1\r\n"), 400, "malformed_deadline"),
        (post("/v1/searches/x", headers="x-priority: top\r\n"), 400, "malformed_priority"),
        (post("/v1/searches/x", headers=f"x-caller: {'x' * 65}\r\n"), 400, "malformed_caller"),
        (post("/v1/searches/x", headers=f"x-pad: {'x' * 20_000}\r\n"), 400, "malformed_request"),
        (post("/v1/searches/x", headers=f"x-pad: {'x' * 90}\r\n" * 300), 400, "malformed_request"),
        (post("/v1/searches/x", headers="broken\r\n"), 400, "malformed_request"),
        (b"NONSENSE\r\n\r\n", 400, "malformed_request"),
        (post("/v2/searches/x"), 404, "unknown_path"),
        (post("/ready"), 405, "method_not_allowed"),
        (post("/v1/searches/x"), 503, "no_configuration"),
        (post("/v1/routes/x"), 503, "no_configuration"),
        (b"POST /v1/searches/x HTTP/1.1\r\nhost: x\r\ncontent-le", 408, "slow_sender"),
        (post("/v1/searches/x", b"{}")[:-1], 408, "slow_sender"),
    ],
)
def test_unusable_requests_get_a_typed_error_and_are_counted(entry, data, status, reason):
    before = refusal_count(entry, reason)
    head, _, body = exchange(entry, data).partition(b"\r\n\r\n")
    assert int(head.split()[1]) == status
    refusal = json.loads(body)
    assert (refusal["outcome"], refusal["reason"]) == ("refused", reason)
    assert refusal["not_run"] is True
    assert refusal_count(entry, reason) == before + 1.0


def test_other_callers_are_served_while_one_sends_slowly(entry):
    address = entry.address("callers")
    with socket.create_connection((address.host, address.port), TIMEOUT_S) as connection:
        connection.sendall(b"POST /v1/searches/x HTTP/1.1\r\n")
        assert requests.get(f"http://{address}/ready", timeout=TIMEOUT_S).status_code == 200


def test_a_refusal_reaches_a_client_that_is_still_sending(entry):
    data = post("/v1/searches/counter", b" " * 8_000_000)
    assert exchange(entry, data).startswith(b"HTTP/1.1 413 ")
