"""A fault in one decision or one effect does not stop the instance.

Guards against a component that waits forever for a reply whose decision failed, and against effects
that are not performed because an earlier one of the same event failed.
"""

import pytest
from twisted.internet.defer import succeed
from twisted.internet.testing import MemoryReactorClock

from savoryarch.discovery import DiscoverySettings, StoreEntryCodec
from savoryarch.entry import _instance
from savoryarch.entry._instance import EntryInstance
from savoryarch.entry._metrics import Metrics
from savoryarch.model import (
    Count,
    Decided,
    KeysChanged,
    KeysListed,
    ListKeys,
    ReturnUnsent,
    SetTimer,
    Started,
    StoreReplied,
    StoreUnreachable,
    WatchKeys,
)
from savoryarch.resources import RECORD_CODEC
from savoryarch.targets import TargetsSettings
from savoryarch.tier import TierSettings, make_tier_state
from savoryarch.utils import Clock


class Store:
    """Replies to each call of discovery at once; `replies` maps a class of calls to the reply."""

    def __init__(self, replies):
        self.replies = replies
        self.calls = []

    def perform(self, call):
        if not call.call_id.startswith("discovery/"):
            return succeed(StoreUnreachable("none"))
        self.calls.append(call)
        return succeed(self.replies.get(type(call), StoreUnreachable("none")))


class Peers:
    def send(self, peer_id, message):
        raise OSError("no peers")


def make_entry(replies):
    reactor = MemoryReactorClock()
    settings = TierSettings(
        "entry-1", "a", 1, TargetsSettings("a"), discovery=DiscoverySettings(enabled=True)
    )
    codec = StoreEntryCodec(lambda key, value: 1 / 0, lambda instance: b"")
    state = make_tier_state(settings, RECORD_CODEC, codec)
    exits = []
    instance = EntryInstance(state, reactor, Clock(reactor.seconds), Metrics(), exits.append)
    instance.store, instance.peers = Store(replies), Peers()
    return reactor, instance


def test_the_store_is_followed_after_a_decision_on_a_reply_has_failed(monkeypatch):
    reactor, instance = make_entry({ListKeys: KeysListed((), 1), WatchKeys: KeysChanged((), 2)})
    decide_tier = _instance.decide_tier
    failures = iter([True, True])

    def fail_twice(state, event, now_ms):
        match event:
            case StoreReplied(reply=KeysListed() | KeysChanged()) if next(failures, False):
                raise RecursionError("odd reply")
        return decide_tier(state, event, now_ms)

    monkeypatch.setattr(_instance, "decide_tier", fail_twice)
    instance.feed(Started("e-1", "z", 1))
    for _ in range(100):
        reactor.advance(0.1)
    calls = [type(call) for call in instance.store.calls]
    assert calls.count(ListKeys) == 3
    assert calls.count(WatchKeys) >= 3
    assert 'reason="StoreReplied"' in instance.render_metrics().decode()


@pytest.mark.parametrize("failing", [ReturnUnsent("t"), SetTimer("x", "soon"), object()])
def test_effects_after_one_that_fails_are_performed(monkeypatch, failing):
    _, instance = make_entry({})
    monkeypatch.setattr(instance.targets, "perform", lambda effect: 1 / 0)
    monkeypatch.setattr(
        _instance,
        "decide_tier",
        lambda state, event, now_ms: Decided(state, (failing, Count("answers", "x"))),
    )
    instance.feed(object())
    instance.feed(object())
    metrics = instance.render_metrics().decode()
    assert "savoryarch_answers_total" in metrics
    assert f'reason="{type(failing).__name__}"' in metrics
