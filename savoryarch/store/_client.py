"""Performs store calls over HTTP; every call gets exactly one reply."""

from base64 import b64decode
from binascii import Error as Base64Error
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import msgspec
from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from savoryarch.model import (
    KeyAbsent,
    KeyChange,
    KeyRead,
    KeysChanged,
    KeysListed,
    ListKeys,
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
from savoryarch.store._settings import StoreSettings

_MS_PER_S = 1000.0
_RATE_LIMITED = 429
_COMPACTED = 410


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """One request to the store."""

    method: str
    path: str
    query: tuple[tuple[str, str], ...]
    body: bytes | None
    wait_ms: float


@dataclass(frozen=True, slots=True)
class HttpReply:
    """One reply of the store; `revision` is the header, 0 if absent."""

    status: int
    body: bytes
    revision: int


class _Row(msgspec.Struct):
    key: str
    revision: int
    value: str | None = None


class _Body(msgspec.Struct):
    revision: int
    entries: tuple[_Row, ...] = ()
    changes: tuple[_Row, ...] = ()


class StoreClient:
    """Client of the store.

    Parameters
    ----------
    settings : StoreSettings
        Where the store is and how long to wait for it.
    reactor : IReactorTCP and IReactorTime provider
        The loop of the process.
    """

    def __init__(self, settings: StoreSettings, reactor: Any) -> None:
        self._settings = settings
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = settings.connections
        # Retries are decided in one place, which is not the connection pool.
        self._pool.retryAutomatically = False
        timeout_s = settings.timeout_ms / _MS_PER_S
        agent: Any = Agent(reactor, connectTimeout=timeout_s, pool=self._pool)
        self._client = HTTPClient(agent)

    def perform(self, call: StoreCall) -> Deferred[StoreReply]:
        """Perform a call; anything but a reply that can be trusted is `StoreUnreachable`."""
        request = encode_call(call)
        timeout_s = (self._settings.timeout_ms + request.wait_ms) / _MS_PER_S
        sent: Deferred[Any] = self._client.request(
            request.method,
            self._settings.url + request.path,
            params=list(request.query),
            data=request.body,
            reactor=self._reactor,
        )
        sent.addCallback(_read_reply)
        sent.addTimeout(timeout_s, self._reactor)
        sent.addCallback(lambda reply: decode_reply(call, reply))
        sent.addErrback(_unreachable)
        return sent

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()


def encode_call(call: StoreCall) -> HttpRequest:
    """Encode a call as the request that ``docs/PLATFORM.md`` describes."""
    match call:
        case ReadKey(key=key):
            return HttpRequest("GET", _key_path(key), (), None, 0.0)
        case SwapKey(key=key, value=value, expected_revision=expected_revision):
            expected = (("expected_revision", str(expected_revision)),)
            return HttpRequest("PUT", _key_path(key), expected, value, 0.0)
        case ListKeys(prefix=prefix):
            return HttpRequest("GET", "/v1/keys", (("prefix", prefix),), None, 0.0)
        case WatchKeys(prefix=prefix, since_revision=since_revision, wait_ms=wait_ms):
            query = (
                ("prefix", prefix),
                ("since_revision", str(since_revision)),
                ("wait_ms", str(wait_ms)),
            )
            return HttpRequest("GET", "/v1/watch", query, None, wait_ms)


def decode_reply(call: StoreCall, reply: HttpReply) -> StoreReply:
    """Decode the reply to a call; one that does not fit the call is `StoreUnreachable`."""
    if reply.status == _RATE_LIMITED:
        return StoreLimited()
    try:
        return _decode(call, reply)
    except (msgspec.MsgspecError, Base64Error, ValueError) as error:
        return StoreUnreachable(f"malformed reply: {error}")


def _decode(call: StoreCall, reply: HttpReply) -> StoreReply:
    match call, reply.status:
        case ReadKey(key=key), 200 if reply.revision > 0:
            return KeyRead(key, reply.body, reply.revision)
        case ReadKey(key=key), 404:
            return KeyAbsent(key, _decode_body(reply).revision)
        case SwapKey(key=key), 200:
            return Swapped(key, _decode_body(reply).revision)
        case SwapKey(key=key), 409:
            return SwapConflict(key, _decode_body(reply).revision)
        case ListKeys(), 200:
            body = _decode_body(reply)
            entries = tuple(
                KeyRead(row.key, b64decode(row.value or "", validate=True), row.revision)
                for row in body.entries
            )
            return KeysListed(entries, body.revision)
        case WatchKeys(), 200:
            body = _decode_body(reply)
            return KeysChanged(tuple(map(_decode_change, body.changes)), body.revision)
        case WatchKeys(), status if status == _COMPACTED:
            return WatchCompacted(_decode_body(reply).revision)
        case _:
            return StoreUnreachable(f"HTTP {reply.status}")


def _decode_body(reply: HttpReply) -> _Body:
    return msgspec.json.decode(reply.body, type=_Body)


def _decode_change(row: _Row) -> KeyChange:
    value = None if row.value is None else b64decode(row.value, validate=True)
    return KeyChange(row.key, value, row.revision)


def _key_path(key: str) -> str:
    return f"/v1/keys/{quote(key, safe='')}"


def _read_reply(response: Any) -> Deferred[HttpReply]:
    values = response.headers.getRawHeaders("x-revision", ["0"])
    revision = int(values[0]) if values[0].isdigit() else 0
    content: Deferred[bytes] = response.content()
    return content.addCallback(lambda body: HttpReply(response.code, body, revision))


def _unreachable(failure: Failure) -> StoreReply:
    return StoreUnreachable(f"{type(failure.value).__name__}: {failure.getErrorMessage()}")
