"""Calls, faults, leases, rate limits and restores of the store stand-in."""

from dataclasses import replace

import pytest

from savoryarch.model import (
    GrantLease,
    KeepLease,
    KeyAbsent,
    KeyChange,
    KeyRead,
    KeysChanged,
    KeysListed,
    LeaseEnded,
    LeaseGranted,
    ListKeys,
    PutLeased,
    ReadKey,
    StoreLimited,
    StoreUnreachable,
    SwapConflict,
    SwapKey,
    Swapped,
    WatchCompacted,
    WatchKeys,
)
from savoryarch_standins.store import (
    MAX_VALUE_BYTES,
    DeleteKey,
    ReplyLost,
    StoreState,
    StoreSwitches,
    Unavailable,
    ValueTooLarge,
    WatchPending,
    call_store,
    call_store_as_client,
    restore_store,
)

PUT_A = SwapKey("", "p/a", b"1", 0)
CHANGE_A = KeyChange("p/a", b"1", 1)


def execute_calls(calls, state=None):
    state = state or StoreState()
    for at_ms, call in calls:
        result = call_store(state, call, at_ms)
        state = result.state
    return state, result.reply


@pytest.mark.parametrize(
    ("calls", "reply"),
    [
        ([ReadKey("", "a")], KeyAbsent("a", 0)),
        ([PUT_A], Swapped("p/a", 1)),
        ([PUT_A, PUT_A], SwapConflict("p/a", 1)),
        ([PUT_A, SwapKey("", "p/a", b"2", 1), ReadKey("", "p/a")], KeyRead("p/a", b"2", 2)),
        ([SwapKey("", "a", b"", 7)], SwapConflict("a", 0)),
        ([SwapKey("", "a", b"x" * (MAX_VALUE_BYTES + 1), 0)], ValueTooLarge()),
        ([PUT_A, DeleteKey("", "p/a", 1), ReadKey("", "p/a")], KeyAbsent("p/a", 2)),
        ([PUT_A, ListKeys("", "p/")], KeysListed((KeyRead("p/a", b"1", 1),), 1)),
        ([PUT_A, WatchKeys("", "p/", 0, 9)], KeysChanged((CHANGE_A,), 1)),
        ([PUT_A, WatchKeys("", "q/", 0, 9)], WatchPending()),
        ([WatchKeys("", "p/", 0, 9)], WatchPending()),
        ([WatchKeys("", "p/", 5, 9)], WatchCompacted(0)),
        ([KeepLease("", 1)], LeaseEnded()),
        ([GrantLease("", 5)], LeaseGranted(1, 5)),
        ([PutLeased("", "a", b"", 1)], LeaseEnded()),
    ],
)
def test_calls_get_their_replies(calls, reply):
    assert execute_calls([(0.0, call) for call in calls])[1] == reply


@pytest.mark.parametrize(
    ("renewed_at_ms", "read_at_ms", "exists"),
    [(None, 9.0, True), (None, 10.0, False), (8.0, 17.0, True), (8.0, 18.0, False)],
)
def test_a_key_is_deleted_when_its_lease_expires(renewed_at_ms, read_at_ms, exists):
    calls = [(0.0, GrantLease("", 10.0)), (0.0, PutLeased("", "a", b"", 1))]
    if renewed_at_ms is not None:
        calls.append((renewed_at_ms, KeepLease("", 1)))
    reply = execute_calls([*calls, (read_at_ms, ReadKey("", "a"))])[1]
    assert isinstance(reply, KeyRead) == exists


@pytest.mark.parametrize(
    ("switches", "call", "reply", "client_reply", "revision"),
    [
        ({"outage": True}, PUT_A, Unavailable(), StoreUnreachable("HTTP 503"), 0),
        ({"lose_replies": 1}, PUT_A, ReplyLost(), StoreUnreachable("connection lost"), 1),
        ({"lose_calls": 1}, PUT_A, None, StoreUnreachable("connection lost"), 0),
        ({"writes_per_s": 0.0}, PUT_A, StoreLimited(), StoreLimited(), 0),
        ({"reads_per_s": 0.0}, ReadKey("", "a"), StoreLimited(), StoreLimited(), 0),
    ],
)
def test_faults_determine_replies_and_effects(switches, call, reply, client_reply, revision):
    state = replace(StoreState(), switches=StoreSwitches(**switches))
    result = call_store(state, call, 0.0)
    assert reply is None or result.reply == reply
    assert result.state.revision == revision
    assert call_store_as_client(state, call, 0.0)[1] == client_reply


@pytest.mark.parametrize(("waiting_watches", "allowed_count"), [(0, 200), (100, 190), (2000, 0)])
def test_waiting_watches_count_against_the_read_rate(waiting_watches, allowed_count):
    state = replace(StoreState(), waiting_watches=waiting_watches)
    state = replace(state, read_budget=replace(state.read_budget, tokens=0.0))
    replies = []
    for _ in range(300):
        result = call_store(state, ReadKey("", "a"), 100.0)
        state = result.state
        replies.append(result.reply)
    assert sum(isinstance(reply, KeyAbsent) for reply in replies) == allowed_count


def test_a_watch_before_the_history_is_reported_as_compacted():
    calls = [(0.0, SwapKey("", f"p/{number}", b"", 0)) for number in range(5)]
    state, _ = execute_calls(calls, replace(StoreState(), history_limit=2))
    assert call_store(state, WatchKeys("", "p/", 2, 9), 0.0).reply == WatchCompacted(5)
    assert len(call_store(state, WatchKeys("", "p/", 3, 9), 0.0).reply.changes) == 2


def test_a_restore_returns_to_an_older_revision():
    state, _ = execute_calls([(0.0, PUT_A), (0.0, SwapKey("", "p/a", b"2", 1))])
    state = restore_store(state, 1)
    assert call_store(state, ReadKey("", "p/a"), 0.0).reply == KeyRead("p/a", b"1", 1)
    assert call_store(state, WatchKeys("", "p/", 2, 9), 0.0).reply == WatchCompacted(1)
