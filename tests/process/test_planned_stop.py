"""Planned stops under load cut no request, although the balancer notices a stop with a lag.

Until its readiness check fails, the balancer sends requests to the stopping instance; an instance
that refused them or closed connections at once would cut these requests.
"""

import signal

import pytest
import requests

from tests.process.callers import Callers, runs_per_key
from tests.process.conftest import PLAN, TIMEOUT_S, wait_for_configuration

REPEATED_SIGNALS = 3  # a platform may send SIGTERM more than once
STOP_TIMEOUT_S = 20.0


@pytest.mark.process
@pytest.mark.timeout(120)
def test_a_rolling_replacement_of_all_instances_cuts_no_request(cluster):
    exit_codes = []
    with Callers(cluster.balancer.address()) as callers:
        for plan in PLAN.entries:
            leaving = cluster.entries[plan.instance_id]
            for _ in range(REPEATED_SIGNALS):
                leaving.send_signal(signal.SIGTERM)
            exit_codes.append(leaving.wait_for_exit(STOP_TIMEOUT_S))
            wait_for_configuration(cluster.start_entry(plan))
            cluster.wait_until_balanced(tuple(cluster.entries))
    assert exit_codes == [0] * len(PLAN.entries)
    assert not callers.incomplete(), (
        len(callers.sent),
        callers.statuses(),
        callers.incomplete()[:3],
    )
    assert len(callers.sent) > 100
    runs = runs_per_key(cluster)
    assert callers.completed_order_keys() <= set(runs)
    assert all(runs[key] == 1 for key in callers.completed_order_keys())


@pytest.mark.process
@pytest.mark.parametrize("signals", [2, 3])
def test_a_second_interrupt_stops_the_process_immediately(cluster, signals):
    entry = cluster.entries["entry-4"]
    entry.send_signal(signal.SIGINT)
    url = f"http://{entry.address('callers')}/ready"
    while requests.get(url, timeout=TIMEOUT_S).status_code == 200:
        pass
    for _ in range(signals - 1):
        entry.send_signal(signal.SIGINT)
    assert entry.wait_for_exit(1.5) in (0, 1)
    assert "shutdown_cut" in entry.read_log_tail()
