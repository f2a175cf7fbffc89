"""The operators' API: resources, status, notices and metrics."""

from collections.abc import Callable
from typing import Any

from klein import Klein
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure
from twisted.web.server import Request
from werkzeug.exceptions import HTTPException, MethodNotAllowed

from savoryarch.api._access import AccessPolicy, Role, find_role
from savoryarch.api._bridge import OperatorBridge
from savoryarch.api._pending import PendingChanges
from savoryarch.api._replies import (
    encode_change_outcome,
    encode_findings,
    encode_notices,
    encode_refused,
    encode_status,
    encode_value,
    encode_watched,
)
from savoryarch.api._requests import (
    DEFAULT_WAIT_MS,
    MAX_WAIT_MS,
    AppliedChanges,
    BadRequestError,
    FindingsRequestError,
    read_apply,
    read_kind,
    read_number,
    read_put,
    read_restore,
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

MAX_REVISION = float(2**53)
_READS = frozenset({b"GET", b"HEAD"})


def make_operator_app(bridge: OperatorBridge, access: AccessPolicy | None = None) -> Klein:
    """Make the klein application of the operators' address.

    Parameters
    ----------
    bridge : OperatorBridge
        The entry instance.
    access : Access, optional
        The accepted tokens; without any, every request is accepted.
    """
    app = Klein()
    known = access or AccessPolicy()

    def handle(request: Request, answer: Callable[[], Any]) -> Deferred:
        return _handle(bridge, known, request, answer)

    _add_resource_routes(app, bridge, handle)
    _add_change_routes(app, bridge, handle)
    _add_status_routes(app, bridge, handle)

    @app.handle_errors(HTTPException)
    def not_found(request: Request, failure: Failure) -> bytes:
        error: Any = failure.value
        method = isinstance(error, MethodNotAllowed)
        reason = "method_not_allowed" if method else "unknown_path"
        bridge.count_refusal(reason)
        return _write(request, encode_refused(error.code, reason, str(error)))

    return app


def _add_resource_routes(app: Klein, bridge: OperatorBridge, handle: Any) -> None:
    @app.route("/v1/resources/<kind>", methods=["GET"])
    def list_resources(request: Request, kind: str) -> Any:
        return handle(request, lambda: _list(bridge, read_kind(kind)))

    @app.route("/v1/resources/<kind>/<name>", methods=["GET"])
    def get_resource(request: Request, kind: str, name: str) -> Any:
        return handle(request, lambda: _get(bridge, ResourceKey(read_kind(kind), name)))

    @app.route("/v1/watch", methods=["GET"])
    def watch(request: Request) -> Any:
        return handle(request, lambda: _watch(bridge, request))


def _add_change_routes(app: Klein, bridge: OperatorBridge, handle: Any) -> None:
    pending = PendingChanges(bridge)

    def submit(change_id: str, *changes: Change) -> Deferred:
        asked = ChangeRequested(change_id or bridge.next_request_id(), changes)
        return pending.submit(asked).addCallback(
            lambda outcome: encode_change_outcome(asked.change_id, outcome)
        )

    @app.route("/v1/resources/<kind>/<name>", methods=["PUT"])
    def put_resource(request: Request, kind: str, name: str) -> Any:
        return handle(request, lambda: submit("", _read_put(request, read_kind(kind), name)))

    @app.route("/v1/resources/<kind>/<name>", methods=["DELETE"])
    def delete_resource(request: Request, kind: str, name: str) -> Any:
        return handle(
            request,
            lambda: submit("", _read_delete(bridge, request, ResourceKey(read_kind(kind), name))),
        )

    @app.route("/v1/apply", methods=["POST"])
    def apply(request: Request) -> Any:
        return handle(request, lambda: _submit_applied(read_apply(_body(request)), submit))

    @app.route("/v1/restore", methods=["POST"])
    def restore(request: Request) -> Any:
        return handle(request, lambda: submit("", read_restore(_body(request))))


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
        text = (("content-type", "text/plain; version=0.0.4; charset=utf-8"),)
        return handle(request, lambda: EncodedReply(200, bridge.render_metrics(), text))


def _handle(
    bridge: OperatorBridge, access: AccessPolicy, request: Request, answer: Callable[[], Any]
) -> Deferred:
    role = find_role(access, request.getHeader("authorization"))
    replied = maybeDeferred(_authorize, role, request.method in _READS, answer)
    replied.addErrback(lambda failure: _encode_failure(bridge, failure))
    return replied.addCallback(lambda reply: _write(request, reply))


def _authorize(role: Role, reads: bool, answer: Callable[[], Any]) -> Any:
    if role is Role.NONE:
        raise BadRequestError(401, "unauthorized", "expected a known token: Authorization: Bearer")
    if role is Role.READ and not reads:
        raise BadRequestError(403, "forbidden", "this token may read, but not change")
    return answer()


def _encode_failure(bridge: OperatorBridge, failure: Failure) -> EncodedReply:
    match failure.value:
        case BadRequestError() as error:
            bridge.count_refusal(error.reason)
            return encode_refused(error.status, error.reason, error.detail)
        case FindingsRequestError() as error:
            bridge.count_refusal("invalid")
            return encode_findings(error.findings)
        case _:
            failure.raiseException()
            raise AssertionError


def _list(bridge: OperatorBridge, kind: ResourceKind) -> EncodedReply:
    record = bridge.read_state().configuration.record
    held = resources_of_kind(record.declarations, kind)
    items = [
        resource_to_json(held[name], record.revisions[resource_key(held[name])])
        for name in sorted(held)
    ]
    return encode_value({"generation": record.generation, "items": items})


def _get(bridge: OperatorBridge, key: ResourceKey) -> EncodedReply:
    record = bridge.read_state().configuration.record
    resource = find_resource(record.declarations, key)
    if resource is None:
        raise BadRequestError(404, "unknown_resource", f"resource {key} does not exist")
    return encode_value(resource_to_json(resource, record.revisions[key]))


def _read_put(request: Request, kind: ResourceKind, name: str) -> PutResource:
    return read_put(kind, name, _body(request), _expected_revision(request))


def _read_delete(bridge: OperatorBridge, request: Request, key: ResourceKey) -> DeleteResource:
    if find_resource(bridge.read_state().configuration.record.declarations, key) is None:
        raise BadRequestError(404, "unknown_resource", f"resource {key} does not exist")
    return DeleteResource(key, _expected_revision(request))


def _submit_applied(applied: AppliedChanges, submit: Callable[..., Deferred]) -> Deferred:
    return submit(applied.change_id, *applied.changes)


def _watch(bridge: OperatorBridge, request: Request) -> Any:
    since = int(read_number(_query(request, "since"), "since", 0.0, MAX_REVISION) or 0)
    wait_ms = read_number(_query(request, "wait_ms"), "wait_ms", DEFAULT_WAIT_MS, MAX_WAIT_MS)
    if bridge.read_state().configuration.record.generation > since:
        return _watched(bridge, since)
    waited = bridge.wait_for_newer_generation(since, wait_ms or 0.0)
    return waited.addCallback(lambda _: _watched(bridge, since))


def _watched(bridge: OperatorBridge, since: int) -> EncodedReply:
    record = bridge.read_state().configuration.record
    watched = changes_since(record, since)
    if watched is None:
        detail = f"changes since {since} are no longer known; list the resources again"
        raise BadRequestError(410, "too_old", detail)
    return encode_watched(watched)


def _body(request: Request) -> bytes:
    content: Any = request.content
    return content.read() if content else b""


def _query(request: Request, name: str) -> str | None:
    values = (request.args or {}).get(name.encode())
    return values[0].decode("utf-8", "replace") if values else None


def _expected_revision(request: Request) -> int | None:
    name = "expected_revision"
    value = read_number(_query(request, name), name, None, MAX_REVISION)
    return None if value is None else int(value)


def _write(request: Request, reply: EncodedReply) -> bytes:
    request.setResponseCode(reply.status)
    request.setHeader("content-type", "application/json")
    for name, value in reply.headers:
        request.setHeader(name, value)
    return reply.body
