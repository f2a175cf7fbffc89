"""The connections of clients together hold no more than their share of the memory.

Guards against an instance that exceeds its memory because clients send heads, bodies, trailers or
pipelined requests that it keeps, or do not read their answers.
"""

import gc
import weakref

import pytest
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure

from savoryarch.front import ClientConnection, MetricsPage, RequestParser
from savoryarch.front._client_memory import ClientMemory, make_client_memory
from savoryarch.front.tests.test_front import (
    GET,
    LIMITS,
    HalfClosingTransport,
    StubFront,
    answered,
    post,
    statuses,
)
from savoryarch.model.forwarding import FrontLimits

MEMORY_BYTES = 20_000
LARGE_LIMITS = FrontLimits()
CHUNKED = "Transfer-Encoding: chunked"


class SendingTransport(HalfClosingTransport):
    """A socket whose peer reads `readable_bytes`, and no more."""

    def __init__(self, readable_bytes):
        super().__init__()
        self.readable_bytes = readable_bytes
        self.sender = None

    def writeSomeData(self, data):
        sent = min(len(data), self.readable_bytes)
        self.readable_bytes -= sent
        self.io.write(data[:sent])
        return sent

    def registerProducer(self, producer, streaming):
        self.sender = producer
        producer.resumeProducing()

    def unregisterProducer(self):
        self.sender = None

    def startWriting(self):
        pass


class Holder:
    def __init__(self, name):
        self.name = name
        self.released = []

    def release_memory(self, detail):
        self.released.append(detail)


@pytest.fixture
def owner():
    front = StubFront()
    front.memory = ClientMemory(MEMORY_BYTES)
    return front


def connect(owner, readable_bytes=1_000_000):
    connection = ClientConnection(owner)
    connection.makeConnection(SendingTransport(readable_bytes))
    return connection


@pytest.mark.parametrize(
    ("updates", "reserved", "released", "held_bytes"),
    [
        ([("a", 400), ("b", 500)], 100, [], 1000),
        ([("a", 700), ("b", 400)], 0, ["a"], 400),
        ([("a", 400), ("b", 500)], 200, ["b"], 600),
        ([("a", 400), ("b", 500)], 1000, ["a", "b"], 1000),
        # An outstanding request is never discarded, and one that does not fit is not accepted.
        ([("a", 400)], 1001, ["a"], 0),
    ],
)
def test_the_largest_holder_is_released_above_the_limit(updates, reserved, released, held_bytes):
    holders = {name: Holder(name) for name, _ in updates}
    memory = ClientMemory(1000)
    for name, size in updates:
        memory.update(holders[name], size)
    assert memory.reserve(reserved) == (reserved <= 1000)
    assert [name for name, holder in holders.items() if holder.released] == released
    assert memory.held_bytes == held_bytes


@pytest.mark.parametrize(("memory_mb", "fits_mb"), [(430.0, 80), (0.0, 60)])
def test_the_limit_is_a_share_of_the_memory_of_the_process(memory_mb, fits_mb):
    memory = make_client_memory(memory_mb)
    assert memory.reserve(fits_mb * 1_000_000)
    assert not memory.reserve(fits_mb * 1_000_000)


@pytest.mark.parametrize(
    ("sent_bytes", "least_bytes"),
    [
        (b"GET /a/ HTTP/1.1\r\n" + b"a:\r\n" * 500, 500 * 100),
        (post(b"1\r\nx\r\n" * 500, CHUNKED), 500),
        (GET * 500, 499 * 500),
        (GET + b"GET /a/ HTTP/1.1\r\nX: " + b"x" * 5000, 5000),
    ],
)
def test_the_parser_counts_what_it_holds(sent_bytes, least_bytes):
    parser = RequestParser(LARGE_LIMITS)
    parser.feed(sent_bytes)
    assert parser.held_bytes >= least_bytes
    while parser.next_request():
        pass
    parser.close()
    assert parser.held_bytes == 0


def test_trailers_are_discarded_and_limited():
    parser = RequestParser(LIMITS)
    assert parser.feed(post(b"0\r\n", CHUNKED)) is None
    before_bytes = parser.held_bytes
    assert parser.feed(b"a:b\r\n" * 20) is None
    assert parser.held_bytes <= before_bytes + 100
    assert parser.feed(b"a:b\r\n" * 300).reason == "header_too_large"


def test_a_trailer_is_no_header():
    parser = RequestParser(LIMITS)
    request = parser.feed(post(b"1\r\nx\r\n0\r\nx-late: 1\r\n\r\n", CHUNKED))
    assert request.body == b"x" and not request.header("x-late")


@pytest.mark.parametrize("sent_bytes", [b"", GET[:20], post(b"x", "Content-Length: 5"), GET * 3])
def test_a_closed_parser_needs_no_garbage_collection(sent_bytes):
    gc.disable()
    try:
        parser = RequestParser(LIMITS)
        parser.feed(sent_bytes)
        reference = weakref.ref(parser)
        parser.close()
        del parser
        assert reference() is None
    finally:
        gc.enable()


@pytest.mark.parametrize("partial", [b"a:\r\n" * 40, b"X: " + b"x" * 250])
def test_requests_in_part_are_refused_when_they_hold_too_much(owner, partial):
    connections = [connect(owner) for _ in range(200)]
    for connection in connections:
        connection.dataReceived(GET[:-2] + partial)
        assert owner.memory.held_bytes <= MEMORY_BYTES
    refused = [connection for connection in connections if statuses(connection) == [503]]
    assert refused and len(refused) == len(owner.shortages)
    assert all(b"Retry-After: 1.000" in connection.transport.value() for connection in refused)
    assert not owner.submitted
    for connection in connections:
        connection.connectionLost(Failure(ConnectionDone()))
    assert owner.memory.held_bytes == 0


def test_outstanding_requests_are_kept_and_others_refused(owner):
    connections = [connect(owner) for _ in range(50)]
    for connection in connections:
        connection.dataReceived(GET)
    accepted = len(owner.submitted)
    assert 0 < accepted < len(connections)
    assert [statuses(item) for item in connections[accepted:]] == [[503]] * (50 - accepted)
    for answer in owner.answers:
        answer(answered())
    assert [statuses(item) for item in connections[:accepted]] == [[200]] * accepted
    assert owner.memory.held_bytes == 0


def test_pipelined_requests_are_discarded_and_the_answer_tells_so(owner):
    connection = connect(owner)
    connection.dataReceived(GET * 100)
    assert len(owner.submitted) == 1 and len(owner.shortages) == 1
    owner.answers[0](answered())
    assert statuses(connection) == [200]
    assert b"connection: close" in connection.transport.value()
    assert len(owner.submitted) == 1
    assert owner.memory.held_bytes == 0


@pytest.mark.parametrize(
    ("body_bytes", "after_s", "aborted"),
    [(15_000, 15.9, False), (15_000, 16.1, True), (30_000, 0.0, True)],
)
def test_an_answer_that_is_not_read_is_limited(owner, body_bytes, after_s, aborted):
    connection = connect(owner, readable_bytes=10)
    connection.dataReceived(GET)
    owner.answers[0](answered(b"x" * body_bytes))
    owner.reactor.advance(after_s)
    assert connection.transport.disconnected == aborted
    if aborted:
        connection.connectionLost(Failure(ConnectionDone()))
        assert owner.memory.held_bytes == 0
        assert not owner.reactor.getDelayedCalls()


def test_an_answer_that_is_read_slowly_is_not_cut():
    owner = StubFront()
    connection = connect(owner, readable_bytes=10)
    connection.dataReceived(GET)
    owner.answers[0](answered(b"x" * 100_000))
    while connection.transport.sender:
        owner.reactor.advance(15.9)
        connection.transport.sender.resumeProducing()
    assert not connection.transport.disconnected
    assert statuses(connection) == [200]
    assert connection.transport.value().count(b"x") == 100_000
    assert owner.memory.held_bytes == 0


def test_an_answer_that_is_read_late_is_complete(owner):
    connection = connect(owner, readable_bytes=10)
    connection.dataReceived(GET)
    owner.answers[0](answered(b"x" * 15_000))
    assert owner.memory.held_bytes >= 15_000
    connection.transport.sender.resumeProducing()
    assert owner.memory.held_bytes == 0
    assert statuses(connection) == [200]
    connection.dataReceived(GET)
    assert len(owner.submitted) == 2


def test_an_interim_answer_precedes_the_last_one(owner):
    connection = connect(owner)
    written = connection.transport.write
    # A real transport sends what is written in the next iteration of the loop.
    connection.transport.write = lambda data: owner.reactor.callLater(0, written, data)
    connection.dataReceived(post(b"", "Expect: 100-continue", "Content-Length: 5"))
    connection.dataReceived(b"hello")
    owner.answers[0](answered())
    owner.reactor.advance(0)
    assert statuses(connection) == [100, 200]


def test_one_page_at_most_waits_for_a_client_that_does_not_read():
    rendered = []
    page = MetricsPage(lambda: rendered.append(1) or b"x" * 1000).buildProtocol(None)
    page.makeConnection(SendingTransport(10))
    page.dataReceived(b"GET /metrics HTTP/1.1\r\n\r\n" * 3)
    assert len(rendered) == 1
    page.transport.sender.resumeProducing()
    assert len(rendered) == 2
    page.dataReceived(b"GET /metrics HTTP/1.1\r\n\r\n" * 400)
    assert page.transport.disconnected


def test_an_answer_does_not_overtake_an_interim_one(owner):
    connection = connect(owner)
    connection.dataReceived(post(b"", "Content-Length: 2", "Expect: 100-continue"))
    connection.dataReceived(b"ab")
    owner.answers[0](answered())
    assert statuses(connection) == [100, 200]


@pytest.mark.parametrize("sent_bytes", [b"", GET[:20], GET, GET * 3])
@pytest.mark.parametrize("is_answered", [False, True])
def test_a_lost_connection_needs_no_garbage_collection(owner, sent_bytes, is_answered):
    gc.disable()
    try:
        connection = connect(owner, readable_bytes=10)
        connection.dataReceived(sent_bytes)
        for answer in owner.answers if is_answered else ():
            answer(answered(b"x" * 1000))
        connection.connectionLost(Failure(ConnectionDone()))
        owner.answers.clear()
        reference = weakref.ref(connection)
        del connection
        if is_answered and owner.submitted:
            del answer
        assert reference() is None
    finally:
        gc.enable()
