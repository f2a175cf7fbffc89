"""Runs one entry instance as a process, along the chart ``process.ini``."""

import gc
import signal
from collections.abc import Callable
from importlib import import_module
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import DeferredList, TimeoutError
from twisted.internet.error import CannotListenError
from twisted.python.failure import Failure

from savoryarch.charts import load_chart, make_machine
from savoryarch.entry._log import log_error, log_event, start_log
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._no_platform import UnopenedPeers
from savoryarch.entry._reload import SettingsFile
from savoryarch.entry._wiring import make_instance
from savoryarch.front import ClientDialect, Front, MetricsPage, ReadinessPage
from savoryarch.model import (
    Started,
    StopRequested,
)
from savoryarch.model.forwarding import (
    RegisteredInstance,
)
from savoryarch.platform import decode_request, encode_answer
from savoryarch.settings import Settings
from savoryarch.shutdown import drain_time_ms
from savoryarch.utils import make_monotonic_clock, set_reactor_clock

NO_DECISION_EXIT_CODE = 1
OPEN_REST_DELAY_S = 1.0  # clients that came back after a restart are served first
COLLECTION_THRESHOLDS = (20_000, 10, 50)  # allocations, then collections of younger objects
_MS_PER_S = 1000.0
FRONT_BACKLOG = 1024  # connections that wait to be accepted after a start

reactor: Any = default_reactor


def run_entry(settings: Settings, settings_path: str = "") -> int:
    """Run an entry instance until its shutdown is over.

    Parameters
    ----------
    settings : Settings
        The checked settings.
    settings_path : str, optional
        Their file, which is read again when it changes.

    Returns
    -------
    exit_code : int
        0 if no request was cut.

    Notes
    -----
    Writes one line ``ready callers=HOST:PORT operators=HOST:PORT peers=HOST:PORT`` to standard
    output once it listens; addresses that are not served are left out.
    """
    set_reactor_clock(reactor, make_monotonic_clock())
    log = settings.log
    start_log(log.level.value, settings.instance.instance_id, log.stream.value, reactor)
    spare_collections()
    return EntryProcess(settings, settings_path).run()


def spare_collections() -> None:
    """Keep collections short: what is loaded stays, and frozen states hold no cycles."""
    gc.freeze()
    gc.set_threshold(*COLLECTION_THRESHOLDS)
    gc.enable()


class EntryProcess:
    """The process around an entry instance.

    Parameters
    ----------
    settings : Settings
        The checked settings.
    settings_path : str
        Their file.
    """

    def __init__(self, settings: Settings, settings_path: str) -> None:
        self._settings = settings
        self._exit_code = NO_DECISION_EXIT_CODE
        self._clock = make_monotonic_clock()
        self._stopped_at_ms = float("inf")
        self._interrupted = False
        self._life = make_machine(load_chart("process", ACTIONS), self._perform)
        self._ports: dict[str, Any] = {}
        self._site: Any = None
        self._instance = make_instance(settings, reactor, self._exit, self._open_peers)
        self._settings_file = SettingsFile(settings_path, settings, self._instance.feed, reactor)
        self._front = Front(self._instance, reactor, ClientDialect(decode_request, encode_answer))
        if settings.forwarding.enabled:
            self._instance.when_ready = self._open_front
            self._listen(
                "ready", settings.front.ready_address, ReadinessPage(self._instance.is_ready)
            )
        else:
            self._open_rest()

    def run(self) -> int:
        """Run until the shutdown is over; returns the exit code."""
        signal.signal(signal.SIGTERM, self._ask_to_stop)
        signal.signal(signal.SIGINT, self._ask_from_keyboard)
        signal.signal(signal.SIGHUP, self._ask_to_reload)
        reactor.callWhenRunning(self._life.listening)
        reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _listen(self, name: str, address: str, factory: Any) -> None:
        host, _, port = address.rpartition(":")
        self._ports[name] = reactor.listenTCP(
            int(port), factory, backlog=FRONT_BACKLOG, interface=host
        )

    def _open_front(self) -> None:
        """Take clients' requests from now on: there are routes and targets to serve them."""
        if "front" in self._ports:
            return
        address = self._settings.front.address
        try:
            self._listen("front", address, self._front)
        except CannotListenError as error:
            # Whoever starts this process again may find the address free; without it nobody is
            # served, and readiness would say otherwise.
            log_error("cannot_listen", (("address", address), ("detail", str(error))))
            reactor.stop()
            return
        log_event("front_open", (("address", address),))
        reactor.callLater(OPEN_REST_DELAY_S, self._open_rest)

    def _open_rest(self) -> None:
        """Open the addresses for callers, operators and peers, and that of the metrics."""
        settings = self._settings
        if settings.callers.enabled or settings.operators.enabled:
            self._open_listeners()
        self._instance.metrics.start()
        if settings.metrics.address:
            self._listen(
                "metrics", settings.metrics.address, MetricsPage(self._instance.render_metrics)
            )
        if isinstance(self._instance.peers, UnopenedPeers):
            self._replace_peers(self._instance.peers)

    def _open_listeners(self) -> None:
        settings = self._settings
        listeners = import_module("savoryarch.entry._listeners")
        if settings.callers.enabled:
            self._site = listeners.make_caller_site(self._instance, reactor)
            self._ports["callers"] = listeners.listen_callers(settings.callers, self._site, reactor)
        if settings.operators.enabled:
            self._ports["operators"] = listeners.listen_operators(
                settings.operators, self._instance, reactor
            )

    def _open_peers(
        self, incarnation: int, hear: Callable[[str, object], None], metrics: Metrics
    ) -> Any:
        def open_now() -> Any:
            address = import_module("savoryarch.entry._peer_address")
            return address.open_peers(self._settings, reactor, incarnation, hear, metrics)

        if not self._settings.forwarding.enabled:
            return open_now()
        self._open_peers_now = open_now
        return UnopenedPeers(self._settings.peers.port, metrics)

    def _replace_peers(self, unopened: UnopenedPeers) -> None:
        tier = self._instance.state.settings
        self._instance.peers = self._open_peers_now()
        for peer_id, (host, port) in unopened.wanted.items():
            self._instance.peers.set_peer_address(peer_id, host, port)
        self._instance.feed(
            RegisteredInstance(
                tier.instance_id, tier.availability_zone, tier.peer_host, tier.peer_port
            )
        )

    def _ask_to_stop(self, *_: object) -> None:
        # A signal handler runs between any two steps of the loop's code, so it only wakes the loop.
        reactor.callFromThread(self._stop)

    def _ask_to_reload(self, *_: object) -> None:
        reactor.callFromThread(self._settings_file.reload_if_changed)

    def _ask_from_keyboard(self, *_: object) -> None:
        # A repeated SIGTERM changes nothing, but whoever types an interrupt twice means it.
        urgent, self._interrupted = self._interrupted, True
        reactor.callFromThread(self._stop, urgent)

    def _stop(self, urgent: bool = False) -> None:
        self._stopped_at_ms = min(self._stopped_at_ms, self._clock.now_ms())
        self._front.close_connections()
        self._instance.feed(StopRequested(urgent))

    def _exit(self, exit_code: int) -> None:
        self._exit_code = exit_code
        # The last replies are still being written when the exit is decided.
        reactor.callLater(0, self._life.exit_decided)

    def _perform(self, action: str) -> None:
        match action:
            case "announce":
                self._announce()
            case "close_connections":
                draining = [self._front.drain()]
                if self._site is not None:
                    draining.append(self._site.drain())
                since_stop_ms = self._clock.now_ms() - self._stopped_at_ms
                drain_ms = drain_time_ms(self._settings.shutdown, since_stop_ms)
                drained = DeferredList(draining).addTimeout(drain_ms / _MS_PER_S, reactor)
                drained.addErrback(self._log_left)
                drained.addBoth(lambda _: reactor.callLater(0, self._life.drained))
            case "stop_loop":
                reactor.stop()

    def _log_left(self, failure: Failure) -> None:
        """Tell which connections the process does not wait for any longer."""
        failure.trap(TimeoutError)
        log_event("connections_left", (("front", self._front.open_states()),))

    def _announce(self) -> None:
        tier = self._instance.state.settings
        self._instance.feed(Started(tier.instance_id, tier.availability_zone, tier.incarnation))
        self._settings_file.watch()
        hosts = {name: port.getHost() for name, port in self._ports.items()}
        addresses = {name: f"{host.host}:{host.port}" for name, host in hosts.items()}
        addresses["peers"] = f"{tier.peer_host}:{tier.peer_port}"
        log_event("started", tuple(addresses.items()))
        print("ready " + " ".join(f"{name}={at}" for name, at in addresses.items()), flush=True)


ACTIONS = frozenset({"announce", "close_connections", "stop_loop"})
