"""Planned stops under load cut no request, although the balancer notices a stop with a lag.

Until its readiness check fails, the balancer sends requests to the stopping instance; an instance
that refused them or closed connections at once would cut these requests.
"""

import json
import re
import signal
from http.client import HTTPConnection
from threading import Event

import pytest
import requests

from savoryarch.platform import DEADLINE_HEADER, REQUEST_ID_HEADER
from savoryarch_soak import _instances, _small_deployment
from savoryarch_standins.harness import Cluster, ClusterPlan, EntryPlan
from tests.process.callers import Callers, runs_per_key
from tests.process.conftest import PLAN, RESOURCES, TIMEOUT_S, wait_for_configuration

REPEATED_SIGNALS = 3  # a platform may send SIGTERM more than once
STOP_TIMEOUT_S = 20.0
SHORT_GRACE_MS = 1500
PATHS = ("searches/counter", "routes/order")


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
    assert "process_ending reason=urgent_stop signal=SIGINT" in entry.read_log_tail(1)


@pytest.mark.process
@pytest.mark.parametrize("sent_after_ms", [0, 300])
def test_a_stop_answers_the_requests_that_it_cannot_complete(tmp_path, monkeypatch, sent_after_ms):
    """Guards against requests that are passed on late in the grace and cut without an answer.

    The targets take longer than the grace. Requests are sent before the signal, or while the
    instance still accepts them.
    """

    def render_settings(*arguments):
        text = _instances.render_settings(*arguments)
        return re.sub(
            r"shutdown_deadline_ms = .*", f"shutdown_deadline_ms = {SHORT_GRACE_MS}", text
        )

    monkeypatch.setattr(_small_deployment, "render_settings", render_settings)
    with _small_deployment.SmallDeployment(tmp_path) as deployment:
        entry, first = deployment.start_entry()
        for replica in range(_small_deployment.REPLICAS):
            deployment.set_switches(replica, work_ms=60_000.0)
        others = [HTTPConnection(first.host, first.port, timeout=TIMEOUT_S) for _ in range(2)]
        requests_sent = [("order", "POST"), ("read", "GET"), ("find", "GET")]
        if sent_after_ms:
            entry.send_signal(signal.SIGTERM)
            Event().wait(sent_after_ms / 1000.0)
        for connection, (route, method) in zip([first, *others], requests_sent, strict=True):
            headers = {
                "host": _small_deployment.ROUTE_HOST,
                REQUEST_ID_HEADER: f"late-{route}",
                DEADLINE_HEADER: "2000",
            }
            connection.request(method, f"/{route}/1", headers=headers)
        if not sent_after_ms:
            Event().wait(0.3)
            entry.send_signal(signal.SIGTERM)
        statuses = [connection.getresponse().status for connection in [first, *others]]
        assert statuses == [502, 502, 502]
        assert entry.wait_for_exit(STOP_TIMEOUT_S) == 1
        arrived = {item.request_id for item in deployment.read_arrivals()}
        assert {"late-order", "late-read"} <= arrived


@pytest.mark.process
@pytest.mark.parametrize("sent_after_ms", [0, 300])
def test_a_stop_answers_the_searches_and_orders_that_it_cannot_complete(sent_after_ms):
    """Guards against searches and orders that are cut at the deadline of a stop.

    The targets do not reply. Requests are sent before the signal, or while the instance still
    accepts them.
    """
    grace = {"balancer_lag_ms": "1000", "shutdown_deadline_ms": str(SHORT_GRACE_MS)}
    plan = ClusterPlan(entries=(EntryPlan("entry-1", "zone-a"),), settings={"shutdown": grace})
    with Cluster(plan) as cluster:
        cluster.apply_resources(RESOURCES)
        entry = cluster.entries["entry-1"]
        wait_for_configuration(entry)
        callers = entry.address("callers")
        connections = [
            HTTPConnection(callers.host, callers.port, timeout=TIMEOUT_S) for _ in range(2)
        ]

        def send(connection, path, key):
            headers = {"x-caller": "counter-app", "idempotency-key": key}
            body = json.dumps({"plate": 7})
            connection.request("POST", f"/v1/{path}", body, headers)

        for connection, path in zip(connections, PATHS, strict=True):
            send(connection, path, "before")
            answer = connection.getresponse()
            assert answer.status == 200, answer.read()
            answer.read()
        for targets in cluster.targets.values():
            targets.send_signal(signal.SIGSTOP)
        if sent_after_ms:
            entry.send_signal(signal.SIGTERM)
            Event().wait(sent_after_ms / 1000.0)
        for connection, path in zip(connections, PATHS, strict=True):
            send(connection, path, "late")
        if not sent_after_ms:
            Event().wait(0.3)
            entry.send_signal(signal.SIGTERM)
        answers = [connection.getresponse() for connection in connections]
        search, order = (json.loads(answer.read()) for answer in answers)
        assert (search["outcome"], search["reason"]) == ("refused", "stopping")
        assert search["not_run"] is False
        assert order["outcome"] == "unknown"
        assert entry.wait_for_exit(STOP_TIMEOUT_S) == 1
        last = entry.read_log_tail(1)
        assert "process_ending reason=deadline_reached signal=SIGTERM exit_code=1 cut=2" in last
