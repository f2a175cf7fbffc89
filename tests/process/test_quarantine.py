"""A query that crashes targets is quarantined by all instances, and no other query is.

Without reports between instances, each instance would let the query crash targets of its own
before it refuses the query. Harmless queries that were in flight on a crashed target could be
quarantined together with it.
"""

import pytest
import requests

from savoryarch_standins.harness import set_switches
from tests.process.callers import Callers

pytestmark = pytest.mark.process
TIMEOUT_S = 10.0
MAX_CRASHES_PER_SERVICE = 2
WARM_UP_REQUESTS = 60  # enough that each instance has had replies to the other callers' query


def control_addresses(cluster):
    return [
        f"{process.ready_fields['host']}:{process.ready_fields['control']}"
        for process in cluster.targets.values()
    ]


def count_crashes_by_service(cluster):
    crashes = {}
    for control in control_addresses(cluster):
        for row in requests.get(f"http://{control}/counts", timeout=TIMEOUT_S).json()["targets"]:
            service = row["target_id"].rpartition("-")[0]
            crashes[service] = crashes.get(service, 0) + row["crashes"]
    return crashes


def search(entry, query):
    url = f"http://{entry.address('callers')}/v1/searches/counter"
    return requests.post(url, json=query, headers={"x-caller": "portal"}, timeout=TIMEOUT_S)


@pytest.fixture
def crashing_cluster(cluster):
    for control in control_addresses(cluster):
        set_switches(control, crash_word="poison", restart_ms=300)
    yield cluster
    for control in control_addresses(cluster):
        set_switches(control, crash_word="")


def test_a_query_that_crashes_targets_is_refused_by_all_instances(crashing_cluster, wait_for):
    query = {"q": "poison"}
    before = count_crashes_by_service(crashing_cluster)
    with Callers(crashing_cluster.balancer.address(), searching=3, ordering=0) as other_callers:
        wait_for(lambda: len(other_callers.sent) > WARM_UP_REQUESTS, TIMEOUT_S)
        search(next(iter(crashing_cluster.entries.values())), query)
        for entry in crashing_cluster.entries.values():  # the caller resends it to each instance
            wait_for(
                lambda entry=entry: search(entry, query).json().get("reason") == "quarantined", 5.0
            )
    after = count_crashes_by_service(crashing_cluster)
    assert sum(after.values()) > sum(before.values())
    for service, crashes in after.items():
        assert crashes - before[service] <= MAX_CRASHES_PER_SERVICE
    failed_bodies = [sent.body for sent in other_callers.sent if sent.status != 200]
    # No harmless query was quarantined.
    assert not [body for body in failed_bodies if "quarantined" in body]
