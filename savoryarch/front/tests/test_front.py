"""Connections of clients, which may send malformed bytes, pipeline requests, stall or disconnect.

Guards against a client that gets the answer to another request, that never gets one, or that holds
a connection forever. This can come about when a request arrives in parts, together with the next
one, or not at all.
"""

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from savoryarch.front import ClientConnection, ClientDialect, ClientMemory, ReadinessPage
from savoryarch.model import RefusalReason, Refused
from savoryarch.model.forwarding import FrontLimits, TargetAnswered
from savoryarch.platform import decode_request, encode_answer

LIMITS = FrontLimits(max_header_bytes=300, max_body_bytes=20)
GET = b"GET /a/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n\r\n"


def post(body, *headers):
    lines = ["POST /a/ HTTP/1.1", "Host: h", "Request-Id: r1", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class StubFront:
    """Replaces `Front` and records what connections submit, abandon and refuse."""

    def __init__(self):
        self.reactor = Clock()
        self.dialect = ClientDialect(decode_request, encode_answer)
        self.submitted = []
        self.answers = []
        self.abandoned = []
        self.refusals = []
        self.closing = False
        self.memory = ClientMemory()
        self.shortages = []

    def limits(self):
        return LIMITS

    def is_closing(self):
        return self.closing

    def submit(self, request, remaining_ms, answer):
        self.submitted.append(request)
        self.answers.append(answer)
        return f"q{len(self.submitted)}"

    def abandon(self, request_id):
        self.abandoned.append(request_id)

    def count_refusal(self, reason):
        self.refusals.append(reason)

    def report_memory_shortage(self, detail):
        self.shortages.append(detail)

    def remove_connection(self, connection):
        pass


class HalfClosingTransport(StringTransport):
    half_closed = False

    def setTcpNoDelay(self, enabled):
        pass

    def loseWriteConnection(self):
        self.half_closed = True


def connect():
    owner = StubFront()
    connection = ClientConnection(owner)
    connection.makeConnection(HalfClosingTransport())
    return owner, connection


def answered(body=b"ok"):
    return TargetAnswered(200, ((b"X", b"1"),), body)


def statuses(connection):
    return [
        int(part.split(b" ")[0]) for part in connection.transport.value().split(b"HTTP/1.1 ")[1:]
    ]


@pytest.mark.parametrize(
    ("sent_bytes", "body"),
    [
        (GET, b""),
        (post(b"hello", "Content-Length: 5"), b"hello"),
        (post(b"5\r\nhello\r\n3\r\nabc\r\n0\r\n\r\n", "Transfer-Encoding: chunked"), b"helloabc"),
    ],
)
@pytest.mark.parametrize("chunk_bytes", [1, 7, 1000])
def test_a_request_is_submitted_when_it_is_complete(sent_bytes, body, chunk_bytes):
    owner, connection = connect()
    for start in range(0, len(sent_bytes), chunk_bytes):
        assert not owner.submitted
        connection.dataReceived(sent_bytes[start : start + chunk_bytes])
    (request,) = owner.submitted
    assert request.body == body
    owner.answers[0](answered())
    assert connection.transport.value() == b"HTTP/1.1 200 OK\r\nX: 1\r\ncontent-length: 2\r\n\r\nok"


@pytest.mark.parametrize(
    ("sent_bytes", "status", "reason"),
    [
        (b"nonsense\r\n\r\n", 400, "malformed_request"),
        (post(b"hello", "Content-Length: 5", "Content-Length: 6"), 400, "malformed_request"),
        (
            post(b"0\r\n\r\n", "Content-Length: 5", "Transfer-Encoding: chunked"),
            400,
            "malformed_request",
        ),
        (post(b"", "Content-Length: -1"), 400, "malformed_request"),
        (post(b"x" * 30, "Content-Length: 30"), 413, "body_too_large"),
        (b"GET /a/ HTTP/1.1\r\nX: " + b"x" * 400, 431, "header_too_large"),
        (b"GET /a/ HTTP/1.1\r\nRequest-Id: r\r\n\r\n", 400, "malformed_host"),
        (b"GET /a/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400, "malformed_host"),
    ],
)
def test_unusable_requests_are_refused_and_the_connection_is_closed(sent_bytes, status, reason):
    owner, connection = connect()
    connection.dataReceived(sent_bytes)
    assert statuses(connection) == [status]
    assert owner.refusals == [reason]
    assert not owner.submitted
    # Bytes that the client still sends are read, because closing with unread bytes would reset the
    # connection, and the client might see the reset instead of the refusal.
    assert connection.transport.half_closed
    assert not connection.transport.disconnecting
    connection.dataReceived(GET)
    assert not owner.submitted
    owner.reactor.advance(2.0)  # the duration of the lingering close
    assert connection.transport.disconnected


def test_pipelined_requests_are_answered_in_order_one_at_a_time():
    owner, connection = connect()
    # Two complete requests and the start of a third one, whose rest follows separately.
    connection.dataReceived(GET + GET.replace(b"/a/1", b"/a/2") + GET[:10])
    connection.dataReceived(GET[10:].replace(b"r1", b"r3"))
    for number in range(3):
        assert len(owner.submitted) == number + 1
        owner.answers[number](answered(b"%d" % number))
    assert [request.client_request_id for request in owner.submitted] == ["r1", "r1", "r3"]
    assert statuses(connection) == [200, 200, 200]


@pytest.mark.parametrize(
    ("closing", "sent_bytes", "is_closed"),
    [
        (False, GET, False),
        (True, GET, True),
        (False, GET.replace(b"Host", b"Connection: close\r\nHost"), True),
    ],
)
def test_the_last_answer_announces_the_close(closing, sent_bytes, is_closed):
    owner, connection = connect()
    connection.dataReceived(sent_bytes)
    owner.closing = closing
    owner.answers[0](answered())
    assert (b"connection: close" in connection.transport.value()) == is_closed
    assert connection.transport.disconnecting == is_closed


@pytest.mark.parametrize(("sent_bytes", "abandoned"), [(b"", []), (GET[:20], []), (GET, ["q1"])])
def test_a_disconnected_client_abandons_its_request(sent_bytes, abandoned):
    owner, connection = connect()
    if sent_bytes:
        connection.dataReceived(sent_bytes)
    connection.connectionLost(Failure(ConnectionDone()))
    assert owner.abandoned == abandoned
    for answer in owner.answers:
        answer(answered())
    assert connection.transport.value() == b""
    assert not owner.reactor.getDelayedCalls()


# An idle connection times out after 15 s, and a request received in part after 3 s, both with the
# margin of 1 s. A complete request that has not been answered has no timeout.
@pytest.mark.parametrize(
    ("sent_bytes", "after_s", "status"),
    [(b"", 15.9, []), (b"", 16.1, []), (GET[:20], 3.9, []), (GET[:20], 4.1, [408]), (GET, 60, [])],
)
def test_slow_and_idle_connections_time_out(sent_bytes, after_s, status):
    owner, connection = connect()
    if sent_bytes:
        connection.dataReceived(sent_bytes)
    owner.reactor.advance(after_s)
    assert statuses(connection) == status
    assert connection.transport.disconnecting == (after_s == 16.1)
    assert connection.transport.half_closed == (after_s == 4.1)


def test_a_refusal_does_not_close_the_connection():
    owner, connection = connect()
    connection.dataReceived(GET)
    owner.answers[0](Refused(RefusalReason.OVERLOADED, "full", True, 40.0))
    assert statuses(connection) == [503]
    assert b"Retry-After: 0.040" in connection.transport.value()
    assert not connection.transport.disconnecting


@pytest.mark.parametrize(("ready", "status"), [(True, 200), (False, 503)])
def test_readiness_is_answered_on_persistent_connections(ready, status):
    page = ReadinessPage(lambda: ready).buildProtocol(None)
    page.makeConnection(HalfClosingTransport())
    page.dataReceived(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 2)
    assert statuses(page) == [status, status]


def test_hundreds_of_pipelined_requests_are_refused_one_by_one():
    """Each answer leads to the next request; recursion would exceed its limit."""
    owner, connection = connect()
    connection.dataReceived(GET.replace(b"Request-Id: r1\r\n", b"") * 1000)
    assert len(statuses(connection)) < 100  # other connections have their turn
    connection.close_if_idle()
    for _ in range(1000):
        owner.reactor.advance(0)
    assert statuses(connection) == [400] * 1000
    assert connection.transport.producerState == "producing"
    connection.close_if_idle()
    assert connection.transport.disconnecting
