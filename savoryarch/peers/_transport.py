"""Sends and receives frames on pynng sockets that the reactor watches."""

from collections.abc import Callable
from dataclasses import dataclass
from socket import ntohs
from typing import Any

import pynng
from twisted.internet.interfaces import IReadDescriptor
from zope.interface import implementer

from savoryarch.exceptions import CodecError
from savoryarch.peers._frame import (
    FRAME_VERSION,
    MAX_FRAME_BYTES,
    Frame,
    FrameDropReason,
    read_frame,
    write_frame,
)
from savoryarch.peers._tls import PeerTls, limit_nng_threads, make_dialer_tls, make_listener_tls

MAX_MESSAGES_PER_READ = 64
SEND_BUFFER_MESSAGES = 64
RECEIVE_BUFFER_MESSAGES = 256
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
IDLE_CHECK_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class TransportCallbacks:
    """Callbacks of the transport, one call per message.

    Parameters
    ----------
    on_sent, on_received : callable
        Called with the size of the frame in bytes.
    on_dropped : callable
        Called with the reason why the message was dropped.
    """

    on_sent: Callable[[int], None] = lambda size_bytes: None
    on_received: Callable[[int], None] = lambda size_bytes: None
    on_dropped: Callable[[str], None] = lambda reason: None


@implementer(IReadDescriptor)
class _Receiver:
    """Reads the messages of a pynng socket whenever its descriptor becomes readable."""

    def __init__(self, socket: pynng.Socket, receive: Callable[[bytes], None]) -> None:
        self._socket = socket
        self._receive = receive
        self._descriptor = socket.recv_fd

    def fileno(self) -> int:
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        return "peers"

    def doRead(self) -> None:  # noqa: N802
        # The limit lets the loop serve other descriptors; messages that remain keep this one
        # readable.
        for _ in range(MAX_MESSAGES_PER_READ):
            try:
                data = self._socket.recv(block=False)
            except (pynng.TryAgain, pynng.Closed):
                return
            except RuntimeError:  # pynng raises this for an empty message
                data = b""
            self._receive(data)

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        self._descriptor = -1


@dataclass(frozen=True, slots=True)
class _Address:
    host: str
    port: int


class PeerTransport:
    """One-way messages between entry instances.

    A message may be lost, but it is never delivered twice, and sending never blocks. Each instance
    listens on one Pull socket and has one Push socket for each peer that it sends to. A Push
    socket is opened by the first message to the peer and closed once it is idle, so that an
    instance that knows hundreds of peers holds few connections.

    Parameters
    ----------
    reactor : object
        Twisted reactor that watches the listening socket and schedules calls.
    host, port : str, int
        Address to listen on. Port 0 selects a free port; the attribute `port` holds it.
    instance_id : str
        Instance id of this instance, written into each frame.
    incarnation : int
        Incarnation of this instance, written into each frame.
    receive : callable
        Called with the sender's instance id and each decoded message.
    encode, decode : callable
        Convert a message to bytes and back; `decode` raises ``CodecError`` for unknown messages.
    callbacks : TransportCallbacks, optional
        Called for each message that is sent, received or dropped.
    tls : PeerTls, optional
        Files for mutual TLS. Without them, messages of any process that reaches the address are
        accepted.
    max_frame_bytes : int, optional
        Size of the largest frame that is sent or received; it bounds the memory of each connection
        to this instance, on which a frame may have come in part.
    """

    def __init__(
        self,
        reactor: Any,
        host: str,
        port: int,
        instance_id: str,
        incarnation: int,
        receive: Callable[[str, object], None],
        encode: Callable[[object], bytes],
        decode: Callable[[bytes], object],
        callbacks: TransportCallbacks | None = None,
        tls: PeerTls | None = None,
        max_frame_bytes: int = MAX_FRAME_BYTES,
    ) -> None:
        limit_nng_threads()
        self._reactor = reactor
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._deliver = receive
        self._encode = encode
        self._decode = decode
        self._max_frame_bytes = max_frame_bytes
        self._callbacks = callbacks or TransportCallbacks()
        self._addresses: dict[str, _Address] = {}
        self._sockets: dict[str, pynng.Push0] = {}
        self._recently_used: set[str] = set()
        self._incarnations: dict[str, int] = {}
        self._scheme = "tls+tcp" if tls else "tcp"
        self._dialer_tls = make_dialer_tls(tls) if tls else None
        self._listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_MESSAGES,
            recv_max_size=max_frame_bytes,
            tls_config=make_listener_tls(tls) if tls else None,
        )
        bound = self._listener.listen(f"{self._scheme}://{host}:{port}")
        self.port = _port_of(bound)
        self._receiver = _Receiver(self._listener, self._receive)
        reactor.addReader(self._receiver)
        self._idle_call = reactor.callLater(IDLE_CHECK_INTERVAL_S, self._close_idle)

    def set_peer_address(self, peer_id: str, host: str, port: int) -> None:
        """Set the address of a peer and close a connection to its previous address."""
        address = _Address(host, port)
        if self._addresses.get(peer_id) != address:
            self._close_socket(peer_id)
            self._addresses[peer_id] = address

    def remove_peer(self, peer_id: str) -> None:
        """Close the connection to a peer and remove its address and known incarnation."""
        self._close_socket(peer_id)
        self._addresses.pop(peer_id, None)
        self._incarnations.pop(peer_id, None)

    def send(self, peer_id: str, message: object) -> None:
        """Send a message without blocking.

        The message is dropped if the peer has no address, the frame exceeds `max_frame_bytes` or
        the send buffer is full.
        """
        socket = self._socket_to(peer_id)
        if socket is None:
            self._callbacks.on_dropped("unknown_peer")
            return
        frame = Frame(FRAME_VERSION, self._instance_id, self._incarnation, self._encode(message))
        data = write_frame(frame)
        if len(data) > self._max_frame_bytes:
            self._callbacks.on_dropped("too_large")
            return
        try:
            socket.send(data, block=False)
        except pynng.TryAgain:
            self._callbacks.on_dropped("send_buffer_full")
            return
        self._callbacks.on_sent(len(data))

    def connection_count(self) -> int:
        """Return the number of peers to which a socket is open."""
        return len(self._sockets)

    def close(self) -> None:
        """Close all sockets; messages that are still in send buffers are lost."""
        if self._idle_call.active():
            self._idle_call.cancel()
        self._reactor.removeReader(self._receiver)
        for peer_id in list(self._sockets):
            self._close_socket(peer_id)
        self._listener.close()

    def _receive(self, data: bytes) -> None:
        """Deliver the message of a frame, or drop the frame and report the reason.

        Frames of an earlier incarnation of the sender than the newest one seen are dropped.
        """
        frame = read_frame(data)
        match frame:
            case FrameDropReason():
                self._callbacks.on_dropped(frame.value)
                return
            case Frame(sender_id=sender_id, incarnation=incarnation):
                if incarnation < self._incarnations.get(sender_id, 0):
                    self._callbacks.on_dropped(FrameDropReason.OLD_INCARNATION.value)
                    return
        try:
            message = self._decode(frame.body)
        except CodecError:
            self._callbacks.on_dropped(FrameDropReason.UNKNOWN_MESSAGE.value)
            return
        except Exception:
            # Twisted would stop reading from a socket whose reader raises an exception.
            self._callbacks.on_dropped(FrameDropReason.DECODER_FAILED.value)
            return
        if sender_id in self._addresses:
            self._incarnations[sender_id] = incarnation
        self._callbacks.on_received(len(data))
        self._deliver(sender_id, message)

    def _socket_to(self, peer_id: str) -> pynng.Push0 | None:
        """Return the socket to a peer, opened if necessary; None if its address is unknown."""
        self._recently_used.add(peer_id)
        socket = self._sockets.get(peer_id)
        address = self._addresses.get(peer_id)
        if socket is None and address is not None:
            socket = pynng.Push0(
                send_buffer_size=SEND_BUFFER_MESSAGES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
                tls_config=self._dialer_tls,
            )
            try:
                socket.dial(f"{self._scheme}://{address.host}:{address.port}", block=False)
            except pynng.NNGException:
                socket.close()
                self._callbacks.on_dropped("unusable_address")
                return None
            self._sockets[peer_id] = socket
        return socket

    def _close_socket(self, peer_id: str) -> None:
        socket = self._sockets.pop(peer_id, None)
        if socket is not None:
            socket.close()

    def _close_idle(self) -> None:
        """Close the sockets to peers to which nothing was sent since the last check."""
        for peer_id in [peer_id for peer_id in self._sockets if peer_id not in self._recently_used]:
            self._close_socket(peer_id)
        self._recently_used.clear()
        self._idle_call = self._reactor.callLater(IDLE_CHECK_INTERVAL_S, self._close_idle)


def _port_of(listener: pynng.Listener) -> int:
    # The port of a socket address is in network byte order.
    return ntohs(listener.local_address.port)
