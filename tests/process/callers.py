"""Callers that send searches and orders and record the answers."""

from collections import Counter
from dataclasses import dataclass
from itertools import count
from threading import Event, Thread
from uuid import uuid4

import requests

REQUEST_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A request and its answer.

    Parameters
    ----------
    path : str
        Path of the request.
    key : str
        Idempotency key; empty for a search.
    status : int
        HTTP status; 0 if the connection failed or timed out.
    detail : str
        Header ``x-outcome`` of the answer; the error if there is no answer.
    body : str
        Body of the answer.
    """

    path: str
    key: str
    status: int
    detail: str
    body: str


def runs_per_key(cluster):
    """Return the number of runs of each idempotency key, over all targets."""
    runs = {}
    for process in cluster.targets.values():
        url = f"http://{process.ready_fields['host']}:{process.ready_fields['control']}/counts"
        for row in requests.get(url, timeout=REQUEST_TIMEOUT_S).json()["targets"]:
            for key, number in row["runs_per_key"].items():
                runs[key] = runs.get(key, 0) + number
    return runs


class Callers:
    """Closed-loop callers that send requests while the ``with`` block runs.

    Half of them use a persistent connection, the others a new connection per request.

    Parameters
    ----------
    address : Address
        Address of the balancer.
    searching, ordering : int
        Number of callers that send searches, and that send orders.
    """

    def __init__(self, address, searching=6, ordering=2):
        self.sent = []
        # Not the id of the object, which a later object may have again: an order of an earlier test
        # that a kill had cut would then have the same key.
        self._name = uuid4().hex
        self._url = f"http://{address}"
        self._stopping = Event()
        self._first_answered = Event()
        self._numbers = count()
        order_flags = [False] * searching + [True] * ordering
        self._threads = [
            Thread(target=self._send_until_stopped, args=(is_order, number % 2 == 0))
            for number, is_order in enumerate(order_flags)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        assert self._first_answered.wait(REQUEST_TIMEOUT_S)
        return self

    def __exit__(self, *error):
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def resend(self, sent):
        """Send a request again with its key and return the new `SentRequest`."""
        with requests.Session() as connection:
            return self._post(connection, sent.path, sent.key)

    def incomplete(self):
        """Return the requests that were cut, refused or answered without some shards."""
        return [sent for sent in self.sent if sent.status != 200 or '"left_out":[{' in sent.body]

    def left_out(self):
        """Return the shards that incomplete answers left out, with their reasons."""
        return [
            sent.body.partition('"left_out":')[2].partition("]")[0] for sent in self.incomplete()
        ]

    def statuses(self):
        """Return the number of requests by status."""
        return Counter(sent.status for sent in self.sent)

    def completed_order_keys(self):
        """Return the keys of the orders that were answered with status 200."""
        return {sent.key for sent in self.sent if sent.key and sent.status == 200}

    def _send_until_stopped(self, sends_orders, is_persistent):
        with requests.Session() as connection:
            while not self._stopping.is_set():
                self.sent.append(self._send(connection, sends_orders))
                self._first_answered.set()
                if not is_persistent:
                    connection.close()

    def _send(self, connection, is_order):
        key = f"order-{self._name}-{next(self._numbers)}" if is_order else ""
        path = "/v1/routes/order" if is_order else "/v1/searches/counter"
        return self._post(connection, path, key)

    def _post(self, connection, path, key):
        headers = {"x-caller": "counter-app"} | ({"idempotency-key": key} if key else {})
        try:
            reply = connection.post(
                self._url + path, json={"plate": 7}, headers=headers, timeout=REQUEST_TIMEOUT_S
            )
        except requests.RequestException as error:
            return SentRequest(path, key, 0, repr(error), "")
        return SentRequest(
            path, key, reply.status_code, reply.headers.get("x-outcome", ""), reply.text
        )
