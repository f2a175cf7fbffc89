import pytest
import requests

from savoryarch_standins.harness import set_switches
from tests.process.callers import Callers

pytestmark = pytest.mark.process
TIMEOUT_S = 10.0
CRASHES_PER_SERVICE = 2
WARM_REQUESTS = 60  # so that each instance has had answers of the callers' query


def controls(cluster):
    return [
        f"{process.ready_fields['host']}:{process.ready_fields['control']}"
        for process in cluster.targets.values()
    ]


def crashes_per_service(cluster):
    crashes = {}
    for control in controls(cluster):
        for row in requests.get(f"http://{control}/counts", timeout=TIMEOUT_S).json()["targets"]:
            service = row["target_id"].rpartition("-")[0]
            crashes[service] = crashes.get(service, 0) + row["crashes"]
    return crashes


def ask(entry, query):
    url = f"http://{entry.address('callers')}/v1/searches/counter"
    return requests.post(url, json=query, headers={"x-caller": "portal"}, timeout=TIMEOUT_S)


@pytest.fixture
def crashing(cluster):
    for control in controls(cluster):
        set_switches(control, crash_word="poison", restart_ms=300)
    yield cluster
    for control in controls(cluster):
        set_switches(control, crash_word="")


def test_a_query_that_crashes_targets_is_refused_everywhere(crashing, retry):
    query = {"q": "poison"}
    before = crashes_per_service(crashing)
    with Callers(crashing.balancer.address(), searching=3, ordering=0) as innocent:
        retry(lambda: len(innocent.sent) > WARM_REQUESTS, TIMEOUT_S)
        ask(next(iter(crashing.entries.values())), query)
        for entry in crashing.entries.values():  # the caller sends it again elsewhere
            retry(lambda entry=entry: ask(entry, query).json().get("reason") == "quarantined", 5.0)
    after = crashes_per_service(crashing)
    assert sum(after.values()) > sum(before.values())
    for service, crashes in after.items():
        assert crashes - before[service] <= CRASHES_PER_SERVICE
    reasons = [sent.body for sent in innocent.sent if sent.status != 200]
    assert not [body for body in reasons if "quarantined" in body]
