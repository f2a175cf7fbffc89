"""Serves the store stand-in over HTTP, as described in ``docs/PLATFORM.md``."""

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import asdict, replace
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.http import Request

from savoryarch.model import (
    GrantLease,
    KeepLease,
    KeyAbsent,
    KeyRead,
    KeysChanged,
    KeysListed,
    LeaseEnded,
    LeaseGranted,
    ListKeys,
    PutLeased,
    ReadKey,
    StoreLimited,
    SwapConflict,
    SwapKey,
    Swapped,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.utils import Clock
from savoryarch_standins.store._calls import (
    call_store,
    expire_leases,
    make_watch_reply,
    restore_store,
)
from savoryarch_standins.store._state import (
    Call,
    CallLost,
    DeleteKey,
    Reply,
    ReplyLost,
    StoreState,
    StoreSwitches,
    Unavailable,
    ValueTooLarge,
    WatchPending,
)

_MS_PER_S = 1000.0
PAGE_ITEMS = 500


class _Expected(msgspec.Struct, frozen=True):
    key: str
    revision: int


class _Put(msgspec.Struct, frozen=True):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct, rename="kebab", frozen=True):
    expected_rev: tuple[_Expected, ...] = ()
    puts: tuple[_Put, ...] = ()
    remove: tuple[str, ...] = ()


class StoreServer:
    """The HTTP interface of the store stand-in.

    Parameters
    ----------
    reactor : IReactorTime provider
        For delays and waiting watches.
    clock : Clock
        For leases and rate limits.
    """

    app = Klein()

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.state = StoreState()
        self._reactor = reactor
        self._clock = clock
        self._watches: list[Callable[[], None]] = []

    @app.route("/kv-key", methods=["GET"])
    def read(self, request: Request) -> Deferred[bytes]:
        """Read one key."""
        return self._serve(request, ReadKey("", _argument(request, "key")))

    @app.route("/kv-range", methods=["GET"])
    def list(self, request: Request) -> Deferred[bytes]:
        """Read one page of the keys with a prefix."""
        return self._serve(request, ListKeys("", _argument(request, "path-prefix")))

    @app.route("/kv-watch", methods=["GET"])
    def watch(self, request: Request) -> Deferred[bytes]:
        """Wait for changes."""
        call = WatchKeys(
            "",
            _argument(request, "path-prefix"),
            int(_argument(request, "after")),
            float(_argument(request, "wait-ms")),
        )
        return self._serve(request, call)

    @app.route("/kv-txn", methods=["POST"])
    def write(self, request: Request) -> Deferred[bytes]:
        """Write or delete one key, under a condition or a lease."""
        asked = msgspec.json.decode(_content(request), type=_Transaction)
        return self._serve(request, _transaction_call(asked))

    @app.route("/kv-lease", methods=["POST"])
    def grant(self, request: Request) -> Deferred[bytes]:
        """Grant a lease."""
        asked = msgspec.json.decode(_content(request))
        return self._serve(request, GrantLease("", float(asked["ttl-ms"])))

    @app.route("/kv-keep/<int:lease>", methods=["POST"])
    def keep(self, request: Request, lease: int) -> Deferred[bytes]:
        """Renew a lease."""
        return self._serve(request, KeepLease("", lease))

    @app.route("/switches", methods=["POST"])
    def switch(self, request: Request) -> bytes:
        """Set switches; ``restore_revision`` puts the store back to an older revision."""
        asked: dict[str, Any] = msgspec.json.decode(_content(request))
        revision = asked.pop("restore_revision", None)
        if revision is not None:
            self.state = restore_store(self.state, int(revision))
        merged = asdict(self.state.switches) | asked
        switches = msgspec.convert(merged, StoreSwitches, strict=False)
        self.state = replace(self.state, switches=switches)
        self._wake_watches()
        return msgspec.json.encode(asdict(switches) | {"revision": self.state.revision})

    @app.route("/counts", methods=["GET"])
    def counts(self, request: Request) -> bytes:
        """Report the calls so far by kind."""
        extra = {"waiting_watches": self.state.waiting_watches, "revision": self.state.revision}
        return msgspec.json.encode(dict(self.state.counts) | extra)

    def _serve(self, request: Request, call: Call) -> Deferred[bytes]:
        finished: Deferred[bytes] = Deferred()
        request.notifyFinish().addErrback(lambda failure: None)
        self._after(self.state.switches.delay_ms, lambda: self._carry_out(request, call, finished))
        return finished

    def _carry_out(self, request: Request, call: Call, finished: Deferred[bytes]) -> None:
        called = call_store(self.state, call, self._clock.now_ms())
        wrote = called.state.revision != self.state.revision
        self.state = called.state
        if isinstance(called.reply, WatchPending) and isinstance(call, WatchKeys):
            self._wait(request, call, finished)
        else:
            self._reply(request, called.reply, finished)
        if wrote:
            self._wake_watches()

    def _wait(self, request: Request, call: WatchKeys, finished: Deferred[bytes]) -> None:
        self._count_waiting(1)

        def end(reply: Reply) -> None:
            if check in self._watches:
                self._watches.remove(check)
                self._count_waiting(-1)
                if timeout.active():
                    timeout.cancel()
                self._reply(request, reply, finished)

        def check() -> None:
            if self.state.switches.outage:
                end(Unavailable())
                return
            reply = make_watch_reply(self.state, call.prefix, call.since_revision)
            if not isinstance(reply, WatchPending):
                end(reply)

        def expire() -> None:
            end(KeysChanged((), self.state.revision))

        timeout = self._reactor.callLater(call.wait_ms / _MS_PER_S, expire)
        request.notifyFinish().addErrback(lambda failure: end(CallLost()))
        self._watches.append(check)

    def _wake_watches(self) -> None:
        for check in tuple(self._watches):
            check()

    def _count_waiting(self, change: int) -> None:
        self.state = replace(self.state, waiting_watches=self.state.waiting_watches + change)

    def lapse(self) -> None:
        """Let leases lapse that nobody renewed; called in an interval."""
        before = self.state.revision
        self.state = expire_leases(self.state, self._clock.now_ms())
        if self.state.revision != before:
            self._wake_watches()

    def _reply(self, request: Request, reply: Reply, finished: Deferred[bytes]) -> None:
        def send() -> None:
            if isinstance(reply, CallLost | ReplyLost):
                if request.channel is not None:
                    request.channel.loseConnection()
                return
            finished.callback(_encode(request, reply))

        self._after(self.state.switches.reply_delay_ms, send)

    def _after(self, delay_ms: float, action: Callable[[], None]) -> None:
        if delay_ms > 0:
            self._reactor.callLater(delay_ms / _MS_PER_S, action)
        else:
            action()


def _transaction_call(asked: _Transaction) -> Call:
    """Return the call of a transaction, of which the stand-in takes one row."""
    match asked:
        case _Transaction(puts=(put,), remove=(), expected_rev=()):
            return PutLeased("", put.key, b64decode(put.value), put.lease)
        case _Transaction(puts=(put,), remove=(), expected_rev=(expected,)):
            return SwapKey("", put.key, b64decode(put.value), expected.revision)
        case _Transaction(puts=(), remove=(key,), expected_rev=(expected,)):
            return DeleteKey("", key, expected.revision)
        case _:
            raise ValueError("the stand-in takes one row per transaction")


def _encode(request: Request, reply: Reply) -> bytes:
    match reply:
        case KeyRead(key=key, value=value, revision=revision):
            return _body(request, 200, _row(key, value, revision))
        case KeyAbsent(revision=revision):
            return _body(request, 404, {"store-revision": revision})
        case Swapped(revision=revision):
            return _body(request, 200, {"revision": revision})
        case SwapConflict(key=key, revision=revision):
            return _body(request, 412, {"items": [{"key": key, "revision": revision}]})
        case KeysListed(entries=entries, revision=revision):
            after = _argument(request, "after")
            left = [entry for entry in entries if entry.key > after]
            page = [_row(entry.key, entry.value, entry.revision) for entry in left[:PAGE_ITEMS]]
            more = len(left) > PAGE_ITEMS
            body = {"items": page, "has-more": more, "store-revision": revision}
            return _body(request, 200, body)
        case KeysChanged(changes=changes, revision=revision):
            rows = [_row(change.key, change.value, change.revision) for change in changes]
            return _body(request, 200, {"events": rows, "store-revision": revision})
        case WatchCompacted(revision=revision):
            return _body(request, 410, {"store-revision": revision})
        case LeaseGranted(lease_id=lease, ttl_ms=ttl_ms):
            return _body(request, 200, {"lease": lease, "ttl-ms": ttl_ms})
        case LeaseEnded():
            return _body(request, 404, {"error": "the lease has ended"})
        case ValueTooLarge():
            return _body(request, 413, {"error": "the value is too large"})
        case StoreLimited():
            return _body(request, 429, {"error": "the rate limit is reached"})
        case _:
            return _body(request, 503, {"error": "outage"})


def _body(request: Request, status: int, body: dict[str, Any]) -> bytes:
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return msgspec.json.encode(body)


def _row(key: str, value: bytes | None, revision: int) -> dict[str, Any]:
    if value is None:
        return {"key": key, "revision": revision, "deleted": True}
    return {"key": key, "value": b64encode(value).decode("ascii"), "revision": revision}


def _argument(request: Request, name: str) -> str:
    values = request.args.get(name.encode("ascii"))
    return values[0].decode("utf-8") if values else ""


def _content(request: Request) -> bytes:
    return request.content.read() if request.content else b""
