"""The target stand-in as a process: replies, connection limit and control port over HTTP."""

import http.client
import socket
import subprocess
import sys
from json import loads

import pytest

SETTINGS = "[group a]\nservices = 2\ntargets = 1\nconnection_limit = 3\n"


@pytest.fixture
def ports(tmp_path):
    """Start a process with two targets and return its ports by target id and ``control``."""
    path = tmp_path / "targets.ini"
    path.write_text(SETTINGS)
    command = [sys.executable, "-m", "savoryarch_standins.target", "--settings", str(path)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    fields = dict(word.partition("=")[::2] for word in process.stdout.readline().split())
    target_ports = dict(item.split(":") for item in fields["ports"].split(","))
    yield {
        name: int(port) for name, port in [*target_ports.items(), ("control", fields["control"])]
    }
    process.kill()
    process.wait()


def send_request(port, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request(method, path, body, headers or {})
    reply = connection.getresponse()
    result = (reply.status, dict(reply.getheaders()), loads(reply.read()))
    connection.close()
    return result


@pytest.mark.process
def test_search_over_http(ports):
    headers = {"x-snapshot": "1.2", "x-request-id": "search/1", "x-deadline-ms": "500"}
    status, received_headers, body = send_request(
        ports["a-01-1"], "POST", "/v1/search/a", "{}", headers
    )
    assert (status, received_headers["X-Request-Id"], body["snapshot"]) == (200, "search/1", "1.2")
    assert received_headers["X-Snapshots"] == "1.1,1.2"


@pytest.mark.process
def test_connections_above_the_limit_are_closed_and_counted(ports):
    port = ports["a-01-1"]
    connections = [socket.create_connection(("127.0.0.1", port), timeout=5) for _ in range(5)]
    assert [connection.recv(1) for connection in connections[3:]] == [b"", b""]
    (counts,) = send_request(ports["control"], "GET", "/counts?target=a-01-1")[2]["targets"]
    assert (counts["max_connections"], counts["connections_refused"]) == (3, 2)
    assert counts["connections_opened"] == 3
    for connection in connections:
        connection.close()


@pytest.mark.process
@pytest.mark.parametrize(
    ("drive", "error"),
    [("crash", (ConnectionError, http.client.RemoteDisconnected)), ("freeze", TimeoutError)],
)
def test_control_port_drives_one_target(ports, drive, error):
    body = f'{{"drive": "{drive}", "restart_ms": 60000}}'
    assert send_request(ports["control"], "POST", "/switches?target=a-01-1", body)[0] == 200
    connection = http.client.HTTPConnection("127.0.0.1", ports["a-01-1"], timeout=0.3)
    with pytest.raises(error):
        connection.request("GET", "/health")
        connection.getresponse()
    connection.close()
    assert send_request(ports["a-02-1"], "GET", "/health")[0] == 200
