"""Real entry instances under load while instances, the store, the list or targets fail.

A failed instance must leave the views and the balancer, an outage of the store or the list must
not stop searches, and frozen targets must not cost coverage. An order that a crash cut must run
once when its caller resends it.
"""

import signal

import pytest
import requests

from savoryarch_standins.harness import set_switches
from tests.process.callers import Callers, runs_per_key
from tests.process.conftest import TIMEOUT_S

VIEW_TIMEOUT_S = 15.0


def live_peers(entry):
    reply = requests.get(f"http://{entry.address('operators')}/v1/status", timeout=TIMEOUT_S)
    return {row["instance_id"] for row in reply.json()["instances"] if row["live"]}


def wait_for_view(wait_for, entry, ids):
    wait_for(lambda: live_peers(entry) == set(ids), VIEW_TIMEOUT_S)


@pytest.mark.process
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_a_failed_instance_is_removed_from_views_and_the_balancer(cluster, wait_for, number):
    failed = cluster.entries["entry-2"]
    others = [name for name in cluster.entries if name != "entry-2"]
    failed.send_signal(number)
    cluster.wait_until_balanced(tuple(others))
    with Callers(cluster.balancer.address()) as callers:
        for name in others:
            wait_for_view(wait_for, cluster.entries[name], others)
    assert not callers.incomplete(), (callers.statuses(), callers.incomplete()[:3])
    failed.send_signal(signal.SIGCONT)
    if number == signal.SIGSTOP:
        for entry in cluster.entries.values():
            wait_for_view(wait_for, entry, cluster.entries)


@pytest.mark.process
def test_orders_cut_by_a_kill_run_once_when_resent(cluster, wait_for):
    others = tuple(name for name in cluster.entries if name != "entry-3")
    with Callers(cluster.balancer.address(), searching=2, ordering=10) as callers:
        wait_for(lambda: len(callers.sent) > 50, TIMEOUT_S)
        cluster.entries["entry-3"].send_signal(signal.SIGKILL)
        cluster.wait_until_balanced(others)
    cut = [sent for sent in callers.incomplete() if sent.key]
    assert cut
    resent = [callers.resend(sent) for sent in cut]
    assert {sent.detail for sent in resent} <= {"done", "unknown"}, resent[:3]
    runs = runs_per_key(cluster)
    done = {sent.key for sent in resent if sent.status == 200} | callers.completed_order_keys()
    assert done <= set(runs)
    assert all(number == 1 for number in runs.values())


@pytest.mark.process
def test_searches_continue_during_an_outage_of_the_store_and_the_list(cluster, wait_for):
    set_switches(cluster.store.address(), outage=True)
    set_switches(cluster.instance_list.address(), outage=True)
    try:
        with Callers(cluster.balancer.address()) as callers:
            wait_for(lambda: len(callers.sent) > 200, TIMEOUT_S)
        views = [live_peers(entry) for entry in cluster.entries.values()]
    finally:
        set_switches(cluster.store.address(), outage=False)
        set_switches(cluster.instance_list.address(), outage=False)
    assert views == [set(cluster.entries)] * 4
    refused = callers.incomplete()
    assert refused
    assert all(sent.key and sent.status == 503 for sent in refused), refused[:3]
    assert all('"reason":"store_unavailable"' in sent.body for sent in refused), refused[:3]
    assert not {sent.key for sent in refused} & set(runs_per_key(cluster))
    with Callers(cluster.balancer.address()) as callers_after:
        wait_for(lambda: len(callers_after.completed_order_keys()) > 5, TIMEOUT_S)


@pytest.mark.process
def test_searches_stay_complete_when_the_targets_of_a_zone_freeze(cluster, wait_for):
    cluster.targets["zone-b"].send_signal(signal.SIGSTOP)
    try:
        with Callers(cluster.balancer.address(), searching=4, ordering=0) as callers:
            wait_for(lambda: len(callers.sent) > 300, TIMEOUT_S)
    finally:
        cluster.targets["zone-b"].send_signal(signal.SIGCONT)
    assert not callers.incomplete(), (
        callers.left_out(),
        callers.statuses(),
        len(callers.incomplete()),
        callers.incomplete()[:2],
    )
