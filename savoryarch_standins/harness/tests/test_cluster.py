"""Start and end of a cluster: its processes, its declared services, and a failed start."""

import os

import pytest
import requests

from savoryarch.resources import parse_resources
from savoryarch_standins.harness import Cluster, ClusterPlan, StartError, set_switches

PLATFORM_ONLY = ClusterPlan(entries=())


def is_running(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.process
def test_a_cluster_starts_lists_and_ends_its_processes():
    with Cluster(PLATFORM_ONLY) as cluster:
        processes = [cluster.store, cluster.instance_list, cluster.balancer]
        processes += cluster.targets.values()
        set_switches(cluster.instance_list.address(), lag_ms=0)
        cluster.publish_entries()
        rows = requests.get(f"http://{cluster.instance_list.address()}/v1/instances", timeout=5)
        listed = {row["instance_id"] for row in rows.json()["instances"]}
        declared, findings = parse_resources(cluster.format_services(), "services.ini")
        folder = cluster.folder
        assert all(is_running(process.pid) for process in processes)
    targets = {target.target_id for item in declared for target in item.resource.targets}
    assert (targets, findings) == (listed, ())
    assert len(targets) == 12
    assert not any(process.is_running() for process in processes)
    assert not folder.exists()


@pytest.mark.process
def test_a_cluster_that_fails_to_start_leaves_no_process_or_folder():
    cluster = Cluster(ClusterPlan(settings={"no such section": {}}))
    with pytest.raises(StartError, match="entry-1 was not ready"):
        cluster.__enter__()
    assert not cluster.store.is_running()
    assert not cluster.balancer.is_running()
    assert not cluster.folder.exists()
