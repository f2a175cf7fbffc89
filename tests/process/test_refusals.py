"""Invalid orders reach no target, and a key that is reused with another body is refused.

An instance that did not check the key would run an order without a claim, or take an order with
another body for a resend of the first one and answer it with the outcome of the first one.
"""

import pytest
import requests

from tests.process.callers import runs_per_key
from tests.process.conftest import TIMEOUT_S

pytestmark = pytest.mark.process
BODY = {"plate": 7}


def send(entry, route, key="", body=None, **headers):
    if key:
        headers["idempotency-key"] = key
    url = f"http://{entry.address('callers')}/v1/routes/{route}"
    return requests.post(url, json=body or BODY, headers=headers, timeout=TIMEOUT_S)


@pytest.mark.parametrize(
    ("route", "key", "headers", "status", "reason"),
    [
        ("order", "", {}, 400, "key_missing"),
        ("order", "k" * 257, {}, 400, "key_missing"),  # one character too long
        ("nothing", "refused-1", {}, 404, "unknown_route"),
        ("order", "refused-2", {"x-deadline-ms": "soon"}, 400, "malformed_deadline"),
    ],
)
def test_invalid_orders_reach_no_target(cluster, route, key, headers, status, reason):
    before = runs_per_key(cluster)
    reply = send(cluster.entries["entry-1"], route, key, **headers)
    assert (reply.status_code, reply.json()["reason"]) == (status, reason)
    assert runs_per_key(cluster) == before


def test_a_key_with_another_body_is_refused_at_every_instance(cluster):
    first = send(cluster.entries["entry-1"], "order", "reused-1")
    assert (first.status_code, first.headers["x-outcome"]) == (200, "done")
    for entry in cluster.entries.values():
        reused = send(entry, "order", "reused-1", {"plate": 8})
        assert (reused.status_code, reused.json()["reason"]) == (409, "key_reused")
        resent = send(entry, "order", "reused-1")
        assert (resent.status_code, resent.headers["x-recorded"]) == (200, "yes")
        assert resent.content == first.content
    assert runs_per_key(cluster)["reused-1"] == 1
