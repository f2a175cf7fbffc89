"""The HTTP API for callers: turns requests into events, and outcomes into replies."""

import math
from collections.abc import Callable
from typing import Any, Protocol

from klein import Klein
from msgspec import DecodeError, json
from twisted.internet.defer import Deferred, succeed
from twisted.web.server import Request
from werkzeug.exceptions import HTTPException, MethodNotAllowed

from savoryarch.codec import (
    EncodedReply,
    encode_error,
    encode_route_outcome,
    encode_search_outcome,
)
from savoryarch.model import (
    CallerDisconnected,
    Declarations,
    Priority,
    RefusalReason,
    Refused,
    RouteRequested,
    SearchRequested,
)
from savoryarch.orders import KeyFound, KeyNotFound, extract_created_at_ms, extract_key
from savoryarch.utils import Clock

MAX_KEY_CHARACTERS = 256
MAX_CALLER_CHARACTERS = 64


class CallerBridge(Protocol):
    """What the HTTP API for callers needs of the entry instance."""

    clock: Clock

    def submit(self, event: SearchRequested | RouteRequested) -> Deferred:
        """Feed an event; the Deferred fires once, with the outcome of the request."""

    def feed(self, event: object) -> None:
        """Feed an event without an outcome."""

    def next_request_id(self) -> str:
        """Return a request id that is unique over instances and their restarts."""

    def declarations(self) -> Declarations:
        """Return the declarations in force."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this instance."""

    def count_refusal(self, reason: str) -> None:
        """Count a request that was refused before it became an event."""


class _BadRequestError(Exception):
    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


def make_caller_app(bridge: CallerBridge) -> Klein:
    """Return the Klein application with the paths that callers may request."""
    app = Klein()

    @app.route("/v1/searches/<name>", methods=["POST"])
    def search(request: Request, name: str) -> Any:
        return _handle(bridge, request, lambda: _submit_search(bridge, request, name))

    @app.route("/v1/routes/<name>", methods=["POST"])
    def route(request: Request, name: str) -> Any:
        return _handle(bridge, request, lambda: _submit_route(bridge, request, name))

    @app.route("/ready", methods=["GET"])
    def ready(request: Request) -> bytes:
        request.setResponseCode(200 if bridge.is_ready() else 503)
        return b"ready\n" if bridge.is_ready() else b"not ready\n"

    @app.handle_errors(HTTPException)
    def handle_http_error(request: Request, failure: Any) -> bytes:
        is_wrong_method = isinstance(failure.value, MethodNotAllowed)
        reason = "method_not_allowed" if is_wrong_method else "unknown_path"
        bridge.count_refusal(reason)
        return _write(request, encode_error(failure.value.code, reason, str(failure.value)))

    return app


def _handle(
    bridge: CallerBridge, request: Request, submit_request: Callable[[], Deferred]
) -> Deferred:
    try:
        replied = submit_request()
    except _BadRequestError as error:
        bridge.count_refusal(error.reason)
        replied = succeed(encode_error(400, error.reason, error.detail))
    return replied.addCallback(lambda reply: _write(request, reply, bridge.is_ready()))


def _submit_search(bridge: CallerBridge, request: Request, name: str) -> Deferred:
    event = SearchRequested(
        request_id=bridge.next_request_id(),
        search=name,
        caller=_read_caller(request),
        query=_read_body(request),
        deadline_at_ms=_read_deadline(request, bridge.clock),
        priority=_read_priority(request),
    )
    return _submit(bridge, request, event).addCallback(
        lambda outcome: encode_search_outcome(event.request_id, name, outcome)
    )


def _submit_route(bridge: CallerBridge, request: Request, name: str) -> Deferred:
    body = _read_body(request)
    request_id = bridge.next_request_id()
    headers = _read_headers(request)
    key = _read_key(bridge.declarations(), name, headers, body)
    if isinstance(key, KeyNotFound):
        bridge.count_refusal(RefusalReason.KEY_MISSING.value)
        refused = Refused(RefusalReason.KEY_MISSING, key.detail, not_run=True)
        return succeed(encode_route_outcome(request_id, refused))
    event = RouteRequested(
        request_id=request_id,
        route=name,
        caller=_read_caller(request),
        idempotency_key=key.key,
        body=body,
        deadline_at_ms=_read_deadline(request, bridge.clock),
        priority=_read_priority(request),
        created_at_ms=extract_created_at_ms(key.key, headers),
    )
    return _submit(bridge, request, event).addCallback(
        lambda outcome: encode_route_outcome(request_id, outcome)
    )


def _submit(
    bridge: CallerBridge, request: Request, event: SearchRequested | RouteRequested
) -> Deferred:
    disconnected = request.notifyFinish()
    disconnected.addErrback(lambda _: bridge.feed(CallerDisconnected(event.request_id)))
    return bridge.submit(event)


def _read_key(
    declarations: Declarations, name: str, headers: dict[str, str], body: bytes
) -> KeyFound | KeyNotFound:
    route = declarations.routes.get(name)
    if route is None:
        # The decisions refuse a request for an unknown route.
        return KeyFound("")
    found = extract_key(route.key, headers, body)
    match found:
        case KeyFound(key=key) if len(key) > MAX_KEY_CHARACTERS:
            return KeyNotFound(f"got a key of {len(key)} characters, over {MAX_KEY_CHARACTERS}")
        case KeyNotFound() if route.idempotent:
            return KeyFound("")
        case _:
            return found


def _read_headers(request: Request) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): values[0].decode("latin-1")
        for name, values in request.requestHeaders.getAllRawHeaders()
    }


def _read_body(request: Request) -> bytes:
    body = request.content.read() if request.content else b""
    try:
        json.decode(body)
    except (DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _BadRequestError("malformed_body", f"body is not JSON: {error}") from error
    return body


def _read_caller(request: Request) -> str:
    caller = request.getHeader("x-caller") or ""
    if len(caller) > MAX_CALLER_CHARACTERS:
        detail = f"got {len(caller)} characters in x-caller, over {MAX_CALLER_CHARACTERS}"
        raise _BadRequestError("malformed_caller", detail)
    return caller


def _read_priority(request: Request) -> Priority | None:
    text = request.getHeader("x-priority")
    if text is None:
        return None
    try:
        return Priority(text)
    except ValueError as error:
        known = ", ".join(priority.value for priority in Priority)
        detail = f"got x-priority {text!r}, expected one of {known}"
        raise _BadRequestError("malformed_priority", detail) from error


def _read_deadline(request: Request, clock: Clock) -> float | None:
    text = request.getHeader("x-deadline-ms")
    if text is None:
        return None
    try:
        remaining_ms = float(text)
    except ValueError:
        remaining_ms = math.nan
    if not 0.0 < remaining_ms < math.inf:
        detail = f"got x-deadline-ms {text!r}, expected a positive number of milliseconds"
        raise _BadRequestError("malformed_deadline", detail)
    return clock.now_ms() + remaining_ms


def _write(request: Request, reply: EncodedReply, keep_alive: bool = True) -> bytes:
    request.setResponseCode(reply.status)
    request.setHeader("content-type", "application/json")
    request.setHeader("content-length", str(len(reply.body)))
    for name, value in reply.headers:
        request.setHeader(name, value)
    if not keep_alive:
        request.setHeader("connection", "close")
    return reply.body
