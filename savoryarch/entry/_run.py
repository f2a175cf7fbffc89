"""Runs one entry instance as a process."""

import signal
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import DeferredList

from savoryarch import model
from savoryarch.api import Access, make_operator_app, make_tls_options
from savoryarch.codec import make_message_codec
from savoryarch.entry._caller_front import make_caller_app
from savoryarch.entry._caller_site import CallerSite
from savoryarch.entry._instance import EntryInstance
from savoryarch.entry._instance_list import InstanceListClient
from savoryarch.entry._log import log_event, start_log
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._no_platform import AbsentInstanceList, AbsentStore
from savoryarch.model import Started, StopAsked
from savoryarch.peers import PeerCounts, PeerTls, PeerTransport
from savoryarch.resources import RECORD_CODEC
from savoryarch.settings import OperatorsSettings, Settings
from savoryarch.store import StoreClient, StoreSettings
from savoryarch.tier import SUBJECT_MESSAGES, TierSettings, make_tier_state
from savoryarch.utils import make_system_clock, make_wall_clock

DRAIN_TIMEOUT_S = 5.0  # for callers that read their last reply slowly

reactor: Any = default_reactor


def run_entry(settings: Settings) -> int:
    """Run an entry instance until its shutdown is over.

    Parameters
    ----------
    settings : Settings
        The checked settings.

    Returns
    -------
    exit_code : int
        0 if no request was cut.

    Notes
    -----
    Writes one line ``ready callers=HOST:PORT operators=HOST:PORT peers=HOST:PORT`` to standard
    output once it listens.
    """
    exit_codes: list[int] = []
    sites: list[CallerSite] = []

    def exit_process(exit_code: int) -> None:
        exit_codes.append(exit_code)
        # The last replies are still being written when the decision to exit is carried out.
        reactor.callLater(0, _drain_and_stop, sites)

    start_log(settings.log.level.value, settings.instance.instance_id)
    instance = _make_instance(settings, exit_process)
    sites.append(CallerSite(make_caller_app(instance).resource(), reactor, instance.count_refusal))
    ports = _listen(settings, instance, sites[0])
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: reactor.callFromThread(instance.feed, StopAsked()))
    reactor.callWhenRunning(_start, settings, instance, ports)
    reactor.run(installSignalHandlers=False)
    return exit_codes[0] if exit_codes else 1


def _make_instance(settings: Settings, exit_process: Any) -> EntryInstance:
    incarnation = int(make_wall_clock().now_ms())
    clock = make_system_clock()
    metrics = Metrics()

    def hear(peer_id: str, message: object) -> None:
        instance.hear(peer_id, message)

    peers = _make_peers(settings, incarnation, hear, metrics)
    tier_settings = TierSettings(
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
        peer_host=settings.peers.host,
        peer_port=peers.port,
    )
    state = make_tier_state(tier_settings, RECORD_CODEC)
    instance = EntryInstance(state, reactor, clock, metrics, exit_process)
    instance.peers = peers
    platform = settings.platform
    instance.store = (
        StoreClient(StoreSettings(url=platform.store_url), reactor)
        if platform.store_url
        else AbsentStore()
    )
    instance.instance_list = (
        InstanceListClient(platform.instance_list_url, reactor)
        if platform.instance_list_url
        else AbsentInstanceList()
    )
    return instance


def _make_peers(
    settings: Settings,
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
        _peer_tls(settings),
    )


def _peer_tls(settings: Settings) -> PeerTls | None:
    peers = settings.peers
    if not peers.tls_certificate_file:
        return None
    return PeerTls(peers.tls_certificate_file, peers.tls_authority_file, peers.tls_server_name)


def _drain_and_stop(sites: list[CallerSite]) -> None:
    drained = DeferredList([site.drain() for site in sites])
    drained.addTimeout(DRAIN_TIMEOUT_S, reactor).addBoth(lambda _: reactor.stop())


def _listen(settings: Settings, instance: EntryInstance, callers: CallerSite) -> dict[str, Any]:
    return {
        "callers": reactor.listenTCP(
            settings.callers.port, callers, interface=settings.callers.host
        ),
        "operators": _listen_operators(settings.operators, instance),
    }


def _listen_operators(settings: OperatorsSettings, instance: EntryInstance) -> Any:
    access = Access(settings.read_token_hashes, settings.write_token_hashes)
    app = make_operator_app(instance, access)
    site = CallerSite(app.resource(), reactor, instance.count_refusal)
    if not settings.tls_certificate_file:
        return reactor.listenTCP(settings.port, site, interface=settings.host)
    options = make_tls_options(settings.tls_certificate_file, settings.tls_key_file)
    return reactor.listenSSL(settings.port, site, options, interface=settings.host)


def _start(settings: Settings, instance: EntryInstance, ports: dict[str, Any]) -> None:
    tier = instance.state.settings
    instance.feed(Started(tier.instance_id, tier.availability_zone, tier.incarnation))
    addresses = {
        name: f"{port.getHost().host}:{port.getHost().port}" for name, port in ports.items()
    }
    addresses["peers"] = f"{tier.peer_host}:{tier.peer_port}"
    log_event("started", tuple(addresses.items()))
    print("ready " + " ".join(f"{name}={at}" for name, at in addresses.items()), flush=True)
