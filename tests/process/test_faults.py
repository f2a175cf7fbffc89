"""Kills, freezes and outages around real entry instances under load."""

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


def wait_for_view(retry, entry, ids):
    retry(lambda: live_peers(entry) == set(ids), VIEW_TIMEOUT_S)


@pytest.mark.process
@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_a_lost_instance_leaves_the_view_and_the_balancer(cluster, retry, number):
    lost = cluster.entries["entry-2"]
    others = [name for name in cluster.entries if name != "entry-2"]
    lost.send_signal(number)
    cluster.wait_until_balanced(tuple(others))
    with Callers(cluster.balancer.address()) as callers:
        for name in others:
            wait_for_view(retry, cluster.entries[name], others)
    assert not callers.cut(), (callers.statuses(), callers.cut()[:3])
    lost.send_signal(signal.SIGCONT)
    if number == signal.SIGSTOP:
        for entry in cluster.entries.values():
            wait_for_view(retry, entry, cluster.entries)


@pytest.mark.process
def test_orders_cut_by_a_kill_run_once_when_sent_again(cluster, retry):
    others = tuple(name for name in cluster.entries if name != "entry-3")
    with Callers(cluster.balancer.address(), searching=2, ordering=10) as callers:
        retry(lambda: len(callers.sent) > 50, TIMEOUT_S)
        cluster.entries["entry-3"].send_signal(signal.SIGKILL)
        cluster.wait_until_balanced(others)
    cut = [sent for sent in callers.cut() if sent.key]
    assert cut
    again = [callers.resend(sent) for sent in cut]
    assert {sent.detail for sent in again} <= {"done", "unknown"}, again[:3]
    runs = runs_per_key(cluster)
    done = {sent.key for sent in again if sent.status == 200} | callers.ordered_keys()
    assert done <= set(runs)
    assert all(number == 1 for number in runs.values())


@pytest.mark.process
def test_searches_go_on_while_the_store_and_the_list_are_out(cluster, retry):
    set_switches(cluster.store.address(), outage=True)
    set_switches(cluster.instance_list.address(), outage=True)
    try:
        with Callers(cluster.balancer.address()) as callers:
            retry(lambda: len(callers.sent) > 200, TIMEOUT_S)
        views = [live_peers(entry) for entry in cluster.entries.values()]
    finally:
        set_switches(cluster.store.address(), outage=False)
        set_switches(cluster.instance_list.address(), outage=False)
    assert views == [set(cluster.entries)] * 4
    refused = callers.cut()
    assert refused
    assert all(sent.key and sent.status == 503 for sent in refused), refused[:3]
    assert all('"reason":"store_unavailable"' in sent.body for sent in refused), refused[:3]
    assert not {sent.key for sent in refused} & set(runs_per_key(cluster))
    with Callers(cluster.balancer.address()) as again:
        retry(lambda: len(again.ordered_keys()) > 5, TIMEOUT_S)


@pytest.mark.process
def test_the_targets_of_a_frozen_zone_cost_no_coverage_for_long(cluster, retry):
    cluster.targets["zone-b"].send_signal(signal.SIGSTOP)
    try:
        with Callers(cluster.balancer.address(), searching=4, ordering=0) as callers:
            retry(lambda: len(callers.sent) > 300, TIMEOUT_S)
    finally:
        cluster.targets["zone-b"].send_signal(signal.SIGCONT)
    assert not callers.cut(), (callers.statuses(), len(callers.cut()), callers.cut()[:2])
