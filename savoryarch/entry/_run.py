"""Runs one entry instance as a process, along the chart ``process.ini``."""

import signal
from typing import Any

from twisted.internet import reactor as default_reactor

from savoryarch.charts import load_chart, make_machine
from savoryarch.entry._caller_front import make_caller_app
from savoryarch.entry._caller_site import CallerSite
from savoryarch.entry._log import log_event, start_log
from savoryarch.entry._wiring import listen_operators, make_instance
from savoryarch.model import Started, StopAsked
from savoryarch.settings import Settings

DRAIN_TIMEOUT_S = 5.0  # for callers that read their last reply slowly
NO_DECISION_EXIT_CODE = 1

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
    start_log(settings.log.level.value, settings.instance.instance_id)
    return EntryProcess(settings).run()


class EntryProcess:
    """The process around an entry instance.

    Parameters
    ----------
    settings : Settings
        The checked settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._exit_code = NO_DECISION_EXIT_CODE
        self._life = make_machine(load_chart("process", ACTIONS), self._perform)
        self._instance = make_instance(settings, reactor, self._exit)
        self._site = CallerSite(
            make_caller_app(self._instance).resource(), reactor, self._instance.count_refusal
        )
        self._ports = {
            "callers": reactor.listenTCP(
                settings.callers.port, self._site, interface=settings.callers.host
            ),
            "operators": listen_operators(settings.operators, self._instance, reactor),
        }

    def run(self) -> int:
        """Run until the shutdown is over; returns the exit code."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._ask_to_stop)
        reactor.callWhenRunning(self._life.listening)
        reactor.run(installSignalHandlers=False)
        return self._exit_code

    def _ask_to_stop(self, *_: object) -> None:
        # A signal handler runs between any two steps of the loop's code, so it only wakes the loop.
        reactor.callFromThread(self._instance.feed, StopAsked())

    def _exit(self, exit_code: int) -> None:
        self._exit_code = exit_code
        # The last replies are still being written when the exit is decided.
        reactor.callLater(0, self._life.exit_decided)

    def _perform(self, action: str) -> None:
        match action:
            case "announce":
                self._announce()
            case "close_connections":
                drained = self._site.drain().addTimeout(DRAIN_TIMEOUT_S, reactor)
                drained.addBoth(lambda _: reactor.callLater(0, self._life.drained))
            case "stop_loop":
                reactor.stop()

    def _announce(self) -> None:
        tier = self._instance.state.settings
        self._instance.feed(Started(tier.instance_id, tier.availability_zone, tier.incarnation))
        hosts = {name: port.getHost() for name, port in self._ports.items()}
        addresses = {name: f"{host.host}:{host.port}" for name, host in hosts.items()}
        addresses["peers"] = f"{tier.peer_host}:{tier.peer_port}"
        log_event("started", tuple(addresses.items()))
        print("ready " + " ".join(f"{name}={at}" for name, at in addresses.items()), flush=True)


ACTIONS = frozenset({"announce", "close_connections", "stop_loop"})
