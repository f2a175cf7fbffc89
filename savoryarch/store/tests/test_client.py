"""A store that does not answer must not leave a call without a reply, which would wait forever."""

import pytest
from twisted.internet import reactor
from twisted.internet.testing import MemoryReactorClock

from savoryarch.model import ReadKey, StoreUnreachable, WatchKeys
from savoryarch.platform import decode_store_reply, encode_store_call
from savoryarch.store import StoreClient, StoreSettings

READ = ReadKey("c", "p/a")
WATCH = WatchKeys("c", "p/", 4, 500.0)


def make_client(given_reactor):
    settings = StoreSettings(url="http://127.0.0.1:1", timeout_ms=1000.0)
    return StoreClient(settings, given_reactor, encode_store_call, decode_store_reply)


@pytest.mark.parametrize(("call", "timeout_ms"), [(READ, 1000.0), (WATCH, 1500.0)])
def test_a_call_without_reply_times_out(call, timeout_ms):
    clock = MemoryReactorClock()
    client = make_client(clock)
    replies = []
    client.perform(call).addCallback(replies.append)
    clock.advance(timeout_ms / 1000.0 - 0.01)
    # The connect timeout does not include the wait of a watch, so that it may end the call earlier.
    assert replies == [] or isinstance(replies[0], StoreUnreachable)
    clock.advance(0.02)
    assert [type(reply) for reply in replies] == [StoreUnreachable]


def test_client_uses_the_given_reactor():
    assert make_client(reactor)._reactor is reactor
