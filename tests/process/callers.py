"""Callers that send searches and orders and count what came back."""

from collections import Counter
from dataclasses import dataclass
from itertools import count
from threading import Event, Thread

import requests

CALLER_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Sent:
    """One request and what came back; `status` is 0 if the connection was cut."""

    path: str
    key: str
    status: int
    detail: str
    body: str


def runs_per_key(cluster):
    """Return how often the targets ran each idempotency key."""
    runs = {}
    for process in cluster.targets.values():
        url = f"http://{process.ready_fields['host']}:{process.ready_fields['control']}/counts"
        for row in requests.get(url, timeout=CALLER_TIMEOUT_S).json()["targets"]:
            for key, number in row["runs_per_key"].items():
                runs[key] = runs.get(key, 0) + number
    return runs


class Callers:
    """Closed-loop callers until the block ends: half keep a connection, half open one a request.

    Parameters
    ----------
    address : Address
        Of the balancer.
    searching, ordering : int
        How many callers send searches, and orders.
    """

    def __init__(self, address, searching=6, ordering=2):
        self.sent = []
        self._url = f"http://{address}"
        self._stopping = Event()
        self._answered = Event()
        self._numbers = count()
        kinds = [False] * searching + [True] * ordering
        self._threads = [
            Thread(target=self._call, args=(is_order, number % 2 == 0))
            for number, is_order in enumerate(kinds)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        assert self._answered.wait(CALLER_TIMEOUT_S)
        return self

    def __exit__(self, *error):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def resend(self, sent):
        """Send an order once more with its key; returns what came back."""
        with requests.Session() as connection:
            return self._post(connection, sent.path, sent.key)

    def cut(self):
        """Return the requests that were cut or got anything but a whole answer."""
        return [sent for sent in self.sent if sent.status != 200 or '"left_out":[{' in sent.body]

    def statuses(self):
        """Return how many requests got each status."""
        return Counter(sent.status for sent in self.sent)

    def ordered_keys(self):
        """Return the keys of the orders that were answered as done."""
        return {sent.key for sent in self.sent if sent.key and sent.status == 200}

    def _call(self, ordering, keeps_connection):
        with requests.Session() as connection:
            while not self._stopping.is_set():
                self.sent.append(self._send(connection, ordering))
                self._answered.set()
                if not keeps_connection:
                    connection.close()

    def _send(self, connection, ordering):
        key = f"order-{id(self)}-{next(self._numbers)}" if ordering else ""
        path = "/v1/routes/order" if ordering else "/v1/searches/counter"
        return self._post(connection, path, key)

    def _post(self, connection, path, key):
        headers = {"x-caller": "counter-app"} | ({"idempotency-key": key} if key else {})
        try:
            reply = connection.post(
                self._url + path, json={"plate": 7}, headers=headers, timeout=CALLER_TIMEOUT_S
            )
        except requests.RequestException as error:
            return Sent(path, key, 0, repr(error), "")
        return Sent(path, key, reply.status_code, reply.headers.get("x-outcome", ""), reply.text)
