"""Runs one entry instance as a process, along the chart ``process.ini``."""

import signal
from typing import Any

from twisted.internet import reactor as default_reactor

from savoryarch.charts import load_chart, make_machine
from savoryarch.entry._caller_front import make_caller_app
from savoryarch.entry._caller_site import CallerSite
from savoryarch.entry._log import log_event, start_log
from savoryarch.entry._reload import SettingsFile
from savoryarch.entry._wiring import listen_operators, make_instance
from savoryarch.front import ClientDialect, Front, Readiness
from savoryarch.model import (
    Started,
    StopAsked,
)
from savoryarch.model.forwarding import (
    RegisteredInstance,
)
from savoryarch.platform import read_request, write_outcome
from savoryarch.settings import Settings

DRAIN_TIMEOUT_S = 5.0  # for callers that read their last reply slowly
NO_DECISION_EXIT_CODE = 1
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
    output once it listens.
    """
    start_log(settings.log.level.value, settings.instance.instance_id)
    return EntryProcess(settings, settings_path).run()


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
        self._exit_code = NO_DECISION_EXIT_CODE
        self._life = make_machine(load_chart("process", ACTIONS), self._perform)
        self._instance = make_instance(settings, reactor, self._exit)
        self._site = CallerSite(
            make_caller_app(self._instance).resource(), reactor, self._instance.count_refusal
        )
        self._settings_file = SettingsFile(settings_path, settings, self._instance.feed, reactor)
        self._front = Front(self._instance, reactor, ClientDialect(read_request, write_outcome))
        self._front_address = settings.front.address
        self._ports = {
            "callers": reactor.listenTCP(
                settings.callers.port, self._site, interface=settings.callers.host
            ),
            "operators": listen_operators(settings.operators, self._instance, reactor),
        }
        if settings.forwarding.enabled:
            self._instance.when_ready = self._open_front
            host, port = _host_and_port(settings.front.ready_address)
            self._ports["ready"] = reactor.listenTCP(
                port, Readiness(self._instance.is_ready), interface=host
            )

    def run(self) -> int:
        """Run until the shutdown is over; returns the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._ask_to_stop)
        signal.signal(signal.SIGHUP, self._ask_to_reload)
        reactor.callWhenRunning(self._life.listening)
        reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _open_front(self) -> None:
        """Take clients' requests from now on: there are routes and targets to serve them."""
        if "front" in self._ports:
            return
        host, port = _host_and_port(self._front_address)
        self._ports["front"] = reactor.listenTCP(
            port, self._front, backlog=FRONT_BACKLOG, interface=host
        )
        log_event("front_open", (("address", self._front_address),))

    def _ask_to_stop(self, *_: object) -> None:
        # A signal handler runs between any two steps of the loop's code, so it only wakes the loop.
        reactor.callFromThread(self._stop)

    def _ask_to_reload(self, *_: object) -> None:
        reactor.callFromThread(self._settings_file.reload_if_changed)

    def _stop(self) -> None:
        self._front.close_connections()
        self._instance.feed(StopAsked())

    def _exit(self, exit_code: int) -> None:
        self._exit_code = exit_code
        # The last replies are still being written when the exit is decided.
        reactor.callLater(0, self._life.exit_decided)

    def _perform(self, action: str) -> None:
        match action:
            case "announce":
                self._announce()
            case "close_connections":
                self._front.close_idle()
                drained = self._site.drain().addTimeout(DRAIN_TIMEOUT_S, reactor)
                drained.addBoth(lambda _: reactor.callLater(0, self._life.drained))
            case "stop_loop":
                reactor.stop()

    def _announce(self) -> None:
        tier = self._instance.state.settings
        self._instance.feed(Started(tier.instance_id, tier.availability_zone, tier.incarnation))
        self._settings_file.watch()
        hosts = {name: port.getHost() for name, port in self._ports.items()}
        addresses = {name: f"{host.host}:{host.port}" for name, host in hosts.items()}
        if tier.discovery.enabled:
            self._instance.feed(
                RegisteredInstance(
                    tier.instance_id, tier.availability_zone, tier.peer_host, tier.peer_port
                )
            )
        addresses["peers"] = f"{tier.peer_host}:{tier.peer_port}"
        log_event("started", tuple(addresses.items()))
        print("ready " + " ".join(f"{name}={at}" for name, at in addresses.items()), flush=True)


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


ACTIONS = frozenset({"announce", "close_connections", "stop_loop"})
