"""Performs store calls over HTTP; each call gets exactly one reply."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from treq.client import HTTPClient
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

from savoryarch.model import (
    KeyRead,
    KeysListed,
    StoreCall,
    StoreReply,
    StoreUnreachable,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.store._reply_body import ReplyTooLarge, read_body
from savoryarch.store._settings import StoreSettings

# Over all pages of a list: several times the entries of the largest deployment.
MAX_LIST_BYTES = 16 * 1024 * 1024
_MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class StoreHttpRequest:
    """One HTTP request to the store.

    Parameters
    ----------
    method : str
        HTTP method.
    path : str
        Path below the base URL of the store.
    query : tuple of pairs of str, optional
        Names and values of query parameters.
    body : bytes or None, optional
        Body of the request.
    wait_ms : float, optional
        Time for which the store may hold the reply back; extends the timeout of the call.
    """

    method: str
    path: str
    query: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    wait_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreHttpReply:
    """One HTTP reply of the store."""

    status: int
    body: bytes


@dataclass(frozen=True, slots=True)
class ListPage:
    """One page of a list, except for the last page, which is a `KeysListed`.

    Parameters
    ----------
    entries : tuple of KeyRead
        The entries of the page.
    revision : int
        Revision of the store when the page was read.
    after_key : str
        Last key of the page; the next page begins after it.
    """

    entries: tuple[KeyRead, ...]
    revision: int
    after_key: str


EncodeCall = Callable[[StoreCall, str], StoreHttpRequest]
DecodeReply = Callable[[StoreCall, StoreHttpReply], StoreReply | ListPage]


class StoreClient:
    """Client of the store.

    Parameters
    ----------
    settings : StoreSettings
        Address of the store, timeout and number of connections.
    reactor : IReactorTCP and IReactorTime provider
        Twisted's reactor.
    encode : callable
        Returns the `StoreHttpRequest` for a call and the key after which a list continues (empty
        for the first page).
    decode : callable
        Returns the reply to a call for the `StoreHttpReply`, or a `ListPage`.
    """

    def __init__(
        self,
        settings: StoreSettings,
        reactor: Any,
        encode: EncodeCall,
        decode: DecodeReply,
    ) -> None:
        self._encode = encode
        self._decode = decode
        self._settings = settings
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = settings.connections
        # The component that makes a call decides whether and when to retry it.
        self._pool.retryAutomatically = False
        timeout_s = settings.timeout_ms / _MS_PER_S
        agent: Any = Agent(reactor, connectTimeout=timeout_s, pool=self._pool)
        self._client = HTTPClient(agent)

    def perform(self, call: StoreCall) -> Deferred[StoreReply]:
        """Perform a call.

        Returns
        -------
        reply : Deferred
            Fires with the reply, after the last page if the call lists keys. It never fails:
            timeouts, broken connections and malformed replies fire with `StoreUnreachable`.
        """
        return self._perform(call, "", ())

    def _perform(
        self, call: StoreCall, after_key: str, pages: tuple[ListPage, ...]
    ) -> Deferred[StoreReply]:
        request = self._encode(call, after_key)
        timeout_s = (self._settings.timeout_ms + request.wait_ms) / _MS_PER_S
        sent: Deferred[Any] = self._client.request(
            request.method,
            self._settings.url + request.path,
            params=list(request.query),
            data=request.body,
            reactor=self._reactor,
            unbuffered=True,
        )
        sent.addCallback(_read_reply)
        sent.addTimeout(timeout_s, self._reactor)
        sent.addCallback(lambda reply: self._decode(call, reply))
        sent.addCallback(lambda decoded: self._continue_list(call, after_key, decoded, pages))
        sent.addErrback(lambda failure: _handle_failure(call, failure))
        return sent

    def _continue_list(
        self,
        call: StoreCall,
        after_key: str,
        decoded: StoreReply | ListPage,
        pages: tuple[ListPage, ...],
    ) -> StoreReply | Deferred[StoreReply]:
        match decoded:
            case ListPage(after_key=next_key) if next_key <= after_key:
                # Without this check, a page that repeats would be requested without end.
                return StoreUnreachable(f"page after key {after_key!r} ends at {next_key!r}")
            case ListPage() if _count_bytes((*pages, decoded)) > MAX_LIST_BYTES:
                return StoreUnreachable(f"got a list of over {MAX_LIST_BYTES} bytes")
            case ListPage(after_key=next_key):
                return self._perform(call, next_key, (*pages, decoded))
            case KeysListed(entries=entries) if pages:
                # The pages are not read at one revision. The list gets the revision of the first
                # page, so that all changes since then are read next.
                listed = [entry for page in pages for entry in page.entries]
                return KeysListed((*listed, *entries), pages[0].revision)
            case _:
                return decoded

    def close(self) -> Deferred[None]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()


def _count_bytes(pages: tuple[ListPage, ...]) -> int:
    return sum(len(entry.key) + len(entry.value) for page in pages for entry in page.entries)


def _read_reply(response: Any) -> Deferred[StoreHttpReply]:
    return read_body(response).addCallback(lambda body: StoreHttpReply(response.code, body))


def _handle_failure(call: StoreCall, failure: Failure) -> StoreReply:
    if failure.check(ReplyTooLarge) and isinstance(call, WatchKeys):
        # The same watch would fail again, whereas a list has only the newest value of each key.
        return WatchCompacted(call.since_revision)
    return StoreUnreachable(f"{type(failure.value).__name__}: {failure.getErrorMessage()}")
