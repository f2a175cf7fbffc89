"""Encodes calls on the platform's key-value store as HTTP requests and decodes the replies."""

from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from typing import Annotated

import msgspec

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
    StoreCall,
    StoreLimited,
    StoreReply,
    StoreUnreachable,
    SwapConflict,
    SwapKey,
    Swapped,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.store import ListPage, StoreHttpReply, StoreHttpRequest

_OK = 200
_NOT_FOUND = 404
_CONFLICT = 412
_COMPACTED = 410
_RATE_LIMITED = 429

# Statuses by the class of the call, apart from `_RATE_LIMITED`; other calls expect only `_OK`.
_EXPECTED_STATUSES: dict[type, tuple[int, ...]] = {
    ReadKey: (_OK, _NOT_FOUND),
    WatchKeys: (_OK, _COMPACTED),
    SwapKey: (_OK, _CONFLICT),
    PutLeased: (_OK, _NOT_FOUND),
    KeepLease: (_OK, _NOT_FOUND),
}


# A revision is sent back in later calls, so that one out of range would make each of them fail.
_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _Item(msgspec.Struct, rename="kebab"):
    key: str
    revision: _Revision
    value: str = ""
    deleted: bool = False


class _Body(msgspec.Struct, rename="kebab"):
    # The fields of the bodies of all replies; each kind of reply has only some of them.
    # The revision of the store as a whole, whereas `revision` is that of the last change of a key.
    store_revision: _Revision = 0
    revision: _Revision = 0
    value: str = ""
    lease: _Revision = 0
    ttl_ms: float = 0.0
    has_more: bool = False
    items: tuple[_Item, ...] = ()
    events: tuple[_Item, ...] = ()


def encode_store_call(call: StoreCall, after_key: str) -> StoreHttpRequest:
    """Encode a call.

    Parameters
    ----------
    call : StoreCall
        The call.
    after_key : str
        Key after which a list continues; empty for its first page and for other calls.
    """
    match call:
        case ReadKey(key=key):
            return StoreHttpRequest("GET", "/kv-key", (("key", key),))
        case ListKeys(prefix=prefix):
            after = (("after", after_key),) if after_key else ()
            return StoreHttpRequest("GET", "/kv-range", (("path-prefix", prefix), *after))
        case WatchKeys(prefix=prefix, since_revision=since_revision, wait_ms=wait_ms):
            since = (("after", str(since_revision)), ("wait-ms", str(int(wait_ms))))
            query = (("path-prefix", prefix), *since)
            return StoreHttpRequest("GET", "/kv-watch", query, wait_ms=wait_ms)
        case SwapKey(key=key, value=value, expected_revision=expected_revision):
            expected = [{"key": key, "revision": expected_revision}]
            return _make_transaction(expected, [{"key": key, "value": _encode_value(value)}])
        case PutLeased(key=key, value=value, lease_id=lease_id):
            return _make_transaction(
                [], [{"key": key, "value": _encode_value(value), "lease": lease_id}]
            )
        case GrantLease(ttl_ms=ttl_ms):
            return StoreHttpRequest("POST", "/kv-lease", body=_encode_json({"ttl-ms": int(ttl_ms)}))
        case KeepLease(lease_id=lease_id):
            return StoreHttpRequest("POST", f"/kv-keep/{lease_id}")


def decode_store_reply(call: StoreCall, reply: StoreHttpReply) -> StoreReply | ListPage:
    """Decode the reply to a call.

    Returns
    -------
    reply : StoreReply or ListPage
        A `ListPage` if the list continues. A malformed reply, or a status that the call does not
        have, is `StoreUnreachable`, because the outcome of the call is not known.
    """
    if reply.status == _RATE_LIMITED:
        return StoreLimited()
    try:
        return _decode_body(call, reply)
    except (msgspec.MsgspecError, Base64Error, ValueError, RecursionError) as error:
        return StoreUnreachable(f"malformed reply: {error}")


def _decode_body(call: StoreCall, reply: StoreHttpReply) -> StoreReply | ListPage:
    if reply.status not in _EXPECTED_STATUSES.get(type(call), (_OK,)):
        return StoreUnreachable(f"HTTP {reply.status}")
    body = msgspec.json.decode(reply.body or b"{}", type=_Body)
    match call:
        case ReadKey(key=key):
            return _decode_read(key, reply.status, body)
        case ListKeys():
            return _decode_list(body)
        case WatchKeys() if reply.status == _COMPACTED:
            return WatchCompacted(body.store_revision)
        case WatchKeys():
            return KeysChanged(tuple(map(_decode_change, body.events)), body.store_revision)
        case SwapKey(key=key) if reply.status == _CONFLICT:
            return SwapConflict(key, body.items[0].revision if body.items else 0)
        case SwapKey(key=key) | PutLeased(key=key) if reply.status == _OK:
            return Swapped(key, body.revision)
        case GrantLease() if reply.status == _OK:
            return LeaseGranted(body.lease, body.ttl_ms)
        case KeepLease(lease_id=lease_id) if reply.status == _OK:
            return LeaseGranted(lease_id, body.ttl_ms)
        case PutLeased() | KeepLease():
            return LeaseEnded()
        case _:
            return StoreUnreachable(f"HTTP {reply.status}")


def _decode_read(key: str, status: int, body: _Body) -> StoreReply:
    if status == _NOT_FOUND:
        return KeyAbsent(key, body.store_revision)
    return KeyRead(key, _decode_value(body.value), body.revision)


def _decode_list(body: _Body) -> StoreReply | ListPage:
    entries = tuple(
        KeyRead(item.key, _decode_value_leniently(item.value), item.revision) for item in body.items
    )
    if body.has_more and entries:
        return ListPage(entries, body.store_revision, entries[-1].key)
    return KeysListed(entries, body.store_revision)


def _decode_change(item: _Item) -> KeyChange:
    value = None if item.deleted else _decode_value_leniently(item.value)
    return KeyChange(item.key, value, item.revision)


def _decode_value_leniently(text: str) -> bytes:
    # A value that is not Base64 must not make the other entries of the reply unreadable.
    try:
        return _decode_value(text)
    except (Base64Error, ValueError):
        return text.encode()


def _decode_value(text: str) -> bytes:
    return b64decode(text, validate=True)


def _encode_value(value: bytes) -> str:
    return b64encode(value).decode()


def _make_transaction(expected: list[dict], puts: list[dict]) -> StoreHttpRequest:
    body = _encode_json({"expected-rev": expected, "puts": puts, "remove": []})
    return StoreHttpRequest("POST", "/kv-txn", body=body)


def _encode_json(value: dict) -> bytes:
    return msgspec.json.encode(value)
