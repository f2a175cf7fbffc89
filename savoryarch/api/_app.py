"""Routes of the operators' API."""

from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure
from twisted.web.server import Request
from werkzeug.exceptions import HTTPException, MethodNotAllowed

from savoryarch.api._access import AccessPolicy, Role, find_role
from savoryarch.api._bridge import OperatorBridge
from savoryarch.api._pending_changes import PendingChanges
from savoryarch.api._replies import (
    encode_change_outcome,
    encode_findings,
    encode_notices,
    encode_refusal,
    encode_status,
    encode_value,
    encode_watched_changes,
)
from savoryarch.api._requests import (
    DEFAULT_WAIT_MS,
    MAX_WAIT_MS,
    AppliedChanges,
    BadRequestError,
    InvalidRequestError,
    decode_apply,
    decode_put,
    decode_restore,
    parse_kind,
    parse_number,
)
from savoryarch.codec import EncodedReply
from savoryarch.configuration import changes_since, find_resource, resources_of_kind
from savoryarch.model import (
    Change,
    ChangeRequested,
    DeleteResource,
    PutResource,
    ResourceKey,
    ResourceKind,
    StatusRequested,
    resource_key,
)
from savoryarch.notices import list_notices
from savoryarch.resources import resource_to_json

MAX_REVISION = float(2**53)  # Up to here, a float represents each integer exactly.
_READ_METHODS = frozenset({b"GET", b"HEAD"})


def make_operator_app(bridge: OperatorBridge, access: AccessPolicy | None = None) -> Klein:
    """Make the klein application that serves the operators' API.

    Parameters
    ----------
    bridge : OperatorBridge
        The entry instance.
    access : AccessPolicy, optional
        The accepted tokens; without tokens, every request is accepted.

    Returns
    -------
    app : Klein
        Application with all routes of the API.
    """
    app = Klein()
    policy = access or AccessPolicy()

    def handle(request: Request, make_reply: Callable[[], Any]) -> Deferred:
        return _handle_request(bridge, policy, request, make_reply)

    _add_resource_routes(app, bridge, handle)
    _add_change_routes(app, bridge, handle)
    _add_status_routes(app, bridge, handle)

    @app.handle_errors(HTTPException)
    def handle_http_error(request: Request, failure: Failure) -> bytes:
        error: Any = failure.value
        is_wrong_method = isinstance(error, MethodNotAllowed)
        reason = "method_not_allowed" if is_wrong_method else "unknown_path"
        bridge.count_refusal(reason)
        return _write_reply(request, encode_refusal(error.code, reason, str(error)))

    return app


def _add_resource_routes(app: Klein, bridge: OperatorBridge, handle: Any) -> None:
    @app.route("/v1/resources/<kind>", methods=["GET"])
    def list_resources(request: Request, kind: str) -> Any:
        return handle(request, lambda: _list_resources(bridge, parse_kind(kind)))

    @app.route("/v1/resources/<kind>/<name>", methods=["GET"])
    def get_resource(request: Request, kind: str, name: str) -> Any:
        return handle(request, lambda: _get_resource(bridge, ResourceKey(parse_kind(kind), name)))

    @app.route("/v1/watch", methods=["GET"])
    def watch(request: Request) -> Any:
        return handle(request, lambda: _wait_for_changes(bridge, request))


def _add_change_routes(app: Klein, bridge: OperatorBridge, handle: Any) -> None:
    pending = PendingChanges(bridge)

    def submit(change_id: str, *changes: Change) -> Deferred:
        requested = ChangeRequested(change_id or bridge.next_request_id(), changes)
        return pending.submit(requested).addCallback(
            lambda outcome: encode_change_outcome(requested.change_id, outcome)
        )

    @app.route("/v1/resources/<kind>/<name>", methods=["PUT"])
    def put_resource(request: Request, kind: str, name: str) -> Any:
        return handle(request, lambda: submit("", _decode_put(request, parse_kind(kind), name)))

    @app.route("/v1/resources/<kind>/<name>", methods=["DELETE"])
    def delete_resource(request: Request, kind: str, name: str) -> Any:
        return handle(
            request,
            lambda: submit(
                "", _decode_delete(bridge, request, ResourceKey(parse_kind(kind), name))
            ),
        )

    @app.route("/v1/apply", methods=["POST"])
    def apply(request: Request) -> Any:
        return handle(request, lambda: _submit_applied(decode_apply(_read_body(request)), submit))

    @app.route("/v1/restore", methods=["POST"])
    def restore(request: Request) -> Any:
        return handle(request, lambda: submit("", decode_restore(_read_body(request))))


def _add_status_routes(app: Klein, bridge: OperatorBridge, handle: Any) -> None:
    @app.route("/v1/status", methods=["GET"])
    def status(request: Request) -> Any:
        return handle(
            request,
            lambda: bridge.submit(StatusRequested(bridge.next_request_id())).addCallback(
                encode_status
            ),
        )

    @app.route("/v1/notices", methods=["GET"])
    def notices(request: Request) -> Any:
        return handle(
            request,
            lambda: encode_notices(
                list_notices(bridge.read_state().notices), bridge.clock.now_ms()
            ),
        )

    @app.route("/metrics", methods=["GET"])
    def metrics(request: Request) -> Any:
        headers = (("content-type", "text/plain; version=0.0.4; charset=utf-8"),)
        return handle(request, lambda: EncodedReply(200, bridge.render_metrics(), headers))


def _handle_request(
    bridge: OperatorBridge, policy: AccessPolicy, request: Request, make_reply: Callable[[], Any]
) -> Deferred:
    role = find_role(policy, request.getHeader("authorization"))
    reply_deferred = maybeDeferred(
        _authorize_and_reply, role, request.method in _READ_METHODS, make_reply
    )
    reply_deferred.addErrback(lambda failure: _encode_failure(bridge, failure))
    return reply_deferred.addCallback(lambda reply: _write_reply(request, reply))


def _authorize_and_reply(role: Role, is_read: bool, make_reply: Callable[[], Any]) -> Any:
    if role is Role.NONE:
        raise BadRequestError(401, "unauthorized", "expected a known token: Authorization: Bearer")
    if role is Role.READ and not is_read:
        raise BadRequestError(403, "forbidden", "this token may read, but not change")
    return make_reply()


def _encode_failure(bridge: OperatorBridge, failure: Failure) -> EncodedReply:
    match failure.value:
        case BadRequestError() as error:
            bridge.count_refusal(error.reason)
            return encode_refusal(error.status, error.reason, error.detail)
        case InvalidRequestError() as error:
            bridge.count_refusal("invalid")
            return encode_findings(error.findings)
        case _:
            failure.raiseException()
            raise AssertionError


def _list_resources(bridge: OperatorBridge, kind: ResourceKind) -> EncodedReply:
    record = bridge.read_state().configuration.record
    resources = resources_of_kind(record.declarations, kind)
    items = [
        resource_to_json(resources[name], record.revisions[resource_key(resources[name])])
        for name in sorted(resources)
    ]
    return encode_value({"generation": record.generation, "items": items})


def _get_resource(bridge: OperatorBridge, key: ResourceKey) -> EncodedReply:
    record = bridge.read_state().configuration.record
    resource = find_resource(record.declarations, key)
    if resource is None:
        raise BadRequestError(404, "unknown_resource", f"resource {key} does not exist")
    return encode_value(resource_to_json(resource, record.revisions[key]))


def _decode_put(request: Request, kind: ResourceKind, name: str) -> PutResource:
    return decode_put(kind, name, _read_body(request), _expected_revision(request))


def _decode_delete(bridge: OperatorBridge, request: Request, key: ResourceKey) -> DeleteResource:
    if find_resource(bridge.read_state().configuration.record.declarations, key) is None:
        raise BadRequestError(404, "unknown_resource", f"resource {key} does not exist")
    return DeleteResource(key, _expected_revision(request))


def _submit_applied(applied: AppliedChanges, submit: Callable[..., Deferred]) -> Deferred:
    return submit(applied.change_id, *applied.changes)


def _wait_for_changes(bridge: OperatorBridge, request: Request) -> Any:
    since = int(parse_number(_query_value(request, "since"), "since", 0.0, MAX_REVISION) or 0)
    wait_ms = parse_number(
        _query_value(request, "wait_ms"), "wait_ms", DEFAULT_WAIT_MS, MAX_WAIT_MS
    )
    if bridge.read_state().configuration.record.generation > since:
        return _encode_changes_since(bridge, since)
    waiting = bridge.wait_for_newer_generation(since, wait_ms or 0.0)
    return waiting.addCallback(lambda _: _encode_changes_since(bridge, since))


def _encode_changes_since(bridge: OperatorBridge, since: int) -> EncodedReply:
    record = bridge.read_state().configuration.record
    changes = changes_since(record, since)
    if changes is None:
        detail = f"changes since {since} are no longer known; list the resources again"
        raise BadRequestError(410, "too_old", detail)
    return encode_watched_changes(changes)


def _read_body(request: Request) -> bytes:
    content: Any = request.content
    return content.read() if content else b""


def _query_value(request: Request, name: str) -> str | None:
    values = (request.args or {}).get(name.encode())
    return values[0].decode("utf-8", "replace") if values else None


def _expected_revision(request: Request) -> int | None:
    name = "expected_revision"
    value = parse_number(_query_value(request, name), name, None, MAX_REVISION)
    return None if value is None else int(value)


def _write_reply(request: Request, reply: EncodedReply) -> bytes:
    request.setResponseCode(reply.status)
    request.setHeader("content-type", "application/json")
    for name, value in reply.headers:
        request.setHeader(name, value)
    return reply.body
