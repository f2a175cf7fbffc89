"""Orders run at most once while instances are killed or frozen, and while the store has faults.

A fault between the claim of an order, its run and the record of its outcome must neither let a
resend run it again nor make a refusal say falsely that it has not run.
"""

import signal
from dataclasses import dataclass
from itertools import count
from threading import Event, Thread

import pytest
import requests

from savoryarch_standins.harness import set_switches
from tests.process.callers import runs_per_key
from tests.process.conftest import TIMEOUT_S

SEND_TIMEOUT_S = 3.0
SENDS_PER_KEY = 4
MIN_ORDERS = 80
CALLER_COUNT = 12
SERVICE_MS = 150.0  # long enough that orders are in progress when a fault starts
DEFAULT_SERVICE_MS = 10.0
ORDER_NUMBERS = count()


@dataclass(frozen=True, slots=True)
class SendResult:
    """The result of sending an order once; `outcome` is ``cut`` without a complete answer."""

    outcome: str
    body: str
    not_run: bool = False


class OrderCallers:
    """Callers that resend each order to the next instance until its outcome is final.

    After `SENDS_PER_KEY` sends without a final outcome they go on to the next order.
    """

    def __init__(self, addresses):
        self.outcomes = {}
        self._addresses = addresses
        self._stopping = Event()
        self._threads = [
            Thread(target=self._send_orders, args=(number,)) for number in range(CALLER_COUNT)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def has_outcome(self, expected, after):
        """Return whether an order got the expected outcome after the first `after` orders.

        The next `CALLER_COUNT` orders are left out, as they may have been in flight already.
        """
        later_orders = list(self.outcomes.values())[after + CALLER_COUNT :]
        return any(sent.outcome == expected for outcomes in later_orders for sent in outcomes)

    def _send_orders(self, first):
        while not self._stopping.is_set():
            key = f"order-{next(ORDER_NUMBERS)}"
            outcomes = []
            for attempt in range(SENDS_PER_KEY):
                address = self._addresses[(first + attempt) % len(self._addresses)]
                outcomes.append(send(address, key))
                if outcomes[-1].outcome in ("done", "unknown"):
                    break
            self.outcomes[key] = outcomes


def send(address, key):
    try:
        reply = requests.post(
            f"http://{address}/v1/routes/order",
            json={"plate": key},
            headers={"idempotency-key": key},
            timeout=SEND_TIMEOUT_S,
        )
    except requests.RequestException as error:
        return SendResult("cut", repr(error))
    outcome = reply.headers.get("x-outcome", "cut")
    refused = outcome == "refused"
    return SendResult(outcome, reply.text, refused and reply.json()["not_run"])


def kill(cluster):
    cluster.entries["entry-2"].send_signal(signal.SIGKILL)


def freeze(cluster):
    cluster.entries["entry-2"].send_signal(signal.SIGSTOP)


def resume(cluster):
    cluster.entries["entry-2"].send_signal(signal.SIGCONT)


def lose_store_replies(cluster):
    set_switches(cluster.store.address(), lose_replies=30)


def delay_store(cluster):
    set_switches(cluster.store.address(), delay_ms=300.0)


def stop_store(cluster):
    set_switches(cluster.store.address(), outage=True)


def restore_store(cluster):
    set_switches(cluster.store.address(), outage=False, delay_ms=0.0, lose_replies=0)


def no_recovery(cluster):
    pass


@pytest.fixture
def slow_targets(cluster):
    """Raise the service time of the targets of orders during the test."""
    targets = [
        str(cluster.target_address(target.target_id))
        for service in cluster.make_services()
        if service.name == "pedidos"
        for target in service.targets
    ]
    for address in targets:
        set_switches(address, service_median_ms=SERVICE_MS)
    yield
    for address in targets:
        set_switches(address, service_median_ms=DEFAULT_SERVICE_MS)


@pytest.mark.process
@pytest.mark.usefixtures("slow_targets")
@pytest.mark.parametrize(
    ("fault", "expected_outcome", "recover", "unknown_allowed"),
    [
        (kill, "cut", no_recovery, True),
        (freeze, "cut", resume, True),
        (lose_store_replies, "done", restore_store, False),
        (delay_store, "done", restore_store, False),
        (stop_store, "refused", restore_store, False),
    ],
)
def test_no_order_runs_twice(cluster, wait_for, fault, expected_outcome, recover, unknown_allowed):
    addresses = [str(entry.address("callers")) for entry in cluster.entries.values()]
    with OrderCallers(addresses) as callers:
        wait_for(lambda: len(callers.outcomes) > MIN_ORDERS, TIMEOUT_S)
        fault(cluster)
        before = len(callers.outcomes)
        wait_for(lambda: callers.has_outcome(expected_outcome, before), 2 * TIMEOUT_S)
        recover(cluster)
        ended_at_recovery = len(callers.outcomes)
        wait_for(lambda: len(callers.outcomes) > ended_at_recovery + MIN_ORDERS // 2, TIMEOUT_S)
    runs = runs_per_key(cluster)
    twice = {key: runs[key] for key in callers.outcomes if runs.get(key, 0) > 1}
    assert not twice, {key: callers.outcomes[key] for key in twice}
    for key, outcomes in callers.outcomes.items():
        last = outcomes[-1]
        assert last.outcome != "done" or runs.get(key) == 1, (key, outcomes)
        assert not last.not_run or key not in runs, (key, outcomes)
        assert unknown_allowed or last.outcome != "unknown", (key, outcomes)
