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
MAX_PAGE_ITEMS = 500


class _ExpectedRevision(msgspec.Struct, frozen=True):
    key: str
    revision: int


class _Put(msgspec.Struct, frozen=True):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct, rename="kebab", frozen=True):
    expected_rev: tuple[_ExpectedRevision, ...] = ()
    puts: tuple[_Put, ...] = ()
    remove: tuple[str, ...] = ()


class StoreServer:
    """HTTP interface of the store stand-in.

    Parameters
    ----------
    reactor : IReactorTime provider
        Runs the delays and the timeouts of watches.
    clock : Clock
        Clock that leases and rate limits refer to.
    """

    app = Klein()

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.state = StoreState()
        self._reactor = reactor
        self._clock = clock
        self._watch_checks: list[Callable[[], None]] = []

    @app.route("/kv-key", methods=["GET"])
    def read_key(self, request: Request) -> Deferred[bytes]:
        """Read one key."""
        return self._handle_call(request, ReadKey("", _query_argument(request, "key")))

    @app.route("/kv-range", methods=["GET"])
    def list_keys(self, request: Request) -> Deferred[bytes]:
        """Read one page of the keys with a prefix, in the order of the keys."""
        return self._handle_call(request, ListKeys("", _query_argument(request, "path-prefix")))

    @app.route("/kv-watch", methods=["GET"])
    def watch_keys(self, request: Request) -> Deferred[bytes]:
        """Read the changes after a revision, waiting for the first up to ``wait-ms``."""
        call = WatchKeys(
            "",
            _query_argument(request, "path-prefix"),
            int(_query_argument(request, "after")),
            float(_query_argument(request, "wait-ms")),
        )
        return self._handle_call(request, call)

    @app.route("/kv-txn", methods=["POST"])
    def write_key(self, request: Request) -> Deferred[bytes]:
        """Write or delete one key, subject to an expected revision or a lease."""
        transaction = msgspec.json.decode(_read_content(request), type=_Transaction)
        return self._handle_call(request, _make_call(transaction))

    @app.route("/kv-lease", methods=["POST"])
    def grant_lease(self, request: Request) -> Deferred[bytes]:
        """Grant a lease."""
        fields = msgspec.json.decode(_read_content(request))
        return self._handle_call(request, GrantLease("", float(fields["ttl-ms"])))

    @app.route("/kv-keep/<int:lease>", methods=["POST"])
    def keep_lease(self, request: Request, lease: int) -> Deferred[bytes]:
        """Renew a lease."""
        return self._handle_call(request, KeepLease("", lease))

    @app.route("/switches", methods=["POST"])
    def set_switches(self, request: Request) -> bytes:
        """Set the switches that the body names; ``restore_revision`` restores an older revision."""
        requested: dict[str, Any] = msgspec.json.decode(_read_content(request))
        revision = requested.pop("restore_revision", None)
        if revision is not None:
            self.state = restore_store(self.state, int(revision))
        merged = asdict(self.state.switches) | requested
        switches = msgspec.convert(merged, StoreSwitches, strict=False)
        self.state = replace(self.state, switches=switches)
        self._check_watches()
        return msgspec.json.encode(asdict(switches) | {"revision": self.state.revision})

    @app.route("/counts", methods=["GET"])
    def report_counts(self, request: Request) -> bytes:
        """Return the call counts, the number of waiting watches and the revision."""
        extra = {"waiting_watches": self.state.waiting_watches, "revision": self.state.revision}
        return msgspec.json.encode(dict(self.state.counts) | extra)

    def _handle_call(self, request: Request, call: Call) -> Deferred[bytes]:
        response: Deferred[bytes] = Deferred()
        # A lost connection is ignored here; without the errback, Twisted would log it as an error.
        request.notifyFinish().addErrback(lambda failure: None)
        self._call_after(
            self.state.switches.delay_ms, lambda: self._execute(request, call, response)
        )
        return response

    def _execute(self, request: Request, call: Call, response: Deferred[bytes]) -> None:
        result = call_store(self.state, call, self._clock.now_ms())
        has_written = result.state.revision != self.state.revision
        self.state = result.state
        if isinstance(result.reply, WatchPending) and isinstance(call, WatchKeys):
            self._start_watch(request, call, response)
        else:
            self._reply(request, result.reply, response)
        if has_written:
            self._check_watches()

    def _start_watch(self, request: Request, call: WatchKeys, response: Deferred[bytes]) -> None:
        self._change_waiting_watches(1)

        def finish(reply: Reply) -> None:
            """Remove the watch and reply, unless that has happened already."""
            if check in self._watch_checks:
                self._watch_checks.remove(check)
                self._change_waiting_watches(-1)
                if timeout.active():
                    timeout.cancel()
                self._reply(request, reply, response)

        def check() -> None:
            """Finish the watch if the store is unavailable or has changes for it."""
            if self.state.switches.outage:
                finish(Unavailable())
                return
            reply = make_watch_reply(self.state, call.prefix, call.since_revision)
            if not isinstance(reply, WatchPending):
                finish(reply)

        def expire() -> None:
            """Finish the watch without changes."""
            finish(KeysChanged((), self.state.revision))

        timeout = self._reactor.callLater(call.wait_ms / _MS_PER_S, expire)
        request.notifyFinish().addErrback(lambda failure: finish(CallLost()))
        self._watch_checks.append(check)

    def _check_watches(self) -> None:
        # A check that ends its watch removes itself from the list.
        for check in tuple(self._watch_checks):
            check()

    def _change_waiting_watches(self, change: int) -> None:
        self.state = replace(self.state, waiting_watches=self.state.waiting_watches + change)

    def expire_overdue_leases(self) -> None:
        """Expire the leases that were not renewed in time; must be called at regular intervals."""
        previous_revision = self.state.revision
        self.state = expire_leases(self.state, self._clock.now_ms())
        if self.state.revision != previous_revision:
            self._check_watches()

    def _reply(self, request: Request, reply: Reply, response: Deferred[bytes]) -> None:
        def send() -> None:
            if isinstance(reply, CallLost | ReplyLost):
                if request.channel is not None:
                    request.channel.loseConnection()
                return
            response.callback(_encode_reply(request, reply))

        self._call_after(self.state.switches.reply_delay_ms, send)

    def _call_after(self, delay_ms: float, action: Callable[[], None]) -> None:
        if delay_ms > 0:
            self._reactor.callLater(delay_ms / _MS_PER_S, action)
        else:
            action()


def _make_call(transaction: _Transaction) -> Call:
    """Return the call for a transaction, which must write or delete exactly one key."""
    match transaction:
        case _Transaction(puts=(put,), remove=(), expected_rev=()):
            return PutLeased("", put.key, b64decode(put.value), put.lease)
        case _Transaction(puts=(put,), remove=(), expected_rev=(expected,)):
            return SwapKey("", put.key, b64decode(put.value), expected.revision)
        case _Transaction(puts=(), remove=(key,), expected_rev=(expected,)):
            return DeleteKey("", key, expected.revision)
        case _:
            raise ValueError("the stand-in accepts one put or one removal per transaction")


def _encode_reply(request: Request, reply: Reply) -> bytes:
    match reply:
        case KeyRead(key=key, value=value, revision=revision):
            return _encode_body(request, 200, _make_item(key, value, revision))
        case KeyAbsent(revision=revision):
            return _encode_body(request, 404, {"store-revision": revision})
        case Swapped(revision=revision):
            return _encode_body(request, 200, {"revision": revision})
        case SwapConflict(key=key, revision=revision):
            return _encode_body(request, 412, {"items": [{"key": key, "revision": revision}]})
        case KeysListed(entries=entries, revision=revision):
            after = _query_argument(request, "after")
            remaining = [entry for entry in entries if entry.key > after]
            page = [
                _make_item(entry.key, entry.value, entry.revision)
                for entry in remaining[:MAX_PAGE_ITEMS]
            ]
            has_more = len(remaining) > MAX_PAGE_ITEMS
            body = {"items": page, "has-more": has_more, "store-revision": revision}
            return _encode_body(request, 200, body)
        case KeysChanged(changes=changes, revision=revision):
            items = [_make_item(change.key, change.value, change.revision) for change in changes]
            return _encode_body(request, 200, {"events": items, "store-revision": revision})
        case WatchCompacted(revision=revision):
            return _encode_body(request, 410, {"store-revision": revision})
        case LeaseGranted(lease_id=lease_id, ttl_ms=ttl_ms):
            return _encode_body(request, 200, {"lease": lease_id, "ttl-ms": ttl_ms})
        case LeaseEnded():
            return _encode_body(request, 404, {"error": "the lease has ended"})
        case ValueTooLarge():
            return _encode_body(request, 413, {"error": "the value is too large"})
        case StoreLimited():
            return _encode_body(request, 429, {"error": "the rate limit is reached"})
        case _:
            return _encode_body(request, 503, {"error": "outage"})


def _encode_body(request: Request, status: int, body: dict[str, Any]) -> bytes:
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    return msgspec.json.encode(body)


def _make_item(key: str, value: bytes | None, revision: int) -> dict[str, Any]:
    if value is None:
        return {"key": key, "revision": revision, "deleted": True}
    return {"key": key, "value": b64encode(value).decode("ascii"), "revision": revision}


def _query_argument(request: Request, name: str) -> str:
    values = request.args.get(name.encode("ascii"))
    return values[0].decode("utf-8") if values else ""


def _read_content(request: Request) -> bytes:
    return request.content.read() if request.content else b""
