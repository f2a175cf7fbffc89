"""Puts one entry instance together from its settings."""

from collections.abc import Callable
from functools import partial
from typing import Any

from savoryarch import model
from savoryarch.api import Access, make_operator_app, make_tls_options
from savoryarch.codec import make_message_codec
from savoryarch.entry._caller_site import CallerSite
from savoryarch.entry._instance import EntryInstance
from savoryarch.entry._instance_list import InstanceListClient
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._no_platform import (
    AbsentInstanceList,
    AbsentStore,
    DiscoveredInstanceList,
)
from savoryarch.peers import PeerCounts, PeerTls, PeerTransport
from savoryarch.platform import (
    PlatformDialect,
    decode_store_reply,
    encode_store_call,
    make_entry_codec,
)
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
    state = make_tier_state(
        _tier_settings(settings, incarnation, peers.port),
        RECORD_CODEC,
        make_entry_codec(settings.discovery.instances_prefix),
    )
    dialect = PlatformDialect() if settings.forwarding.enabled else None
    instance = EntryInstance(state, reactor, make_system_clock(), metrics, exit_process, dialect)
    instance.peers = peers
    instance.store = _make_store(settings, reactor)
    list_url = settings.platform.instance_list_url
    if settings.discovery.enabled:
        instance.instance_list = DiscoveredInstanceList(instance)
    else:
        instance.instance_list = (
            InstanceListClient(list_url, reactor) if list_url else AbsentInstanceList()
        )
    return instance


def _make_store(settings: Settings, reactor: Any) -> StoreClient | AbsentStore:
    url = settings.platform.store_url
    if not url:
        return AbsentStore()
    return StoreClient(StoreSettings(url=url), reactor, encode_store_call, decode_store_reply)


def listen_operators(settings: OperatorsSettings, instance: EntryInstance, reactor: Any) -> Any:
    """Open the operators' address, with TLS if the settings name a certificate."""
    access = Access(settings.read_token_hashes, settings.write_token_hashes)
    app = make_operator_app(instance, access)
    site = CallerSite(app.resource(), reactor, instance.count_refusal)
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
        notices=settings.notices,
        forwarding=settings.forwarding,
        discovery=settings.discovery,
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
