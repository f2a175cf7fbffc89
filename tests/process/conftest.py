"""A cluster of four entry instances behind a balancer whose readiness checks lag by 2 s."""

from threading import Event

import pytest
import requests

from savoryarch_standins.harness import Cluster, ClusterPlan

TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.05
RESOURCES = """
[search counter]
shard_maps =
    1: balcao-01 balcao-02 balcao-03
deadline_ms = 2000

[route order]
service = pedidos
deadline_ms = 2000
"""
PLAN = ClusterPlan(
    settings={"shutdown": {"balancer_lag_ms": "3000"}},
    check_interval_ms=200.0,
    balancer_lag_ms=2000.0,
    list_lag_ms=2000.0,
)


@pytest.fixture(scope="session")
def session_cluster():
    with Cluster(PLAN) as cluster:
        cluster.apply_resources(RESOURCES)
        yield cluster


@pytest.fixture
def cluster(session_cluster):
    """Return the session's cluster with all entry instances running, configured and balanced.

    Instances that an earlier test stopped or killed are started again.
    """
    for plan in PLAN.entries:
        entry = session_cluster.entries.get(plan.instance_id)
        if entry is None or not entry.is_running():
            session_cluster.start_entry(plan)
    for entry in session_cluster.entries.values():
        wait_for_configuration(entry)
    session_cluster.wait_until_balanced(tuple(session_cluster.entries))
    return session_cluster


def wait_for_configuration(entry):
    url = f"http://{entry.address('operators')}/v1/watch?since_revision=0&wait_ms=15000"
    assert requests.get(url, timeout=TIMEOUT_S).json()["generation"] > 0


@pytest.fixture
def wait_for():
    """Return a function that waits until a condition holds, or fails after a timeout."""

    def wait_until_true(condition, timeout_s):
        pause = Event()
        for _ in range(int(timeout_s / RETRY_INTERVAL_S)):
            if condition():
                return
            pause.wait(RETRY_INTERVAL_S)
        raise AssertionError(f"the condition did not become true within {timeout_s} s")

    return wait_until_true
