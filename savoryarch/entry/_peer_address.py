"""Opens the address at which this instance exchanges messages with the other instances.

This module is imported on demand, because its libraries take long to load: an instance that
forwards requests begins to serve clients first.
"""

from collections.abc import Callable
from functools import partial
from typing import Any

from pynng.exceptions import NNGException
from twisted.internet.error import CannotListenError

from savoryarch import model
from savoryarch.codec import make_message_codec
from savoryarch.entry._metrics import Metrics
from savoryarch.peers import MAX_FRAME_BYTES, PeerTls, PeerTransport, TransportCallbacks
from savoryarch.settings import PeersSettings, Settings
from savoryarch.tier import COMPONENT_MESSAGES

# The largest messages between instances that only forward requests are parts of a configuration,
# of 32 KiB. Batches of claims may be larger.
FORWARDING_FRAME_BYTES = 64 * 1024


def open_peers(
    settings: Settings,
    reactor: Any,
    incarnation: int,
    on_message: Callable[[str, object], None],
    metrics: Metrics,
) -> PeerTransport:
    """Open the address at which peers, the other instances, reach this one.

    Parameters
    ----------
    settings : Settings
        Settings of the instance; the sections ``instance`` and ``peers`` are used.
    reactor : object
        Twisted's reactor.
    incarnation : int
        Incarnation of this instance, a number that differs for each of its starts.
    on_message : callable
        Called with the peer's id and each message that arrives.
    metrics : Metrics
        Counts bytes that are sent and received, and messages that are dropped.

    Returns
    -------
    transport : PeerTransport
        The open transport.

    Raises
    ------
    CannotListenError
        If the address cannot be opened.
    """
    codec = make_message_codec(model, *COMPONENT_MESSAGES)
    peers = settings.peers
    try:
        return PeerTransport(
            reactor,
            peers.host,
            peers.port,
            settings.instance.instance_id,
            incarnation,
            on_message,
            codec.encode_frame,
            codec.decode_frame,
            _make_callbacks(metrics),
            _peer_tls(peers),
            _max_frame_bytes(settings),
        )
    except NNGException as error:
        raise CannotListenError(peers.host, peers.port, error) from error


def _make_callbacks(metrics: Metrics) -> TransportCallbacks:
    return TransportCallbacks(
        on_sent=partial(metrics.count, "peer_bytes", "sent"),
        on_received=partial(metrics.count, "peer_bytes", "received"),
        on_dropped=partial(metrics.count, "peer_drops"),
    )


def _max_frame_bytes(settings: Settings) -> int:
    only_forwards = settings.forwarding.enabled and not settings.callers.enabled
    return FORWARDING_FRAME_BYTES if only_forwards else MAX_FRAME_BYTES


def _peer_tls(settings: PeersSettings) -> PeerTls | None:
    if not settings.tls_certificate_file:
        return None
    return PeerTls(
        settings.tls_certificate_file, settings.tls_authority_file, settings.tls_server_name
    )
