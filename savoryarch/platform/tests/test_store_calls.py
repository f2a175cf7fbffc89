"""Calls on the platform's store are encoded as it expects, and its replies are decoded.

A reply that is malformed, or that does not fit the call, must count as unreachable. If it counted
as a success, a write that did not happen would be taken for done.
"""

from base64 import b64encode

import msgspec
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
from savoryarch.platform import decode_store_reply, encode_store_call
from savoryarch.store import ListPage, StoreHttpReply

READ = ReadKey("c", "p/a")
SWAP = SwapKey("c", "p/a", b"1", 3)
LIST = ListKeys("c", "p/")
WATCH = WatchKeys("c", "p/", 4, 500.0)
GRANT = GrantLease("c", 3000.0)
KEEP = KeepLease("c", 7)
PUT = PutLeased("c", "p/a", b"1", 7)
ENCODED_ONE = b64encode(b"1").decode()
ITEM = {"key": "p/a", "value": ENCODED_ONE, "revision": 2}


@pytest.mark.parametrize(
    ("call", "after_key", "line", "query", "body"),
    [
        (READ, "", "GET /kv-key", {"key": "p/a"}, None),
        (LIST, "", "GET /kv-range", {"path-prefix": "p/"}, None),
        (LIST, "p/a", "GET /kv-range", {"path-prefix": "p/", "after": "p/a"}, None),
        (WATCH, "", "GET /kv-watch", {"path-prefix": "p/", "after": "4", "wait-ms": "500"}, None),
        (
            SWAP,
            "",
            "POST /kv-txn",
            {},
            {
                "expected-rev": [{"key": "p/a", "revision": 3}],
                "puts": [{"key": "p/a", "value": ENCODED_ONE}],
                "remove": [],
            },
        ),
        (
            PUT,
            "",
            "POST /kv-txn",
            {},
            {
                "expected-rev": [],
                "puts": [{"key": "p/a", "value": ENCODED_ONE, "lease": 7}],
                "remove": [],
            },
        ),
        (GRANT, "", "POST /kv-lease", {}, {"ttl-ms": 3000}),
        (KEEP, "", "POST /kv-keep/7", {}, None),
    ],
)
def test_calls_are_encoded(call, after_key, line, query, body):
    request = encode_store_call(call, after_key)
    assert f"{request.method} {request.path}" == line
    assert dict(request.query) == query
    assert (msgspec.json.decode(request.body) if request.body else None) == body


@pytest.mark.parametrize(
    ("call", "status", "body", "reply"),
    [
        (READ, 200, ITEM, KeyRead("p/a", b"1", 2)),
        (READ, 404, {"store-revision": 7}, KeyAbsent("p/a", 7)),
        (READ, 503, {}, StoreUnreachable("HTTP 503")),
        (READ, 429, {}, StoreLimited()),
        (SWAP, 200, {"revision": 8}, Swapped("p/a", 8)),
        (SWAP, 412, {"items": [{"key": "p/a", "revision": 9}]}, SwapConflict("p/a", 9)),
        (SWAP, 412, {"items": []}, SwapConflict("p/a", 0)),
        (SWAP, 404, {}, StoreUnreachable("HTTP 404")),
        (
            LIST,
            200,
            {"items": [ITEM], "has-more": False, "store-revision": 8},
            KeysListed((KeyRead("p/a", b"1", 2),), 8),
        ),
        (
            LIST,
            200,
            {"items": [ITEM], "has-more": True, "store-revision": 8},
            ListPage((KeyRead("p/a", b"1", 2),), 8, "p/a"),
        ),
        # A value that is not Base64 does not make the list unreadable.
        (
            LIST,
            200,
            {"items": [{**ITEM, "value": "%%"}], "store-revision": 8},
            KeysListed((KeyRead("p/a", b"%%", 2),), 8),
        ),
        (
            WATCH,
            200,
            {"events": [{"key": "p/a", "revision": 5, "deleted": True}], "store-revision": 8},
            KeysChanged((KeyChange("p/a", None, 5),), 8),
        ),
        (WATCH, 410, {"store-revision": 8}, WatchCompacted(8)),
        (GRANT, 200, {"lease": 7, "ttl-ms": 3000}, LeaseGranted(7, 3000.0)),
        (KEEP, 200, {"ttl-ms": 3000}, LeaseGranted(7, 3000.0)),
        (KEEP, 404, {}, LeaseEnded()),
        (PUT, 200, {"revision": 9}, Swapped("p/a", 9)),
        (PUT, 404, {}, LeaseEnded()),
    ],
)
def test_replies_are_decoded(call, status, body, reply):
    assert decode_store_reply(call, StoreHttpReply(status, msgspec.json.encode(body))) == reply


@pytest.mark.parametrize(
    ("call", "body"),
    [(SWAP, b"{"), (LIST, b'{"store-revision":"x"}'), (WATCH, b"[]"), (READ, b'{"value":"%"}')],
)
def test_a_malformed_reply_counts_as_unreachable(call, body):
    assert isinstance(decode_store_reply(call, StoreHttpReply(200, body)), StoreUnreachable)
