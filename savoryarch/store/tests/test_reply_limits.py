"""Replies of the store that do not end, or are too large, are not kept.

Guards against an instance that exceeds its memory because of one reply, and against one that no
longer follows the store because the changes that it missed are too large to be read together.
"""

import json
from base64 import b64encode

import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from savoryarch.model import (
    KeysChanged,
    KeysListed,
    ListKeys,
    ReadKey,
    StoreUnreachable,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.platform import decode_store_reply, encode_store_call
from savoryarch.store import StoreClient, StoreSettings
from savoryarch.store._client import MAX_LIST_BYTES
from savoryarch.store._reply_body import MAX_REPLY_BYTES

READ = ReadKey("c", "p/a")
LIST = ListKeys("c", "p/")
WATCH = WatchKeys("c", "p/", 4, 500.0)
PIECE = b" " * 100_000
OPEN_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n"


class Connection:
    """A client of the store on a reactor in memory, with the replies to its calls."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        settings = StoreSettings(url="http://127.0.0.1:1", timeout_ms=1000.0)
        self._client = StoreClient(settings, self.reactor, encode_store_call, decode_store_reply)
        self.replies = []

    def perform(self, call):
        self._client.perform(call).addCallback(self.replies.append)
        factory = self.reactor.tcpClients[-1][2]
        self.protocol = factory.buildProtocol(None)
        self.transport = StringTransport()
        self.protocol.makeConnection(self.transport)

    def send_body(self, body):
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        self.protocol.dataReceived(head + body)


@pytest.fixture
def connection():
    return Connection()


@pytest.mark.parametrize(
    ("call", "reply_type"),
    [(READ, StoreUnreachable), (LIST, StoreUnreachable), (WATCH, WatchCompacted)],
)
def test_a_reply_that_is_too_large_ends_the_call_and_the_connection(connection, call, reply_type):
    connection.perform(call)
    connection.protocol.dataReceived(OPEN_HEAD)
    for _ in range(MAX_REPLY_BYTES // len(PIECE)):
        connection.protocol.dataReceived(PIECE)
    assert not connection.replies
    connection.protocol.dataReceived(PIECE)
    assert [type(reply) for reply in connection.replies] == [reply_type]
    assert connection.transport.disconnecting


def test_a_call_that_times_out_closes_the_connection(connection):
    connection.perform(READ)
    connection.protocol.dataReceived(OPEN_HEAD + PIECE)
    connection.reactor.advance(1.01)
    assert [type(reply) for reply in connection.replies] == [StoreUnreachable]
    assert connection.transport.disconnecting


def test_a_long_reply_is_read(connection):
    value = b"x" * (MAX_REPLY_BYTES // 2)
    event = {"key": "p/a", "value": b64encode(value).decode(), "revision": 5}
    connection.perform(WATCH)
    connection.send_body(json.dumps({"events": [event], "store-revision": 5}).encode())
    (reply,) = connection.replies
    assert isinstance(reply, KeysChanged) and reply.changes[0].value == value


@pytest.mark.parametrize(("page_count", "reply_type"), [(3, KeysListed), (9, StoreUnreachable)])
def test_a_list_is_limited_over_all_of_its_pages(connection, page_count, reply_type):
    value = b64encode(b"x" * (MAX_LIST_BYTES // 8)).decode()
    connection.perform(LIST)
    for number in range(page_count):
        items = [{"key": f"p/{number}", "value": value, "revision": 1}]
        page = {"items": items, "has-more": number < page_count - 1, "store-revision": 1}
        connection.send_body(json.dumps(page).encode())
        connection.reactor.advance(0.01)
    assert [type(reply) for reply in connection.replies] == [reply_type]
