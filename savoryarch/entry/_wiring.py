"""Puts one entry instance together from its settings."""

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.web.server import Site

from savoryarch import model
from savoryarch.api import Access, make_operator_app, make_tls_options
from savoryarch.codec import make_message_codec
from savoryarch.entry._instance import EntryInstance
from savoryarch.entry._instance_list import InstanceListClient
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._no_platform import AbsentInstanceList, AbsentStore
from savoryarch.peers import PeerCounts, PeerTls, PeerTransport
from savoryarch.resources import RECORD_CODEC
from savoryarch.settings import OperatorsSettings, PeersSettings, Settings
from savoryarch.store import StoreClient, StoreSettings
from savoryarch.tier import SUBJECT_MESSAGES, TierSettings, make_tier_state
from savoryarch.utils import make_system_clock, make_wall_clock


def make_instance(
    settings: Settings, reactor: Any, exit_process: Callable[[int], None]
) -> EntryInstance:
    """Make an entry instance whose peer address is open already.

    Parameters
    ----------
    settings : Settings
        The checked settings.
    reactor : object
        Twisted's reactor.
    exit_process : callable
        Called with the exit code when the shutdown is over.
    """
    incarnation = int(make_wall_clock().now_ms())
    metrics = Metrics()

    def hear(peer_id: str, message: object) -> None:
        instance.hear(peer_id, message)

    peers = _make_peers(settings, reactor, incarnation, hear, metrics)
    state = make_tier_state(_tier_settings(settings, incarnation, peers.port), RECORD_CODEC)
    instance = EntryInstance(state, reactor, make_system_clock(), metrics, exit_process)
    instance.peers = peers
    store_url, list_url = settings.platform.store_url, settings.platform.instance_list_url
    instance.store = (
        StoreClient(StoreSettings(url=store_url), reactor) if store_url else AbsentStore()
    )
    instance.instance_list = (
        InstanceListClient(list_url, reactor) if list_url else AbsentInstanceList()
    )
    return instance


def listen_operators(settings: OperatorsSettings, instance: EntryInstance, reactor: Any) -> Any:
    """Open the operators' address, with TLS if the settings name a certificate."""
    access = Access(settings.read_token_hashes, settings.write_token_hashes)
    site = Site(make_operator_app(instance, access).resource())
    site.displayTracebacks = False
    if not settings.tls_certificate_file:
        return reactor.listenTCP(settings.port, site, interface=settings.host)
    options = make_tls_options(settings.tls_certificate_file, settings.tls_key_file)
    return reactor.listenSSL(settings.port, site, options, interface=settings.host)


def _tier_settings(settings: Settings, incarnation: int, peer_port: int) -> TierSettings:
    return TierSettings(
        instance_id=settings.instance.instance_id,
        availability_zone=settings.instance.availability_zone,
        incarnation=incarnation,
        targets=settings.targets,
        search=settings.search,
        admission=settings.admission,
        quarantine=settings.quarantine,
        orders=settings.orders,
        configuration=settings.configuration,
        membership=settings.membership,
        shutdown=settings.shutdown,
        peer_host=settings.peers.host,
        peer_port=peer_port,
    )


def _make_peers(
    settings: Settings,
    reactor: Any,
    incarnation: int,
    hear: Callable[[str, object], None],
    metrics: Metrics,
) -> PeerTransport:
    codec = make_message_codec(model, *SUBJECT_MESSAGES)
    counts = PeerCounts(
        sent=partial(metrics.count, "peer_bytes", "sent"),
        received=partial(metrics.count, "peer_bytes", "received"),
        dropped=partial(metrics.count, "peer_drops"),
    )
    return PeerTransport(
        reactor,
        settings.peers.host,
        settings.peers.port,
        settings.instance.instance_id,
        incarnation,
        hear,
        codec.encode_frame,
        codec.decode_frame,
        counts,
        _peer_tls(settings.peers),
    )


def _peer_tls(settings: PeersSettings) -> PeerTls | None:
    if not settings.tls_certificate_file:
        return None
    return PeerTls(
        settings.tls_certificate_file, settings.tls_authority_file, settings.tls_server_name
    )
