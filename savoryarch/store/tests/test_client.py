import pytest
from twisted.internet import reactor
from twisted.internet.testing import MemoryReactorClock

from savoryarch.model import (
    KeyAbsent,
    KeyChange,
    KeyRead,
    KeysChanged,
    KeysListed,
    ListKeys,
    ReadKey,
    StoreLimited,
    StoreUnreachable,
    SwapConflict,
    SwapKey,
    Swapped,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.store import StoreClient, StoreSettings
from savoryarch.store._client import HttpReply, HttpRequest, decode_reply, encode_call

READ = ReadKey("c", "p/a")
SWAP = SwapKey("c", "p/a", b"1", 3)
LIST = ListKeys("c", "p/")
WATCH = WatchKeys("c", "p/", 4, 500.0)


@pytest.mark.parametrize(
    ("call", "request_"),
    [
        (READ, HttpRequest("GET", "/v1/keys/p%2Fa", (), None, 0.0)),
        (SWAP, HttpRequest("PUT", "/v1/keys/p%2Fa", (("expected_revision", "3"),), b"1", 0.0)),
        (LIST, HttpRequest("GET", "/v1/keys", (("prefix", "p/"),), None, 0.0)),
        (
            WATCH,
            HttpRequest(
                "GET",
                "/v1/watch",
                (("prefix", "p/"), ("since_revision", "4"), ("wait_ms", "500.0")),
                None,
                500.0,
            ),
        ),
    ],
)
def test_calls_are_encoded_as_the_platform_asks(call, request_):
    assert encode_call(call) == request_


@pytest.mark.parametrize(
    ("call", "status", "body", "revision", "reply"),
    [
        (READ, 200, b"1", 7, KeyRead("p/a", b"1", 7)),
        (READ, 200, b"1", 0, StoreUnreachable("HTTP 200")),
        (READ, 404, b'{"revision":7}', 7, KeyAbsent("p/a", 7)),
        (READ, 503, b"", 0, StoreUnreachable("HTTP 503")),
        (READ, 429, b"", 0, StoreLimited()),
        (SWAP, 200, b'{"revision":8}', 0, Swapped("p/a", 8)),
        (SWAP, 409, b'{"revision":9}', 0, SwapConflict("p/a", 9)),
        (SWAP, 404, b"", 0, StoreUnreachable("HTTP 404")),
        (
            LIST,
            200,
            b'{"revision":8,"entries":[{"key":"p/a","value":"MQ==","revision":2}]}',
            0,
            KeysListed((KeyRead("p/a", b"1", 2),), 8),
        ),
        (
            WATCH,
            200,
            b'{"revision":8,"changes":[{"key":"p/a","value":null,"revision":5}]}',
            0,
            KeysChanged((KeyChange("p/a", None, 5),), 8),
        ),
        (WATCH, 410, b'{"revision":8}', 0, WatchCompacted(8)),
    ],
)
def test_replies_are_decoded(call, status, body, revision, reply):
    assert decode_reply(call, HttpReply(status, body, revision)) == reply


@pytest.mark.parametrize(
    ("call", "body"), [(SWAP, b"{"), (SWAP, b"{}"), (LIST, b'{"revision":"x"}'), (WATCH, b"[]")]
)
def test_a_reply_that_cannot_be_trusted_is_unreachable(call, body):
    assert isinstance(decode_reply(call, HttpReply(200, body, 0)), StoreUnreachable)


@pytest.mark.parametrize(("call", "timeout_ms"), [(READ, 1000.0), (WATCH, 1500.0)])
def test_a_call_without_reply_times_out(call, timeout_ms):
    clock = MemoryReactorClock()
    client = StoreClient(StoreSettings(url="http://127.0.0.1:1", timeout_ms=1000.0), clock)
    replies = []
    client.perform(call).addCallback(replies.append)
    clock.advance(timeout_ms / 1000.0 - 0.01)
    assert replies == [] or isinstance(replies[0], StoreUnreachable)
    clock.advance(0.02)
    assert [type(reply) for reply in replies] == [StoreUnreachable]


def test_client_uses_the_loop_that_it_is_given():
    assert StoreClient(StoreSettings(), reactor)._reactor is reactor
