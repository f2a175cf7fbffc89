"""Transport of messages between entry instances, over pynng."""

from savoryarch.peers._frame import Frame, FrameProblem, read_frame, write_frame
from savoryarch.peers._tls import PeerTls
from savoryarch.peers._transport import PeerCounts, PeerTransport

__all__ = [
    "Frame",
    "FrameProblem",
    "PeerCounts",
    "PeerTls",
    "PeerTransport",
    "read_frame",
    "write_frame",
]
