"""Messages survive encoding and decoding, and malformed ones raise only `CodecError`.

Bytes from the network or from a trace may be anything. Another exception than `CodecError` would
reach the event loop, and a message with values of the wrong types would fail later, in a decision.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from immutables import Map

from savoryarch import model
from savoryarch.codec import make_message_codec
from savoryarch.exceptions import CodecError
from savoryarch.model import (
    AttemptEnded,
    Caller,
    Declarations,
    DeclarationsInForce,
    KeyFromField,
    KeyRead,
    PartReturned,
    PeerMessageReceived,
    Priority,
    Route,
    SearchRequested,
    Shed,
    SnapshotId,
    StoreReplied,
    TimerFired,
)

CODEC = make_message_codec(model)
MESSAGES = [
    TimerFired("search/1"),
    SearchRequested("r1", "counter", "portal", b'{"q": 1}', None, Priority.URGENT),
    AttemptEnded("search/1", "t1", PartReturned(SnapshotId(1, 2), b"[\xff]", True)),
    AttemptEnded("search/1", "t1", Shed(20.0), (SnapshotId(1, 2),), 0.5),
    StoreReplied("orders/1", KeyRead("k", b"\x00\x01", 7)),
    PeerMessageReceived("entry-1", TimerFired("x")),
    DeclarationsInForce(
        Declarations(
            3,
            routes=Map({"order": Route("order", "pedidos", 900.0, key=KeyFromField("a.b"))}),
            callers=Map({"portal": Caller("portal", 2.0)}),
        )
    ),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_encoded_messages_decode_to_the_same_messages(message):
    assert CODEC.decode_frame(CODEC.encode_frame(message)) == message
    assert CODEC.decode_plain(CODEC.encode_plain(message)) == message


@pytest.mark.parametrize(
    ("plain", "finding"),
    [
        ({}, "expected an object with the key 'type'"),
        ([1], "expected an object"),
        ({"type": "Nothing"}, "'Nothing' is unknown"),
        ({"type": "TimerFired"}, "required field"),
        ({"type": "TimerFired", "timer_id": 5}, "expected str"),
        ({"type": "TimerFired", "timer_id": "a", "extra": 1}, "extra"),
        ({"type": "SetTimer", "timer_id": "a", "at_ms": "5"}, "expected float"),
        ({"type": "AttemptEnded", "attempt_id": "a", "target_id": "t", "reply": None}, "NoneType"),
        (
            {
                "type": "AttemptEnded",
                "attempt_id": "a",
                "target_id": "t",
                "reply": {"type": "TimerFired", "timer_id": "x"},
            },
            "got TimerFired",
        ),
    ],
)
def test_malformed_messages_raise(plain, finding):
    with pytest.raises(CodecError, match=finding):
        CODEC.decode_plain(plain)


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=200))
def test_random_frames_are_decoded_or_raise_a_codec_error(frame):
    try:
        CODEC.decode_frame(frame)
    except CodecError:
        return
