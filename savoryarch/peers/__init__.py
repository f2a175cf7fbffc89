"""Transport of one-way messages between entry instances, over pynng sockets."""

from savoryarch.peers._frame import (
    MAX_FRAME_BYTES,
    Frame,
    FrameDropReason,
    read_frame,
    write_frame,
)
from savoryarch.peers._tls import PeerTls
from savoryarch.peers._transport import PeerTransport, TransportCallbacks

__all__ = [
    "Frame",
    "FrameDropReason",
    "MAX_FRAME_BYTES",
    "TransportCallbacks",
    "PeerTls",
    "PeerTransport",
    "read_frame",
    "write_frame",
]
