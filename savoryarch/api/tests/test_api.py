"""The operators' API validates requests, checks tokens, and applies each change once.

Guards against a request that is half applied or applied twice when an operator sends it again, and
against a token that allows more than its role.
"""

import json
from dataclasses import dataclass

import pytest
from treq.testing import StubTreq
from twisted.internet.defer import Deferred, succeed

from savoryarch.api import AccessPolicy, Role, find_role, hash_token, make_operator_app
from savoryarch.api._pending_changes import PendingChanges
from savoryarch.configuration.tests.fleet import Fleet
from savoryarch.model import (
    AnswerChange,
    Caller,
    ChangeAccepted,
    ChangeBlocked,
    ChangeRequested,
    ChangeUnavailable,
    ChangeUnknown,
    Notice,
    PutResource,
    RaiseNotice,
    StatusRequested,
)
from savoryarch.notices import NoticesState, decide_notices
from savoryarch.utils import Clock

URL = "http://127.0.0.1:8081"


@dataclass(frozen=True)
class State:
    configuration: object
    notices: NoticesState


class SimulatedBridge:
    """Bridge to one simulated instance in virtual time."""

    def __init__(self):
        self.fleet = Fleet(seed=5)
        self.fleet.start("entry-0")
        self.fleet.run(50)
        self.clock = Clock(lambda: self.fleet.now_ms / 1000)
        self.ids = 0
        self.refusals = []
        self.fixed_outcome = None
        self.notices = decide_notices(
            NoticesState(), RaiseNotice(Notice("n1", "s", "d", ("a", "b"))), 0.0
        ).state

    def submit(self, event):
        if self.fixed_outcome:
            return succeed(self.fixed_outcome)
        self.fleet.deliver("entry-0", event)
        self.fleet.run(600)
        match event:
            case ChangeRequested(change_id=change_id):
                return succeed(self.fleet.answers[change_id][0])
            case StatusRequested(status_id=status_id):
                return succeed(self.fleet.statuses[status_id])

    def read_state(self):
        return State(self.fleet.states["entry-0"], self.notices)

    def wait_for_newer_generation(self, generation, wait_ms):
        self.fleet.run(wait_ms)
        return succeed(None)

    def next_request_id(self):
        self.ids += 1
        return f"r{self.ids}"

    def render_metrics(self):
        return b"savoryarch_refusals_total 1\n"

    def count_refusal(self, reason):
        self.refusals.append(reason)


def send_request(bridge, method, path, body=None, access=None, token=None):
    client = StubTreq(make_operator_app(bridge, access).resource())
    headers = {"authorization": f"Bearer {token}"} if token else {}
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    replies = []
    client.request(method, URL + path, data=data, headers=headers).addCallback(
        lambda reply: reply.content().addCallback(lambda text: replies.append((reply.code, text)))
    )
    client.flush()
    status, text = replies[0]
    return status, (json.loads(text) if text.startswith(b"{") else text)


PORTAL = {"weight": 2}


def make_apply_body(*names):
    return {"changes": [{"put": {"kind": "caller", "name": name, "weight": 2}} for name in names]}


@pytest.mark.parametrize(
    ("steps", "status", "expected"),
    [
        ([("PUT", "/v1/resources/caller/portal", PORTAL)], 200, {"generation": 1}),
        (
            [
                ("PUT", "/v1/resources/caller/portal", PORTAL),
                ("GET", "/v1/resources/caller/portal", None),
            ],
            200,
            {"kind": "caller", "name": "portal", "revision": 1, "weight": 2.0},
        ),
        (
            [
                ("PUT", "/v1/resources/caller/portal", PORTAL),
                ("PUT", "/v1/resources/caller/portal?expected_revision=0", {"weight": 3}),
            ],
            409,
            {
                "reason": "conflict",
                "conflicts": [
                    {
                        "kind": "caller",
                        "name": "portal",
                        "expected_revision": 0,
                        "actual_revision": 1,
                    }
                ],
            },
        ),
        (
            [
                ("PUT", "/v1/resources/caller/portal", PORTAL),
                ("DELETE", "/v1/resources/caller/portal", None),
                ("GET", "/v1/watch?since=1", None),
            ],
            200,
            {
                "generation": 2,
                "changes": [{"type": "delete", "kind": "caller", "name": "portal", "revision": 2}],
            },
        ),
        ([("GET", "/v1/watch?since=0&wait_ms=20", None)], 200, {"generation": 0, "changes": []}),
        (
            [
                ("POST", "/v1/apply", make_apply_body("a", "b")),
                ("GET", "/v1/resources/caller", None),
            ],
            200,
            {},
        ),
        ([("GET", "/v1/status", None)], 200, {"instance_id": "entry-0", "generation": 0}),
        ([("GET", "/v1/notices", None)], 200, {}),
        ([("GET", "/v1/resources/caller/absent", None)], 404, {"reason": "unknown_resource"}),
        ([("DELETE", "/v1/resources/caller/absent", None)], 404, {"reason": "unknown_resource"}),
        ([("GET", "/v1/resources/calller", None)], 404, {"reason": "unknown_kind"}),
        ([("GET", "/v2", None)], 404, {"reason": "unknown_path"}),
        ([("POST", "/v1/status", None)], 405, {"reason": "method_not_allowed"}),
        ([("PUT", "/v1/resources/caller/x", b"{")], 400, {"reason": "malformed_body"}),
        ([("POST", "/v1/apply", b" " * (2**20 + 1))], 413, {"reason": "body_too_large"}),
        ([("GET", "/v1/watch?since=-1", None)], 400, {"reason": "malformed_query"}),
        ([("POST", "/v1/apply", {"changes": []})], 422, {"reason": "invalid"}),
        ([("POST", "/v1/restore", {"choice": "x"})], 422, {"reason": "invalid"}),
        ([("POST", "/v1/restore", {"choice": "take-stored"})], 422, {"reason": "invalid"}),
        (
            [("PUT", "/v1/resources/search/s", {"deadline_ms": 0, "prefer": "speed"})],
            422,
            {
                "detail": "3 findings",
                "findings": [
                    {
                        "path": "search.s",
                        "message": "field 'shard_maps' is missing: the services that hold every "
                        "record exactly once, one partitioning a line",
                    },
                    {
                        "path": "search.s.deadline_ms",
                        "message": "got 0, expected a number from 1 to 600000",
                    },
                    {
                        "path": "search.s.prefer",
                        "message": "got 'speed', expected one of latency, coverage",
                    },
                ],
            },
        ),
    ],
)
def test_requests_have_their_reply(steps, status, expected):
    bridge = SimulatedBridge()
    for method, path, body in steps:
        got_status, got = send_request(bridge, method, path, body)
    assert got_status == status
    assert {key: got.get(key) for key in expected} == expected
    if status in (400, 404, 405, 413):
        assert bridge.refusals == [got["reason"]]


@pytest.mark.parametrize(
    ("outcome", "status", "reason", "not_run"),
    [
        (ChangeUnavailable("x"), 503, "store_unavailable", True),
        (ChangeUnknown("x"), 504, "reply_lost", False),
        (ChangeBlocked(1, 2), 409, "store_restored", True),
    ],
)
def test_outcomes_of_changes_have_their_status(outcome, status, reason, not_run):
    bridge = SimulatedBridge()
    bridge.fixed_outcome = outcome
    got_status, got = send_request(bridge, "POST", "/v1/apply", make_apply_body("a"))
    assert (got_status, got["reason"], got["not_run"]) == (status, reason, not_run)


def test_a_change_that_is_sent_again_is_applied_once():
    bridge = SimulatedBridge()
    body = make_apply_body("a") | {"change_id": "release-7"}
    first = send_request(bridge, "POST", "/v1/apply", body)
    send_request(
        bridge, "POST", "/v1/apply", {"changes": [{"delete": {"kind": "caller", "name": "a"}}]}
    )
    assert send_request(bridge, "POST", "/v1/apply", body) == first
    assert send_request(bridge, "GET", "/v1/resources/caller/a")[0] == 404


def test_concurrent_requests_for_one_change_submit_it_once():
    bridge = SimulatedBridge()
    submitted = []
    bridge.submit = lambda change: submitted.append(Deferred()) or submitted[-1]
    pending = PendingChanges(bridge)
    change = ChangeRequested("release-7", (PutResource(Caller("portal")),))
    outcomes = []
    for _ in range(2):
        pending.submit(change).addCallback(outcomes.append)
    submitted[0].callback(ChangeAccepted(1))
    assert (len(submitted), outcomes) == (1, [ChangeAccepted(1)] * 2)


ACCESS = AccessPolicy((hash_token("reader"),), (hash_token("writer"),))


@pytest.mark.parametrize(
    ("token", "role", "read_status", "write_status"),
    [
        (None, Role.NONE, 401, 401),
        ("stranger", Role.NONE, 401, 401),
        ("reader", Role.READ, 200, 403),
        ("writer", Role.WRITE, 200, 200),
    ],
)
def test_tokens_give_their_permissions(token, role, read_status, write_status):
    bridge = SimulatedBridge()
    assert find_role(ACCESS, token and f"Bearer {token}") is role
    assert send_request(bridge, "GET", "/v1/status", None, ACCESS, token)[0] == read_status
    assert send_request(bridge, "GET", "/metrics", None, ACCESS, token)[0] == read_status
    put = send_request(bridge, "PUT", "/v1/resources/caller/a", PORTAL, ACCESS, token)
    assert put[0] == write_status


def test_a_change_is_answered_once():
    fleet = Fleet(seed=2)
    fleet.start("entry-0")
    answers = []
    perform = fleet.perform
    fleet.perform = lambda instance_id, effect: (
        answers.append(effect) if isinstance(effect, AnswerChange) else perform(instance_id, effect)
    )
    fleet.request_change("entry-0", "c1", PutResource(Caller("portal")))
    fleet.run(10_000)
    assert answers == [AnswerChange("c1", ChangeAccepted(1))]
