"""Frames of peer messages: the sender, its incarnation and the encoded message."""

from enum import Enum

import msgspec

FRAME_VERSION = 1
MAX_FRAME_BYTES = 1 << 20


class FrameDropReason(Enum):
    """Why a received frame is dropped."""

    MALFORMED = "malformed"
    UNKNOWN_VERSION = "unknown_version"
    UNKNOWN_MESSAGE = "unknown_message"
    OLD_INCARNATION = "old_incarnation"
    NOT_AUTHENTIC = "not_authentic"
    DECODER_FAILED = "decoder_failed"


class Frame(msgspec.Struct, array_like=True, frozen=True):
    """One frame on the wire.

    Parameters
    ----------
    version : int
        Version of the frame layout, see `FRAME_VERSION`.
    sender_id : str
        Instance id of the sender.
    incarnation : int
        Incarnation of the sender.
    body : bytes
        The encoded message.
    """

    version: int
    sender_id: str
    incarnation: int
    body: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def write_frame(frame: Frame) -> bytes:
    """Encode a frame as MessagePack."""
    return _ENCODER.encode(frame)


def read_frame(data: bytes) -> Frame | FrameDropReason:
    """Decode a frame; return the reason if it is malformed or of an unknown version."""
    try:
        frame = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return FrameDropReason.MALFORMED
    if frame.version != FRAME_VERSION:
        return FrameDropReason.UNKNOWN_VERSION
    return frame
