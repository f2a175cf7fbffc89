"""Headers and statuses of the platform's messages, and entries of its store, are decoded correctly.

Guards against a reply that is taken for that of another attempt, and against a failed request that
is taken for one that did not run, which would be retried and run twice.
"""

import msgspec
import pytest

from savoryarch.codec import HttpReply, HttpReplyParser
from savoryarch.front import ParsedRequest, UnusableRequest
from savoryarch.model import (
    MalformedReply,
    Misdirected,
    RefusalReason,
    Refused,
    ResponseReturned,
    SendAttempt,
    Shed,
    Target,
)
from savoryarch.model.forwarding import (
    ForwardedRequest,
    RegisteredInstance,
    ShardsAnswered,
    TargetAnswered,
    ToService,
    ToShards,
    ToSplit,
    Unanswered,
)
from savoryarch.platform import (
    PlatformDialect,
    decode_request,
    decode_table,
    decode_target,
    encode_answer,
    make_entry_codec,
)

REQUEST = ForwardedRequest("id-1", b"POST", b"/a/b?c", "h", ((b"Request-Id", b"id-1"),), b"xy")
SEND = SendAttempt("forwarding/1", "i-7@42", 100.0, REQUEST)
TARGET = Target("i-7@42", "s", "z", "10.0.0.1", 80)
TARGET_HEADERS = "Request-Id: id-1\r\nResponse-Stamp: d1\r\n"


def parse_reply(status, headers, body=b"ok"):
    text = f"HTTP/1.1 {status} X\r\n{headers}content-length: {len(body)}\r\n\r\n"
    return HttpReplyParser().feed(text.encode() + body)[0]


def test_an_attempt_states_its_target_and_the_remaining_time():
    sent = PlatformDialect().encode_attempt(SEND, TARGET, 99.7)
    head, _, body = sent.partition(b"\r\n\r\n")
    assert head.split(b"\r\n") == [
        b"POST /a/b?c HTTP/1.1",
        b"Request-Id: id-1",
        b"deadline-ms: 99",
        b"expect-instance: i-7",
        b"content-length: 2",
    ]
    assert body == b"xy"


@pytest.mark.parametrize(
    ("status", "headers", "is_own_reply", "reply"),
    [
        (200, TARGET_HEADERS, True, ResponseReturned),
        (500, TARGET_HEADERS, True, ResponseReturned),
        (503, TARGET_HEADERS, True, ResponseReturned),
        (503, "Request-Id: id-1\r\nNot-Executed: 1\r\n", True, Shed),
        (429, "Request-Id: id-1\r\nNot-Executed: 1\r\n", True, Shed),
        (421, "Request-Id: id-1\r\nInstance-Id: i-8\r\n", True, Misdirected),
        # Targets repeat the id in each reply; these may be copies of replies to other requests.
        (503, "Not-Executed: 1\r\n", False, None),
        (429, "Not-Executed: 1\r\n", False, None),
        (421, "Instance-Id: i-8\r\n", False, None),
        (200, "Response-Stamp: d1\r\n", False, None),
        (200, "Request-Id: id-0\r\nResponse-Stamp: d1\r\n", False, None),
        (503, "Request-Id: id-0\r\nNot-Executed: 1\r\n", False, None),
        (200, "Request-Id: id-1\r\n", True, MalformedReply),
        (200, TARGET_HEADERS + "Content-Encoding: gzip\r\n", True, MalformedReply),
    ],
)
def test_replies_are_classified(status, headers, is_own_reply, reply):
    parsed = parse_reply(status, headers)
    dialect = PlatformDialect()
    assert dialect.is_reply_to(parsed, SEND) == is_own_reply
    if reply:
        assert isinstance(dialect.decode_attempt_reply(parsed, SEND)[0], reply)


def test_a_reply_is_forwarded_without_connection_headers():
    headers = TARGET_HEADERS + "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\nX-Own: 1\r\n"
    reply = PlatformDialect().decode_attempt_reply(parse_reply(200, headers), SEND)[0]
    assert reply.headers == (
        (b"Request-Id", b"id-1"),
        (b"Response-Stamp", b"d1"),
        (b"X-Own", b"1"),
    )
    assert (reply.body, reply.digest) == (b"ok", "d1")


@pytest.mark.parametrize(
    ("keep_alive", "limit_ms"), [("timeout=5", 4000.0), ("max=3, timeout=10", 8000.0), ("", 4000.0)]
)
def test_idle_connections_are_not_reused_past_their_timeout(keep_alive, limit_ms):
    reply = HttpReply(200, b"", {"keep-alive": keep_alive})
    assert PlatformDialect().max_idle_ms(reply) == limit_ms


def make_parsed_request(*headers):
    rows = tuple((name.encode(), value.encode()) for name, value in headers)
    return ParsedRequest(b"GET", b"/a/", rows, b"", True)


@pytest.mark.parametrize(
    ("headers", "result"),
    [
        ([("Host", "h"), ("Request-Id", "r")], (None, [b"Host", b"Request-Id"])),
        ([("Request-Id", "r"), ("Deadline-Ms", "250")], (250.0, [b"Request-Id"])),
        ([("Request-Id", "r"), ("Connection", "close"), ("X", "1")], (None, [b"Request-Id", b"X"])),
        ([("Request-Id", "r"), ("Expect-Instance", "i")], (None, [b"Request-Id"])),
        ([("Host", "h")], "missing_request_id"),
        ([("Request-Id", "r"), ("Deadline-Ms", "-1")], "malformed_deadline"),
        ([("Request-Id", "r"), ("Deadline-Ms", "soon")], "malformed_deadline"),
    ],
)
def test_requests_are_decoded(headers, result):
    decoded = decode_request(make_parsed_request(*headers))
    if isinstance(result, str):
        assert isinstance(decoded, UnusableRequest)
        assert (decoded.status, decoded.reason) == (400, result)
    else:
        request, remaining_ms = decoded
        assert (remaining_ms, [name for name, _ in request.headers]) == result


def make_refusal(reason, retry_after_ms=None):
    return Refused(RefusalReason(reason), "text", True, retry_after_ms)


@pytest.mark.parametrize(
    ("outcome", "status", "headers"),
    [
        (TargetAnswered(500, ((b"A", b"1"),), b"x"), 500, {b"A": b"1"}),
        (
            ShardsAnswered(("d1", "d2"), 3, b"x"),
            200,
            {b"Part-Stamps": b"d1, d2", b"Missing-Parts": b"3"},
        ),
        (make_refusal("overloaded", 125.0), 503, {b"Retry-After": b"0.125"}),
        (make_refusal("no_configuration", 10.0), 503, {b"Retry-After": b"0.010"}),
        (make_refusal("unknown_route", 125.0), 404, {}),
        (Unanswered(True, "x"), 504, {}),
        (Unanswered(False, "x"), 502, {}),
    ],
)
def test_outcomes_are_encoded(outcome, status, headers):
    answer = encode_answer(outcome)
    assert (answer.status, dict(answer.headers)) == (status, headers)


ROUTE = {
    "name": "r",
    "host": "H.example",
    "path-prefix": "/a/",
    "type": "idempotent",
    "timeout-ms": 800,
    "slo-ms": 56,
    "priority": 2,
    "max-attempts": 3,
}


@pytest.mark.parametrize(
    ("fields", "destination"),
    [
        ({"service": "s"}, ToService("s")),
        ({"gather": ["s", "t"], "top-k": 5, "min-coverage": 0.75}, ToShards(("s", "t"), 5, 0.75)),
        ({"split": [{"service": "s", "weight": 2}]}, ToSplit),
    ],
)
def test_a_table_is_decoded(fields, destination):
    value = msgspec.json.encode(
        {
            "version": 7,
            "routes": [ROUTE | fields],
            "services": [{"name": "s", "max-conns": 26, "health-path": "/h"}],
            "new-field": 1,
        }
    )
    table = decode_table(value)
    (route,) = table.routes
    assert (table.version, table.connection_limits["s"]) == (7, 26)
    assert (route.host, route.objective_ms, route.max_attempts) == ("h.example", 56, 3)
    if isinstance(destination, type):
        assert isinstance(route.destination, destination)
    else:
        assert route.destination == destination


@pytest.mark.parametrize(
    ("kind", "idempotent"), [("idempotent", True), ("non_idempotent", False), ("unheard-of", False)]
)
def test_only_routes_declared_idempotent_are_idempotent(kind, idempotent):
    route = ROUTE | {"type": kind, "service": "s"}
    value = msgspec.json.encode({"version": 1, "routes": [route]})
    assert decode_table(value).routes[0].idempotent == idempotent


TARGET_REGISTRATION = {
    "service": "s",
    "address": "10.128.0.9:8080",
    "zone": "z",
    "slots": 2,
    "state": "ready",
    "sequence": 4,
}


@pytest.mark.parametrize(
    ("fields", "target_id", "draining", "sequence"),
    [
        ({}, "i-7@0", False, 4),
        ({"born": 1700000000000}, "i-7@1700000000000", False, 4),
        ({"state": "draining", "sequence": 5}, "i-7@0", True, 5),
    ],
)
def test_a_target_is_decoded(fields, target_id, draining, sequence):
    target = decode_target("i-7", msgspec.json.encode(TARGET_REGISTRATION | fields))
    assert (target.target.target_id, target.name, target.draining) == (target_id, "i-7", draining)
    assert target.sequence == sequence
    assert (target.target.host, target.target.port) == ("10.128.0.9", 8080)


@pytest.mark.parametrize(
    "fields",
    [
        {"state": "sleeping"},
        {"state": 3},
        {"address": "nowhere"},
        {"slots": 0},
        {"slots": "two"},
        {"service": None},
    ],
)
def test_a_malformed_target_is_rejected(fields):
    with pytest.raises((ValueError, msgspec.MsgspecError)):
        decode_target("i-7", msgspec.json.encode(TARGET_REGISTRATION | fields))


@pytest.mark.parametrize(
    ("key", "value", "kind"),
    [
        ("op/config", b"{", "MalformedEntry"),
        ("servers/i-1", b"\xff", "MalformedEntry"),
        ("servers/i-1", msgspec.json.encode(TARGET_REGISTRATION), "RegisteredTarget"),
        ("own/a", b"[]", "MalformedEntry"),
        ("other", b"", "UnrelatedEntry"),
    ],
)
def test_entries_are_classified_by_their_key(key, value, kind):
    assert type(make_entry_codec("own/").decode(key, value)).__name__ == kind


def test_an_encoded_registration_decodes_to_the_same_registration():
    codec = make_entry_codec("own/")
    instance = RegisteredInstance("me", "z", "10.0.0.1", 9)
    assert codec.decode("own/me", codec.encode_instance(instance)) == instance


HOUR_MS = 3_600_000.0


@pytest.mark.parametrize(
    ("status", "headers", "leaving", "hold_ms", "is_logged"),
    [
        (200, "", False, None, False),
        (200, "Server-Leaving: 1\r\n", True, None, False),
        (503, "Server-Leaving: 1\r\nNot-Executed: 1\r\n", True, None, False),
        (500, "Server-Leaving: 1\r\n", True, None, False),
        (200, "Server-Leaving: 0\r\n", False, None, False),
        (503, "Retry-After: 2\r\n", False, 2000.0, False),
        (503, "Retry-After: 0.25\r\nNot-Executed: 1\r\n", False, 250.0, False),
        (503, "Retry-After: 0\r\n", False, 0.0, False),
        (503, "Server-Leaving: 1\r\nRetry-After: 3\r\n", True, 3000.0, False),
        (503, "Retry-After: 1e9\r\n", False, None, True),
        (503, f"Retry-After: {'9' * 400}\r\n", False, HOUR_MS, True),
        (503, "Retry-After: 7200\r\n", False, HOUR_MS, True),
        (503, "Retry-After: -1\r\n", False, None, True),
        (503, "Retry-After: soon\r\n", False, None, True),
        (503, "Retry-After: nan\r\n", False, None, True),
        (503, "Retry-After: 1.2.3\r\n", False, None, True),
        (503, "Retry-After: \u00b2\r\n", False, None, True),
        (503, "Retry-After: Sat, 05 Dec 2026 10:00:00 GMT\r\n", False, None, True),
        # Only a 503 asks for a pause of the target itself.
        (200, "Retry-After: 2\r\n", False, None, False),
        (429, "Retry-After: 2\r\n", False, None, False),
    ],
)
def test_what_a_target_states_about_itself_is_decoded(status, headers, leaving, hold_ms, is_logged):
    reply = HttpReplyParser().feed(
        f"HTTP/1.1 {status} X\r\n{headers}content-length: 0\r\n\r\n".encode("latin-1")
    )[0]
    advice = PlatformDialect().decode_advice(reply)
    assert (advice.leaving, advice.hold_ms, bool(advice.ignored)) == (leaving, hold_ms, is_logged)
    assert len(advice.ignored) < 200


@pytest.mark.parametrize("deadline", ["\u00b2", "1" * 400])
def test_an_odd_deadline_is_refused_or_bounded(deadline):
    rows = ((b"Request-Id", b"r"), (b"Deadline-Ms", deadline.encode("latin-1")))
    decoded = decode_request(ParsedRequest(b"GET", b"/a/", rows, b"", True))
    assert isinstance(decoded, UnusableRequest) or decoded[1] > 0.0


@pytest.mark.parametrize("timeout", ["\u00b2", "-1", "x", "", "9" * 400])
def test_an_odd_idle_timeout_does_not_end_the_connection(timeout):
    reply = HttpReply(200, b"", {"keep-alive": f"timeout={timeout}"})
    assert PlatformDialect().max_idle_ms(reply) > 0.0


@pytest.mark.parametrize(
    ("load", "in_flight"),
    [
        ("3,0,8", 3),
        (" 3 , 2 , 8", 5),
        ("3,2", 5),
        ("", None),
        ("3", None),
        ("-1,2,8", None),
        ("1.5,2,8", None),
        ("\u00b2,2,8", None),
        ("9" * 400 + ",0,8", None),
    ],
)
def test_the_requests_that_a_target_reports_are_decoded(load, in_flight):
    assert (
        PlatformDialect().decode_in_flight(HttpReply(200, b"", {"server-load": load})) == in_flight
    )
