"""Access to the operators' API by token and TLS, and TLS between peers, with real processes.

Without these checks, a client with a token for reading could change the configuration, and a client
without a token or TLS would get an answer.
"""

import os
import subprocess
import sys
from functools import partial

import pytest
import requests

from savoryarch.api import hash_token
from savoryarch.api.tests.authority import Authority
from savoryarch_standins.harness import Cluster, ClusterPlan, EntryPlan
from tests.process.test_configuration import wait_until_equal

HTTP_TIMEOUT_S = 10.0
ENTRIES = (EntryPlan("entry-1", "zone-a"), EntryPlan("entry-2", "zone-b"))
PORTAL = "/v1/resources/caller/portal"


class SecuredCluster:
    """A cluster whose operators' API requires tokens, and whose links use TLS."""

    def __init__(self, cluster, authority):
        self.cluster, self.authority = cluster, authority

    def call(self, instance_id, method, path, token="", body=None):
        address = self.cluster.entries[instance_id].address("operators")
        return requests.request(
            method,
            f"https://{address}{path}",
            json=body,
            headers={"authorization": f"Bearer {token}"},
            verify=str(self.authority.path),
            timeout=HTTP_TIMEOUT_S,
        )

    def count_live(self, instance_id):
        status = self.call(instance_id, "GET", "/v1/status", "reader").json()
        return sum(item["live"] for item in status["instances"])


@pytest.fixture(scope="module")
def secured(tmp_path_factory):
    authority = Authority(tmp_path_factory.mktemp("keys"), "fleet")
    certificate, key = authority.make_files()
    settings = {
        "operators": {
            "read_token_hashes": hash_token("reader"),
            "write_token_hashes": hash_token("writer"),
            "tls_certificate_file": str(certificate),
            "tls_key_file": str(key),
        },
        "peers": {
            "tls_certificate_file": str(certificate),
            "tls_authority_file": str(authority.path),
        },
    }
    with Cluster(ClusterPlan(targets="", entries=ENTRIES, settings=settings)) as cluster:
        yield SecuredCluster(cluster, authority)


@pytest.mark.process
@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    ("method", "token", "status"),
    [
        ("GET", "", 401),
        ("GET", "stranger", 401),
        ("GET", "reader", 404),
        ("PUT", "", 401),
        ("PUT", "reader", 403),
        ("PUT", "writer", 200),
        ("GET", "reader", 200),
    ],
)
def test_tokens_give_access_by_role(secured, method, token, status):
    reply = secured.call("entry-1", method, PORTAL, token, {"weight": 2.0})
    assert reply.status_code == status


@pytest.mark.process
@pytest.mark.timeout(120)
def test_configuration_reaches_peers_over_tls(secured):
    wait_until_equal(partial(secured.count_live, "entry-2"), 2)
    accepted = secured.call("entry-1", "PUT", PORTAL, "writer", {"weight": 3.0}).json()
    since = accepted["generation"] - 1
    secured.call("entry-2", "GET", f"/v1/watch?since={since}&wait_ms=5000", "reader")
    assert secured.call("entry-2", "GET", PORTAL, "reader").json()["weight"] == 3.0


@pytest.mark.process
@pytest.mark.timeout(120)
def test_plain_http_is_not_answered(secured):
    address = secured.cluster.entries["entry-1"].address("operators")
    with pytest.raises(requests.exceptions.ConnectionError):
        requests.get(f"http://{address}/v1/status", timeout=HTTP_TIMEOUT_S)


@pytest.mark.process
@pytest.mark.timeout(120)
@pytest.mark.parametrize(
    ("token", "trusts_authority", "exit_code"),
    [("reader", True, 0), ("stranger", True, 1), ("reader", False, 3)],
)
def test_command_line_uses_token_and_authority(secured, token, trusts_authority, exit_code):
    environment = dict(os.environ, SAVORYARCH_TOKEN=token)
    if trusts_authority:
        environment["SSL_CERT_FILE"] = str(secured.authority.path)
    address = secured.cluster.entries["entry-1"].address("operators")
    command = [sys.executable, "-m", "savoryarch", "status", "--operators", f"https://{address}"]
    process = subprocess.run(command, env=environment, capture_output=True, timeout=60, check=False)
    assert process.returncode == exit_code, process.stdout
