"""Whatever bytes come from outside, decoders raise only the errors that they declare.

Each strategy mixes arbitrary bytes with valid messages that are cut, repeated or changed. The
examples are derandomized, so that each run tests the same ones.
"""

import base64
import zlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryarch.codec import HttpReply, HttpReplyParser, JsonDialect
from savoryarch.codec.tests.outer_examples import CODEC
from savoryarch.discovery import MalformedEntry, UnrelatedEntry
from savoryarch.exceptions import CodecError
from savoryarch.front import ParsedRequest, RequestParser, UnusableRequest
from savoryarch.model import (
    AttemptEnded,
    GrantLease,
    KeepLease,
    ListKeys,
    MalformedReply,
    PartRequest,
    PutLeased,
    ReadKey,
    SendAttempt,
    SnapshotId,
    SwapKey,
    TargetEvidence,
    TargetFailed,
    WatchKeys,
)
from savoryarch.model.forwarding import (
    ForwardedRequest,
    ForwardingTable,
    FrontLimits,
    RegisteredInstance,
    RegisteredTarget,
)
from savoryarch.orders._bucket_codec import decode_bucket
from savoryarch.peers._frame import Frame, FrameDropReason, read_frame, write_frame
from savoryarch.platform import (
    PlatformDialect,
    decode_request,
    decode_store_reply,
    make_entry_codec,
)
from savoryarch.quarantine import ReplyReported
from savoryarch.resources import RECORD_CODEC
from savoryarch.settings import parse_settings
from savoryarch.store import StoreHttpReply

EXAMPLES = settings(derandomize=True, deadline=None, max_examples=300, database=None)
ENTRY_CODEC = make_entry_codec("instances/")
REPLY = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Stamp: d\r\nKeep-Alive: timeout=5\r\n"
    b"Server-Leaving: 1\r\nRetry-After: 0.5\r\nx-snapshots: 1.42\r\nx-load: 0.5\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"
)
REQUEST = (
    b"POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nDeadline-Ms: 100\r\n"
    b"Expect: 100-continue\r\nContent-Length: 5\r\n\r\nabcde"
)
SETTINGS_TEXT = "[instance]\ninstance_id = e-1\navailability_zone = z\nmemory_mb = 430\n"
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


@st.composite
def mutations(draw, valid):
    """Return a valid message with pieces cut out, repeated or replaced by arbitrary bytes."""
    data = valid
    for _ in range(draw(st.integers(0, 4))):
        start = draw(st.integers(0, len(data)))
        end = draw(st.integers(start, min(len(data), start + 30)))
        piece = draw(st.one_of(st.binary(max_size=12), st.just(data[start:end] * 2)))
        data = data[:start] + piece + data[end:]
    return data


def json_objects(**fields):
    """Return objects in which some of the fields have other values, as JSON."""
    changed = st.fixed_dictionaries(
        {}, optional={name: st.just(value) | JSON_VALUES for name, value in fields.items()}
    )
    return changed.map(msgspec.json.encode)


TARGETS = json_objects(service="s", address="10.0.0.1:80", zone="z", slots=2, state="ready", born=7)
INSTANCES = json_objects(instance_id="e", availability_zone="z", host="10.0.0.2", port=9000)
ROUTES = JSON_VALUES | st.lists(
    st.fixed_dictionaries(
        {},
        optional={
            "name": JSON_VALUES,
            "host": st.just("h") | JSON_VALUES,
            "path-prefix": st.just("/a/"),
            "type": JSON_VALUES,
            "timeout-ms": st.just(100) | JSON_VALUES,
            "gather": st.lists(st.text(max_size=3), max_size=3) | JSON_VALUES,
            "service": JSON_VALUES,
            "split": JSON_VALUES,
        },
    ),
    max_size=2,
)
TABLES = st.fixed_dictionaries({"version": st.integers(), "routes": ROUTES}).map(
    msgspec.json.encode
)


@EXAMPLES
@given(st.lists(mutations(REPLY) | st.binary(max_size=60), max_size=4))
@pytest.mark.parametrize("dialect", [PlatformDialect(), JsonDialect()], ids=["platform", "json"])
def test_replies_of_targets(dialect, chunks):
    forwarded = ForwardedRequest("r1", b"GET", b"/a/", "h", (), b"")
    part = PartRequest("counter", b"{}", SnapshotId(1, 42))
    request = forwarded if isinstance(dialect, PlatformDialect) else part
    send = SendAttempt("forwarding/1", "i-7@42", 100.0, request)
    parser = HttpReplyParser()
    replies = []
    try:
        for chunk in chunks:
            replies += parser.feed(chunk)
    except CodecError:
        pass
    finished = parser.finish()
    for reply in [*replies, *([finished] if finished else [])]:
        dialect.is_reply_to(reply, send)
        dialect.decode_advice(reply)
        dialect.decode_probe_reply(reply)
        assert dialect.max_idle_ms(reply) >= 0.0
        decoded, snapshots, load = dialect.decode_attempt_reply(reply, send)
        AttemptEnded(send.attempt_id, send.target_id, decoded, snapshots, load)


@EXAMPLES
@given(st.lists(mutations(REQUEST) | st.binary(max_size=60), max_size=4))
def test_requests_of_clients(chunks):
    parser = RequestParser(FrontLimits())
    for chunk in chunks:
        parsed = parser.feed(chunk)
        if isinstance(parsed, ParsedRequest):
            decode_request(parsed)
        elif isinstance(parsed, UnusableRequest):
            break


@EXAMPLES
@given(
    st.sampled_from(["servers/i-7", "servers/\r\n", "instances/e", "op/config", "x", ""]),
    TARGETS | INSTANCES | TABLES | st.binary(max_size=40) | JSON_VALUES.map(msgspec.json.encode),
)
def test_entries_of_the_store(key, value):
    entry = ENTRY_CODEC.decode(key, value)
    match entry:
        case RegisteredTarget(target=target, slots=slots):
            assert 1 <= target.port <= 65_535 and slots >= 1
        case RegisteredInstance(port=port):
            assert 1 <= port <= 65_535
        case _:
            assert isinstance(entry, ForwardingTable | MalformedEntry | UnrelatedEntry)


CALLS = (
    ReadKey("c", "k"),
    ListKeys("c", "p"),
    WatchKeys("c", "p", 3, 1.0),
    SwapKey("c", "k", b"v", 3),
    PutLeased("c", "k", b"v", 7),
    GrantLease("c", 1000.0),
    KeepLease("c", 7),
)
STORE_ITEMS = JSON_VALUES | st.lists(
    st.fixed_dictionaries(
        {"key": st.text(max_size=5), "revision": st.integers()},
        optional={
            "value": st.text(max_size=8) | st.just(base64.b64encode(b"v").decode()),
            "deleted": st.booleans() | JSON_VALUES,
        },
    ),
    max_size=3,
)
STORE_BODIES = st.fixed_dictionaries(
    {},
    optional={
        "items": STORE_ITEMS,
        "events": STORE_ITEMS,
        "store-revision": st.integers() | JSON_VALUES,
        "has-more": st.booleans() | JSON_VALUES,
        "lease": st.integers() | JSON_VALUES,
        "ttl-ms": st.floats() | JSON_VALUES,
        "revision": st.integers() | JSON_VALUES,
    },
).map(msgspec.json.encode)


@EXAMPLES
@given(
    st.sampled_from(CALLS),
    st.sampled_from([200, 404, 410, 412, 429, 503, 700]),
    STORE_BODIES | st.binary(max_size=40),
)
def test_replies_of_the_store(call, status, body):
    assert decode_store_reply(call, StoreHttpReply(status, body)) is not None


PEER_FRAME = write_frame(Frame(1, "e-1", 7, CODEC.encode_frame(ReplyReported("f", "s"))))


@EXAMPLES
@given(mutations(PEER_FRAME) | st.binary(max_size=60))
def test_frames_of_peers(data):
    frame = read_frame(data)
    if isinstance(frame, FrameDropReason):
        return
    try:
        CODEC.decode_frame(frame.body)
    except CodecError as error:
        assert str(error)


@EXAMPLES
@given(JSON_VALUES.map(msgspec.msgpack.encode) | st.binary(max_size=40))
def test_bodies_of_frames_and_records(data):
    try:
        CODEC.decode_frame(data)
    except CodecError as error:
        assert str(error)


NESTED = b"[" * 200_000 + b"]" * 200_000


@pytest.mark.parametrize(
    "body",
    [
        b'{"snapshot":"1.42","complete":true,"records":[],"x":' + NESTED + b"}",
        b'{"state":"live","x":' + NESTED + b"}",
        NESTED,
    ],
)
@pytest.mark.parametrize("status", [200, 503])
def test_a_deeply_nested_reply_of_a_target_is_malformed(status, body):
    request = PartRequest("counter", b"{}", SnapshotId(1, 42))
    send = SendAttempt("search/1", "t", 100.0, request)
    reply = HttpReply(status, body, {"x-request-id": "search/1"})
    decoded, _, _ = JsonDialect().decode_attempt_reply(reply, send)
    assert isinstance(decoded, MalformedReply | TargetFailed)
    evidence, _ = JsonDialect().decode_probe_reply(reply)
    assert evidence is TargetEvidence.PROBE_FAILED


def test_a_deeply_nested_claim_bucket_is_rejected():
    with pytest.raises(CodecError):
        decode_bucket(b"\x91" * 200_000 + b"\xc0")


@pytest.mark.parametrize("nesting", [b"\x91" * 200_000, b"\x81\xa1a" * 200_000])
def test_a_deeply_nested_frame_is_dropped(nesting):
    assert isinstance(read_frame(nesting), FrameDropReason)
    with pytest.raises(CodecError):
        CODEC.decode_frame(nesting + b"\xc0")


RECORD = zlib.compress(b'{"format":1,"generation":3,"resources":[],"deleted":[],"history":[]}')


@EXAMPLES
@given(JSON_VALUES.map(msgspec.json.encode).map(zlib.compress) | mutations(RECORD))
def test_records_of_the_configuration(data):
    RECORD_CODEC.decode_record(data)
    RECORD_CODEC.decode_delta(data)


def test_a_deeply_nested_record_is_malformed():
    nested = zlib.compress(b'{"x":' + b"[" * 200_000 + b"]" * 200_000 + b"}")
    assert RECORD_CODEC.decode_record(nested) is None
    assert RECORD_CODEC.decode_delta(nested) is None


@EXAMPLES
@given(mutations(SETTINGS_TEXT.encode()) | st.binary(max_size=60))
def test_settings(data):
    parsed, findings = parse_settings(data.decode("utf-8", errors="replace"), "settings.ini")
    assert (parsed is None) == bool(findings)
