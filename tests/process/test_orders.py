"""Orders through real entry instances that are killed, frozen and cut off from replies."""

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
ORDERS = 80
ORDERING = 12
SERVICE_MS = 150.0  # so that a fault finds orders that run
USUAL_SERVICE_MS = 10.0
NUMBERS = count()


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one send came to; `outcome` is ``cut`` if no whole answer came."""

    outcome: str
    body: str
    not_run: bool = False


class Ordering:
    """Callers that send each order again, to the next instance, until its outcome is known."""

    def __init__(self, addresses):
        self.outcomes = {}
        self._addresses = addresses
        self._stopping = Event()
        self._threads = [Thread(target=self._order, args=(number,)) for number in range(ORDERING)]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def shows(self, sign, after):
        """Return whether an order that ended after `after` others had an outcome `sign`."""
        ended = list(self.outcomes.values())[after + ORDERING :]
        return any(sent.outcome == sign for outcomes in ended for sent in outcomes)

    def _order(self, first):
        while not self._stopping.is_set():
            key = f"order-{next(NUMBERS)}"
            outcomes = []
            for again in range(SENDS_PER_KEY):
                address = self._addresses[(first + again) % len(self._addresses)]
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
        return Outcome("cut", repr(error))
    outcome = reply.headers.get("x-outcome", "cut")
    refused = outcome == "refused"
    return Outcome(outcome, reply.text, refused and reply.json()["not_run"])


def kill(cluster):
    cluster.entries["entry-2"].send_signal(signal.SIGKILL)


def freeze(cluster):
    cluster.entries["entry-2"].send_signal(signal.SIGSTOP)


def resume(cluster):
    cluster.entries["entry-2"].send_signal(signal.SIGCONT)


def lose_replies(cluster):
    set_switches(cluster.store.address(), lose_replies=30)


def slow_store(cluster):
    set_switches(cluster.store.address(), delay_ms=300.0)


def outage(cluster):
    set_switches(cluster.store.address(), outage=True)


def heal(cluster):
    set_switches(cluster.store.address(), outage=False, delay_ms=0.0, lose_replies=0)


def nothing(cluster):
    pass


@pytest.fixture
def slow_targets(cluster):
    """Make the targets of the orders slow."""
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
        set_switches(address, service_median_ms=USUAL_SERVICE_MS)


@pytest.mark.process
@pytest.mark.usefixtures("slow_targets")
@pytest.mark.parametrize(
    ("fault", "sign", "mend", "unknown_allowed"),
    [
        (kill, "cut", nothing, True),
        (freeze, "cut", resume, True),
        (lose_replies, "done", heal, False),
        (slow_store, "done", heal, False),
        (outage, "refused", heal, False),
    ],
)
def test_no_order_runs_twice(cluster, retry, fault, sign, mend, unknown_allowed):
    addresses = [str(entry.address("callers")) for entry in cluster.entries.values()]
    with Ordering(addresses) as ordering:
        retry(lambda: len(ordering.outcomes) > ORDERS, TIMEOUT_S)
        fault(cluster)
        before = len(ordering.outcomes)
        retry(lambda: ordering.shows(sign, before), 2 * TIMEOUT_S)
        mend(cluster)
        mended = len(ordering.outcomes)
        retry(lambda: len(ordering.outcomes) > mended + ORDERS // 2, TIMEOUT_S)
    runs = runs_per_key(cluster)
    twice = {key: runs[key] for key in ordering.outcomes if runs.get(key, 0) > 1}
    assert not twice, {key: ordering.outcomes[key] for key in twice}
    for key, outcomes in ordering.outcomes.items():
        last = outcomes[-1]
        assert last.outcome != "done" or runs.get(key) == 1, (key, outcomes)
        assert not last.not_run or key not in runs, (key, outcomes)
        assert unknown_allowed or last.outcome != "unknown", (key, outcomes)
