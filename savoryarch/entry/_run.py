"""Runs one entry instance as a process, as the chart ``process.ini`` describes."""

import gc
import signal
from collections.abc import Callable
from functools import partial
from importlib import import_module
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import DeferredList, TimeoutError
from twisted.python.failure import Failure

from savoryarch.charts import load_chart, make_machine
from savoryarch.entry._fallbacks import UnopenedPeers
from savoryarch.entry._listen_retry import ListenRetry
from savoryarch.entry._log import log_event, start_logging, write_output
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._outgoing import resolve_literals_directly, share_local_addresses
from savoryarch.entry._process_report import ProcessReport
from savoryarch.entry._reload import SettingsFile
from savoryarch.entry._reserved_address import ReservedAddress
from savoryarch.entry._wiring import make_instance
from savoryarch.front import (
    ClientDialect,
    Front,
    MetricsPage,
    ReadinessPage,
    make_client_memory,
)
from savoryarch.lifetime import StartSteps
from savoryarch.model import (
    Exit,
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

OTHER_LISTENERS_DELAY_S = 1.0  # clients that reconnect after a restart are served first
GC_THRESHOLDS = (20_000, 10, 50)  # allocations, then collections of younger generations
_MS_PER_S = 1000.0
LISTEN_BACKLOG = 1024  # many clients connect at the same time after a start

reactor: Any = default_reactor


def run_entry(settings: Settings, settings_path: str = "", steps: StartSteps | None = None) -> int:
    """Run an entry instance until its shutdown has finished.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    settings_path : str, optional
        Path of the settings file, which is reloaded when it changes. Without it, the settings
        stay as they are.
    steps : StartSteps or None, optional
        The steps of the start that ended before this call.

    Returns
    -------
    exit_code : int
        0 if every request was finished.

    Notes
    -----
    Writes one line ``ready callers=HOST:PORT operators=HOST:PORT peers=HOST:PORT`` to standard
    output when the reactor runs. Each other address that is open then is added by name; callers
    and operators are left out if their addresses are not open.
    """
    set_reactor_clock(reactor, make_monotonic_clock())
    share_local_addresses(reactor)
    resolve_literals_directly(reactor)
    log = settings.log
    start_logging(log.level.value, settings.instance.instance_id, log.stream.value, reactor)
    report = ProcessReport(settings, settings_path, steps)
    report.log_started()
    configure_garbage_collection()
    EntryProcess(settings, settings_path, report).run()
    return report.log_ending()


def configure_garbage_collection() -> None:
    """Make garbage collections short and rare.

    Objects that exist now are excluded, because they live as long as the process. States are
    frozen data classes without reference cycles, so few objects need a collection.
    """
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    gc.enable()


class EntryProcess:
    """An entry instance with its listeners, signal handlers and settings file.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    settings_path : str
        Path of the settings file; empty if it is not to be reloaded.
    report : ProcessReport
        Logs the steps of the start and the end.
    """

    def __init__(self, settings: Settings, settings_path: str, report: ProcessReport) -> None:
        self._settings = settings
        self._report = report
        self._clock = make_monotonic_clock()
        self._stopped_at_ms = float("inf")
        self._interrupted = False
        self._lifecycle = make_machine(load_chart("process", ACTIONS), self._perform)
        self._ports: dict[str, Any] = {}
        self._listen_retry = ListenRetry(reactor)
        self._reserved: dict[str, ReservedAddress] = {}
        self._opening_front = False
        self._caller_site: Any = None
        self._instance = make_instance(settings, reactor, self._exit, self._open_peers)
        self._instance.on_store_reply = partial(report.end_step, "store_replied")
        self._instance.update_process_gauges = report.update_gauges
        self._settings_file = SettingsFile(settings_path, settings, self._instance.feed, reactor)
        self._front = Front(
            self._instance,
            reactor,
            ClientDialect(decode_request, encode_answer),
            make_client_memory(settings.instance.memory_mb),
        )
        self._reserve_addresses()
        if settings.forwarding.enabled:
            self._instance.on_ready = self._open_front
            self._listen("ready", ReadinessPage(self._is_ready))
        else:
            self._open_other_listeners()

    def run(self) -> None:
        """Run until the shutdown has finished."""
        signal.signal(signal.SIGTERM, self._handle_sigterm)
        signal.signal(signal.SIGINT, self._handle_sigint)
        signal.signal(signal.SIGHUP, self._handle_sighup)
        reactor.callWhenRunning(self._lifecycle.listening)
        reactor.run(installSignalHandlers=False)
        # The interpreter removes its handlers while it ends, and the default action of a late
        # signal would end the process with a failure. Ignored signals stay ignored.
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _reserve_addresses(self) -> None:
        """Reserve the addresses that are opened later; the others are opened at once."""
        settings = self._settings
        addresses = {"metrics": settings.metrics.address}
        if settings.forwarding.enabled:
            addresses |= {
                "ready": settings.front.ready_address,
                "front": settings.front.address,
                "peers": f"{settings.peers.host}:{settings.peers.port}",
            }
        self._reserved = {
            name: ReservedAddress(address) for name, address in addresses.items() if address
        }

    def _listen(self, name: str, factory: Any) -> None:
        reserved = self._reserved[name]

        def listen() -> None:
            port = self._ports[name] = reserved.listen(reactor, factory, LISTEN_BACKLOG)
            self._report.end_step(f"{name}_open")
            if name == "front":
                host = port.getHost()
                log_event("front_open", (("address", f"{host.host}:{host.port}"),))
                reactor.callLater(OTHER_LISTENERS_DELAY_S, self._open_other_listeners)

        self._listen_retry.open(f"{name}={reserved}", listen)

    def _is_ready(self) -> bool:
        """Return whether clients can be served: the instance is ready and its front is open."""
        return self._instance.is_ready() and "front" in self._ports

    def _open_front(self) -> None:
        """Accept clients' connections, because routes and targets to serve them are known."""
        if not self._opening_front:
            self._opening_front = True
            self._report.end_step("targets_known")
            self._listen("front", self._front)

    def _open_other_listeners(self) -> None:
        """Open the addresses for callers, operators, metrics and peers.

        An instance that stops opens none: loading the modules would hold up its last answers.
        """
        if self._is_stopping():
            return
        settings = self._settings
        if settings.callers.enabled or settings.operators.enabled:
            self._open_listeners()
        self._instance.metrics.start()
        if settings.metrics.address:
            self._listen("metrics", MetricsPage(self._instance.render_metrics))
        if isinstance(self._instance.peers, UnopenedPeers):
            unopened = self._instance.peers
            self._listen_retry.open("peers", lambda: self._replace_peers(unopened))

    def _is_stopping(self) -> bool:
        return self._stopped_at_ms < float("inf")

    def _open_listeners(self) -> None:
        settings = self._settings
        listeners = import_module("savoryarch.entry._listeners")
        if settings.callers.enabled:
            site = self._caller_site = listeners.make_caller_site(self._instance, reactor)
            self._open_port("callers", partial(listeners.listen_callers, settings.callers, site))
        if settings.operators.enabled:
            self._open_port(
                "operators",
                partial(listeners.listen_operators, settings.operators, self._instance),
            )

    def _open_port(self, name: str, listen: Callable[[Any], Any]) -> None:
        """Open an address with a function that returns the listening port."""

        def open_now() -> None:
            self._ports[name] = listen(reactor)

        self._listen_retry.open(name, open_now)

    def _open_peers(
        self, incarnation: int, on_message: Callable[[str, object], None], metrics: Metrics
    ) -> Any:
        """Open the address for peers, or return its replacement if clients are served first."""

        def open_now() -> Any:
            address = import_module("savoryarch.entry._peer_address")
            return address.open_peers(self._settings, reactor, incarnation, on_message, metrics)

        if not self._settings.forwarding.enabled:
            return open_now()
        self._open_peers_now = open_now
        return UnopenedPeers(self._settings.peers.port, metrics)

    def _replace_peers(self, unopened: UnopenedPeers) -> None:
        """Open the address for peers and register the instance, which they can reach now."""
        if self._is_stopping():
            return
        tier_settings = self._instance.state.settings
        self._reserved["peers"].release()
        self._instance.peers = self._open_peers_now()
        self._report.end_step("peers_open")
        for peer_id, (host, port) in unopened.addresses.items():
            self._instance.peers.set_peer_address(peer_id, host, port)
        self._instance.feed(
            RegisteredInstance(
                tier_settings.instance_id,
                tier_settings.availability_zone,
                tier_settings.peer_host,
                tier_settings.peer_port,
            )
        )

    def _handle_sigterm(self, number: int, _: object) -> None:
        # A signal handler interrupts code of the loop at any point, so it only schedules the stop.
        self._report.record_signal(number)
        reactor.callFromThread(self._stop)

    def _handle_sighup(self, *_: object) -> None:
        reactor.callFromThread(self._settings_file.reload_if_changed)

    def _handle_sigint(self, number: int, _: object) -> None:
        self._report.record_signal(number)
        # A second interrupt from the keyboard is deliberate and makes the stop urgent, whereas
        # supervisors may repeat SIGTERM.
        urgent, self._interrupted = self._interrupted, True
        reactor.callFromThread(self._stop, urgent)

    def _stop(self, urgent: bool = False) -> None:
        # The time for draining counts from the first request to stop.
        self._stopped_at_ms = min(self._stopped_at_ms, self._clock.now_ms())
        self._front.disable_keep_alive()
        self._instance.feed(StopRequested(urgent))

    def _exit(self, decided: Exit) -> None:
        self._report.record_exit(decided)
        # The last replies are still being written when the exit is decided, so the connections
        # are closed in the next iteration of the loop.
        reactor.callLater(0, self._lifecycle.exit_decided)

    def _perform(self, action: str) -> None:
        match action:
            case "start_instance":
                self._start_instance()
            case "close_connections":
                draining = [self._front.drain()]
                if self._caller_site is not None:
                    draining.append(self._caller_site.drain())
                since_stop_ms = self._clock.now_ms() - self._stopped_at_ms
                drain_ms = drain_time_ms(self._settings.shutdown, since_stop_ms)
                drained = DeferredList(draining).addTimeout(drain_ms / _MS_PER_S, reactor)
                drained.addErrback(self._log_open_connections)
                drained.addBoth(lambda _: reactor.callLater(0, self._lifecycle.drained))
            case "stop_loop":
                reactor.stop()

    def _log_open_connections(self, failure: Failure) -> None:
        """Log the connections that are still open when the time for draining has passed."""
        failure.trap(TimeoutError)
        log_event("connections_left", (("front", self._front.format_open_states()),))

    def _start_instance(self) -> None:
        tier_settings = self._instance.state.settings
        self._instance.feed(
            Started(
                tier_settings.instance_id,
                tier_settings.availability_zone,
                tier_settings.incarnation,
            )
        )
        self._settings_file.watch()
        hosts = {name: port.getHost() for name, port in self._ports.items()}
        addresses = {name: f"{host.host}:{host.port}" for name, host in hosts.items()}
        addresses["peers"] = f"{tier_settings.peer_host}:{tier_settings.peer_port}"
        log_event("started", tuple(addresses.items()))
        words = (f"{name}={address}" for name, address in addresses.items())
        write_output("ready " + " ".join(words))


ACTIONS = frozenset({"start_instance", "close_connections", "stop_loop"})
