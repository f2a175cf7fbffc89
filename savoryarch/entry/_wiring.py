"""Makes an entry instance from its settings."""

from collections.abc import Callable
from typing import Any

from savoryarch.entry._fallbacks import (
    AbsentInstanceList,
    AbsentStore,
    DiscoveredInstanceList,
)
from savoryarch.entry._instance import EntryInstance
from savoryarch.entry._instance_list import InstanceListClient
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._reply_memory import make_reply_memory
from savoryarch.model import Exit
from savoryarch.platform import (
    PlatformDialect,
    decode_store_reply,
    encode_store_call,
    make_entry_codec,
)
from savoryarch.resources import RECORD_CODEC
from savoryarch.settings import Settings
from savoryarch.store import StoreClient, StoreSettings
from savoryarch.tier import TierSettings, make_tier_state
from savoryarch.utils import make_monotonic_clock, make_wall_clock

OpenPeers = Callable[[int, Callable[[str, object], None], Metrics], Any]


def make_instance(
    settings: Settings, reactor: Any, exit_process: Callable[[Exit], None], open_peers: OpenPeers
) -> EntryInstance:
    """Make an entry instance with its clients of the store, the instance list and the peers.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    reactor : object
        Twisted's reactor.
    exit_process : callable
        Called with the effect `Exit` when the shutdown has finished.
    open_peers : callable
        Called with the incarnation of this instance, the handler of peers' messages and the
        metrics; returns a `PeerTransport` or its replacement.

    Returns
    -------
    instance : EntryInstance
        The instance. Its incarnation is the wall-clock time of this call in Unix milliseconds.
    """
    incarnation = int(make_wall_clock().now_ms())
    metrics = Metrics()

    def on_message(peer_id: str, message: object) -> None:
        instance.handle_peer_message(peer_id, message)

    peers = open_peers(incarnation, on_message, metrics)
    state = make_tier_state(
        _tier_settings(settings, incarnation, peers.port),
        RECORD_CODEC,
        make_entry_codec(settings.discovery.instances_prefix),
    )
    dialect = PlatformDialect() if settings.forwarding.enabled else None
    reply_memory = make_reply_memory(settings.instance.memory_mb)
    instance = EntryInstance(
        state, reactor, make_monotonic_clock(), metrics, exit_process, dialect, reply_memory
    )
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
