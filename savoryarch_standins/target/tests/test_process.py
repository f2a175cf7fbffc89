import http.client
import socket
import subprocess
import sys
from json import loads

import pytest

SETTINGS = "[group a]\nservices = 2\ntargets = 1\nconnection_limit = 3\n"


@pytest.fixture
def standin(tmp_path):
    path = tmp_path / "targets.ini"
    path.write_text(SETTINGS)
    command = [sys.executable, "-m", "savoryarch_standins.target", "--settings", str(path)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    words = dict(word.partition("=")[::2] for word in process.stdout.readline().split())
    ports = dict(item.split(":") for item in words["ports"].split(","))
    yield {name: int(port) for name, port in [*ports.items(), ("control", words["control"])]}
    process.kill()
    process.wait()


def call(port, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request(method, path, body, headers or {})
    reply = connection.getresponse()
    answer = (reply.status, dict(reply.getheaders()), loads(reply.read()))
    connection.close()
    return answer


@pytest.mark.process
def test_search_over_http(standin):
    headers = {"x-snapshot": "1.2", "x-request-id": "search/1", "x-deadline-ms": "500"}
    status, received, body = call(standin["a-01-1"], "POST", "/v1/search/a", "{}", headers)
    assert (status, received["X-Request-Id"], body["snapshot"]) == (200, "search/1", "1.2")
    assert received["X-Snapshots"] == "1.1,1.2"


@pytest.mark.process
def test_connections_above_the_limit_are_closed_and_counted(standin):
    port = standin["a-01-1"]
    kept = [socket.create_connection(("127.0.0.1", port), timeout=5) for _ in range(5)]
    assert [connection.recv(1) for connection in kept[3:]] == [b"", b""]
    (counts,) = call(standin["control"], "GET", "/counts?target=a-01-1")[2]["targets"]
    assert (counts["max_connections"], counts["connections_refused"]) == (3, 2)
    assert counts["connections_opened"] == 3
    for connection in kept:
        connection.close()


@pytest.mark.process
@pytest.mark.parametrize(
    ("drive", "error"),
    [("crash", (ConnectionError, http.client.RemoteDisconnected)), ("freeze", TimeoutError)],
)
def test_drives_over_the_control_port(standin, drive, error):
    body = f'{{"drive": "{drive}", "restart_ms": 60000}}'
    assert call(standin["control"], "POST", "/switches?target=a-01-1", body)[0] == 200
    connection = http.client.HTTPConnection("127.0.0.1", standin["a-01-1"], timeout=0.3)
    with pytest.raises(error):
        connection.request("GET", "/health")
        connection.getresponse()
    connection.close()
    assert call(standin["a-02-1"], "GET", "/health")[0] == 200
