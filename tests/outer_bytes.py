"""Examples of messages to callers, clients, targets, operators and the store, as text.

`tests.outer_names` compares them with recorded ones, so that no rename in the code changes bytes
that leave the process.
"""

from collections.abc import Iterable, Iterator
from dataclasses import fields, is_dataclass, replace
from typing import Any, get_args

from immutables import Map
from msgspec import json

from savoryarch import model
from savoryarch.api._replies import (
    encode_change_outcome,
    encode_notices,
    encode_status,
    encode_watched_changes,
)
from savoryarch.codec import (
    EncodedReply,
    encode_attempt,
    encode_cancel,
    encode_error,
    encode_probe,
    encode_route_outcome,
    encode_search_outcome,
)
from savoryarch.codec.tests.outer_examples import CODEC, make_examples
from savoryarch.configuration import WatchedChanges
from savoryarch.discovery import StoreEntryCodec
from savoryarch.forwarding._attempt_logs import reply_label
from savoryarch.front import ParsedRequest
from savoryarch.model import RefusalReason, Refused, SnapshotId, Target
from savoryarch.model.forwarding import (
    ForwardedRequest,
    RegisteredInstance,
    ShardsAnswered,
    TargetAnswered,
    Unanswered,
)
from savoryarch.notices import OpenNotice
from savoryarch.orders._order import _reply_detail
from savoryarch.platform import (
    PlatformDialect,
    decode_request,
    encode_answer,
    encode_store_call,
    make_entry_codec,
)

TARGET = Target("t-1@17", "pedidos", "zone-a", "10.0.0.7", 7001)
REQUEST = ForwardedRequest(
    "r-1", b"POST", b"/a?b=1", "host.example", ((b"X-A", b"1"), (b"request-id", b"r-1")), b"body"
)
CONFIGURATION_ENTRY = b"""{"version": 3, "routes": [
 {"name": "one", "host": "A.example", "path-prefix": "/one", "type": "idempotent",
  "timeout-ms": 900, "slo-ms": 400, "priority": 2, "max-attempts": 3, "service": "s1"},
 {"name": "split", "host": "b.example", "path-prefix": "/two", "type": "once",
  "timeout-ms": 800, "split": [{"service": "s1", "weight": 0.25},
  {"service": "s2", "weight": 0.75}]},
 {"name": "gather", "host": "c.example", "path-prefix": "/", "type": "idempotent",
  "timeout-ms": 700, "gather": ["s1", "s2"], "top-k": 5, "min-coverage": 0.5}],
 "services": [{"name": "s1", "max-conns": 4}],
 "limits": {"max-header-bytes": 1, "max-body-bytes": 2, "header-timeout-ms": 3,
  "idle-timeout-ms": 4}}""".replace(b"\n", b"")
TARGET_ENTRY = (
    b'{"service": "s1", "address": "10.0.0.7:7001", "zone": "zone-a", "slots": 4,'
    b' "state": "draining", "born": 17}'
)
INSTANCE_ENTRY = b'{"instance_id":"entry-1","availability_zone":"a","host":"h","port":9001}'


def _examples(*kinds: type) -> Iterator[Any]:
    for kind in kinds:
        yield from make_examples(kind, CODEC)


def _format_reply(reply: EncodedReply) -> str:
    headers = "".join(f" {name}={value}" for name, value in reply.headers)
    return f"{reply.status}{headers} {reply.body.decode('utf-8', 'backslashreplace')}"


def collect_targets() -> Iterator[str]:
    """Yield the requests that targets receive, as encoded."""
    requests = (
        model.PartRequest("counter name", b'{"q": 1}', SnapshotId(3, 41)),
        model.RouteRequest("order", "key \u00e9", b"{}"),
        model.RouteRequest("order", "", b"{}"),
    )
    for request in requests:
        yield repr(encode_attempt("search/1", "10.0.0.7:7001", 250.04, request))
    yield repr(encode_cancel("search/1", "10.0.0.7:7001"))
    yield repr(encode_probe("10.0.0.7:7001"))
    dialect = PlatformDialect()
    for request in (REQUEST, replace(REQUEST, method=b"GET", body=b"")):
        send = model.SendAttempt("forward/1", "t-1@17", 900.0, request)
        yield repr(dialect.encode_attempt(send, TARGET, 250.7))
    yield repr(dialect.encode_probe("10.0.0.7:7001"))


def collect_callers() -> Iterator[str]:
    """Yield the replies that callers receive."""
    snapshot = SnapshotId(3, 41)
    left_out = tuple(model.LeftOut(f"s-{reason.value}", reason) for reason in model.LeftOutReason)
    parts = (model.Part("s-1", b"[1]"), model.Part("s-2", b'["a"]'))
    answered = model.SearchAnswered(snapshot, model.Coverage(9, 2, left_out), parts)
    yield _format_reply(encode_search_outcome("r-1", "counter", answered))
    for outcome in _examples(model.RouteDone, model.RouteOutcomeUnknown):
        yield _format_reply(encode_route_outcome("r-1", outcome))
    for reason in RefusalReason:
        refused = Refused(reason, "the detail", True, retry_after_ms=1700.0)
        yield _format_reply(encode_route_outcome("r-1", refused))
    yield _format_reply(encode_search_outcome("r-1", "counter", Refused(reason, "detail", False)))
    yield _format_reply(encode_error(400, "malformed_body", "the detail"))


def collect_clients() -> Iterator[str]:
    """Yield the answers to clients of forwarded requests, and their requests as decoded."""
    outcomes: list[Any] = [
        TargetAnswered(201, ((b"X-A", b"1"),), b"body"),
        ShardsAnswered(("d1", "d2"), 3, b"body"),
        Unanswered(True, "too late"),
        Unanswered(False, "failed"),
        *(Refused(reason, "detail", True, retry_after_ms=1500.0) for reason in RefusalReason),
    ]
    for outcome in outcomes:
        answer = encode_answer(outcome)
        yield f"{answer.status} {answer.headers!r} {answer.body!r}"
    headers = ((b"Request-Id", b"r-1"), (b"Host", b"h.example"), (b"TE", b"x"), (b"X-A", b"1"))
    for extra_headers in (  # without a deadline, with one, and with a malformed one
        (),
        ((b"deadline-ms", b"250"), (b"expect-instance", b"t")),
        ((b"deadline-ms", b"x"),),
    ):
        yield _format_values(
            decode_request(ParsedRequest(b"GET", b"/a", headers + extra_headers, b"", True))
        )
    yield _format_values(decode_request(ParsedRequest(b"GET", b"/a", (), b"", True)))


def collect_operators() -> Iterator[str]:
    """Yield the replies that operators receive."""
    kinds = (
        model.ChangeAccepted,
        model.ChangeBlocked,
        model.ChangeConflicts,
        model.ChangeInvalid,
        model.ChangeUnavailable,
        model.ChangeUnknown,
    )
    for outcome in _examples(*kinds):
        yield _format_reply(encode_change_outcome("c-1", outcome))
    yield from (_format_reply(encode_status(item)) for item in _examples(model.ConfigurationStatus))
    for notice in _examples(model.Notice):
        yield _format_reply(encode_notices([OpenNotice(notice, 250.0)], 1000.0))
    puts = tuple(_examples(model.RevisedResource))
    deletes = tuple(_examples(model.DeletedResource))
    yield _format_reply(encode_watched_changes(WatchedChanges(9, puts, deletes)))


def collect_store() -> Iterator[str]:
    """Yield the calls to the store, and its entries as encoded and decoded."""
    for call in _examples(*get_args(model.StoreCall)):
        request = encode_store_call(call, "after")
        yield f"{request.method} {request.path} {request.query!r} {request.body!r}"
    codec: StoreEntryCodec = make_entry_codec("entries/")
    yield repr(codec.encode_instance(RegisteredInstance("entry-1", "a", "h", 9001)))
    for key, value in (
        ("op/config", CONFIGURATION_ENTRY),
        ("servers/t-1", TARGET_ENTRY),
        ("entries/entry-1", INSTANCE_ENTRY),
        ("servers/t-1", TARGET_ENTRY.replace(b"draining", b"gone")),  # an unknown state
    ):
        yield f"{value.decode()} {_format_values(codec.decode(key, value))}"


def collect_reasons() -> Iterator[str]:
    """Yield the labels and details that stand for each reply of a target in logs and answers."""
    members: Iterable[type] = get_args(model.AttemptReply)
    for reply in _examples(*members):
        name = CODEC.encode_plain(reply)["type"]
        yield f"{name} forwarding={reply_label(reply)} orders={_reply_detail(reply)}"


def _format_values(value: object) -> str:
    """Return the values of nested data classes, without the names of classes and fields."""
    return json.encode(_to_plain(value)).decode()


def _to_plain(value: object) -> Any:
    match value:
        case bytes():
            return value.decode("latin-1")
        case tuple():
            return [_to_plain(item) for item in value]
        case Map():
            return {key: _to_plain(value[key]) for key in sorted(value)}
        case _ if is_dataclass(value):
            return [_to_plain(getattr(value, item.name)) for item in fields(value)]
        case _:
            return value
