"""An accepted configuration survives crashes, outages, lost replies, races and a restored store.

Each of these faults can lose a change, apply it twice or bring an older generation back into force
if an instance trusts the store, or a reply of the store, more than the generation in force.
"""

import re
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial

import pytest
import requests

from savoryarch_standins.harness import Cluster, ClusterPlan, EntryPlan, set_switches

IN_FORCE_TIMEOUT_S = 5.0
CONDITION_TIMEOUT_S = 10.0
HTTP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05


class OperatorsClient:
    """A client of the operators' API of all instances of a cluster."""

    def __init__(self, cluster):
        self.cluster = cluster

    def call(self, instance_id, method, path, body=None):
        address = self.cluster.entries[instance_id].address("operators")
        url = f"http://{address}{path}"
        return requests.request(method, url, json=body, timeout=HTTP_TIMEOUT_S)

    def put(self, instance_id, weight, expected_revision=None):
        """Set the weight of the caller ``portal`` through an instance and return the reply."""
        query = "" if expected_revision is None else f"?expected_revision={expected_revision}"
        path = f"/v1/resources/caller/portal{query}"
        return self.call(instance_id, "PUT", path, {"weight": weight})

    def generation(self, instance_id):
        """Return the generation of the configuration that an instance has in force."""
        return self.call(instance_id, "GET", "/v1/resources/caller").json()["generation"]

    def wait_in_force(self, generation):
        """Assert that all running instances have a generation in force within 5 s in total."""
        started_s = time.monotonic()
        for instance_id in self.cluster.entries:
            remaining_s = IN_FORCE_TIMEOUT_S - (time.monotonic() - started_s)
            path = f"/v1/watch?since={generation - 1}&wait_ms={max(0, int(remaining_s * 1000))}"
            self.call(instance_id, "GET", path)
            assert self.generation(instance_id) == generation, instance_id

    def wait_notices(self, expected):
        """Wait until every running instance lists exactly the notices with these ids."""
        for instance_id in self.cluster.entries:
            wait_until_equal(partial(self.notices, instance_id), expected)

    def notices(self, instance_id):
        listed = self.call(instance_id, "GET", "/v1/notices").json()["notices"]
        return [item["notice_id"] for item in listed]

    def wait_live(self, count):
        for instance_id in self.cluster.entries:
            wait_until_equal(partial(self.count_live, instance_id), count)

    def count_live(self, instance_id):
        status = self.call(instance_id, "GET", "/v1/status").json()
        return sum(item["live"] for item in status["instances"])


def wait_until_equal(read, expected):
    deadline_s = time.monotonic() + CONDITION_TIMEOUT_S
    while (actual := read()) != expected:
        assert time.monotonic() < deadline_s, actual
        time.sleep(POLL_INTERVAL_S)


@pytest.fixture(scope="module")
def operators():
    with Cluster(ClusterPlan(targets="")) as cluster:
        client = OperatorsClient(cluster)
        client.wait_live(len(cluster.entries))
        assert client.put("entry-1", 1.0, expected_revision=0).json()["generation"] == 1
        client.wait_in_force(1)
        yield client


@pytest.mark.process
@pytest.mark.timeout(120)
def test_change_is_accepted_though_the_reply_to_its_write_is_lost(operators):
    before = operators.generation("entry-2")
    set_switches(operators.cluster.store.address(), lose_replies=1)
    reply = operators.put("entry-2", 2.0, expected_revision=before)
    assert (reply.status_code, reply.json()["generation"]) == (200, before + 1)
    operators.wait_in_force(before + 1)


@pytest.mark.process
@pytest.mark.timeout(120)
def test_one_of_two_racing_operators_is_accepted(operators):
    before = operators.generation("entry-1")
    with ThreadPoolExecutor(2) as pool:
        first = pool.submit(operators.put, "entry-1", 3.0, before)
        second = pool.submit(operators.put, "entry-3", 3.5, before)
        replies = sorted((first.result(), second.result()), key=lambda reply: reply.status_code)
    assert [reply.status_code for reply in replies] == [200, 409]
    assert replies[0].json()["generation"] == before + 1
    assert replies[1].json()["conflicts"] == [
        {
            "kind": "caller",
            "name": "portal",
            "expected_revision": before,
            "actual_revision": before + 1,
        }
    ]
    operators.wait_in_force(before + 1)


@pytest.mark.process
@pytest.mark.timeout(120)
def test_accepted_change_survives_a_crash_of_its_instance_and_an_outage(operators):
    before = operators.generation("entry-1")
    reply = operators.put("entry-1", 4.0)
    operators.cluster.entries["entry-1"].kill()
    set_switches(operators.cluster.store.address(), outage=True)
    assert reply.json()["generation"] == before + 1
    operators.cluster.unlist_entry("entry-1")
    operators.wait_in_force(before + 1)
    refused = operators.put("entry-2", 5.0)
    assert (refused.status_code, refused.json()["reason"]) == (503, "store_unavailable")
    operators.cluster.start_entry(EntryPlan("entry-5", "zone-b"))
    operators.wait_in_force(before + 1)
    set_switches(operators.cluster.store.address(), outage=False)


@pytest.mark.process
@pytest.mark.timeout(120)
def test_restored_store_reverts_nothing(operators):
    before = operators.generation("entry-2")
    assert operators.put("entry-2", 6.0).ok
    operators.wait_in_force(before + 1)
    # The store goes back to its content at revision 1, as after a restore from a backup.
    set_switches(operators.cluster.store.address(), restore_revision=1)
    operators.wait_notices(["configuration-restored"])
    operators.wait_in_force(before + 1)
    blocked = operators.put("entry-3", 7.0)
    assert (blocked.status_code, blocked.json()["reason"]) == (409, "store_restored")
    kept = operators.call("entry-4", "POST", "/v1/restore", {"choice": "keep-in-force"})
    assert (kept.status_code, kept.json()["generation"]) == (200, before + 2)
    operators.wait_in_force(before + 2)
    assert operators.call("entry-3", "GET", "/v1/resources/caller/portal").json()["weight"] == 6.0
    operators.wait_notices([])
    for process in operators.cluster.entries.values():
        assert_generations_increase(process)


def assert_generations_increase(process):
    matches = re.findall(r"configuration_in_force generation=(\d+)", process.log_path.read_text())
    generations = [int(number) for number in matches]
    assert generations
    assert generations == sorted(set(generations)), process.name
