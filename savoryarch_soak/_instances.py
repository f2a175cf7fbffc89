"""Entry instances under test: their settings, processes and clients."""

import os
import signal
import socket
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from savoryarch.utils import Clock
from savoryarch_soak._checks import (
    BUDGET_EXTRA_REQUESTS,
    BUDGET_RATIO,
    BUDGET_WINDOW_MS,
    STOP_DEADLINE_MS,
)
from savoryarch_soak._clients import Clients
from savoryarch_soak._journal import Exchange, InstanceExit
from savoryarch_soak._process import ProcessExit, SoakProcess
from savoryarch_standins.harness import Address

RESTART_DELAY_S = 0.2  # until the simulated platform restarts a process that ended by itself
# A loopback address of this run alone, so that no other run on the machine can bind a port
# between the search for free ports and the start of the instance.
INSTANCE_HOST = f"127.{os.getpid() // 256 % 200 + 10}.{os.getpid() % 256}.1"
_SETTINGS_TEMPLATE = """\
[instance]
instance_id = entry-{number}
availability_zone = zone-{zone}

[front]
address = {front}
ready_address = {ready}

[callers]
enabled = no

[operators]
enabled = no

[peers]
host = {host}
port = {peers}
private_network = yes

[platform]
store_url = http://{store}

[discovery]
enabled = yes
poll_interval_ms = 300

[targets]
entry_instances = {instances}
probe_retry_ms = 200
warm_up_ms = 200

[forwarding]
enabled = yes
extra_ratio = {ratio}
extra_requests = {extra}
extra_window_ms = {window_ms}

[shutdown]
await_targets = yes
balancer_lag_ms = 600
shutdown_deadline_ms = {grace_ms}
kill_margin_ms = 300

[log]
stream = stdout
"""


class _Life:
    """One process of an instance, and what was asked of it."""

    def __init__(self, number: int, process: SoakProcess) -> None:
        self.number = number
        self.process = process
        self.stop_requested_at_ms: float | None = None
        self.killed = False
        self.frozen = False


class SoakInstance:
    """An entry instance, over all of its restarts.

    Parameters
    ----------
    number : int
        Number of the instance, from 0.
    settings : str
        Content of its settings file.
    front : Address
        Address to which clients connect.
    folder : Path
        Folder for its settings file and log.
    reactor : object
        Twisted's reactor.
    clock : Clock
        Steady clock of the machine.
    on_exchange_ended : callable
        Called with each `Exchange` when it has ended.
    on_exit : callable
        Called with an `InstanceExit` each time a process exits.

    Attributes
    ----------
    start_count : int
        Number of starts so far.
    clients : Clients
        The clients of the instance.
    """

    def __init__(
        self,
        number: int,
        settings: str,
        front: Address,
        folder: Path,
        reactor: Any,
        clock: Clock,
        on_exchange_ended: Callable[[Exchange], None],
        on_exit: Callable[[InstanceExit], None],
    ) -> None:
        self.number = number
        self.start_count = 0
        self.clients = Clients(reactor, clock, front, on_exchange_ended)
        self._settings = settings
        self._path = folder / f"entry-{number}.ini"
        self._log_path = folder / f"entry-{number}.log"
        self._reactor = reactor
        self._clock = clock
        self._on_exit = on_exit
        # The running processes; all but the last one are predecessors that still stop.
        self._lives: list[_Life] = []
        self._current: _Life | None = None
        self._reload_count = 0
        self._path.write_text(settings, encoding="utf-8")

    def start(self) -> None:
        """Start a process unless one runs."""
        if self._current is None:
            self.start_successor()

    def start_successor(self) -> None:
        """Start a process, also while its predecessor still stops."""
        self.start_count += 1
        arguments = ["-m", "savoryarch", "serve", "--settings", str(self._path)]
        process = SoakProcess(self._reactor, arguments, self._log_path)
        life = self._current = _Life(self.start_count, process)
        self._lives.append(life)
        process.exited.addCallback(self._handle_exit, life)

    def is_running(self) -> bool:
        """Return whether the newest process runs or is suspended."""
        return self._current is not None

    def when_ended(self) -> "Deferred[Any]":
        """Return a Deferred that fires when all running processes have exited."""
        return DeferredList([life.process.when_exited() for life in self._lives])

    def kill(self) -> None:
        """Send SIGKILL."""
        if self._current is not None:
            self._current.killed = True
            self._current.process.send_signal(signal.SIGKILL)

    def kill_all(self) -> None:
        """Send SIGKILL to all running processes."""
        for life in self._lives:
            life.killed = True
            life.process.send_signal(signal.SIGKILL)

    def stop(self) -> None:
        """Send SIGTERM, and record the time of the first one."""
        if self._current is not None:
            if self._current.stop_requested_at_ms is None:
                self._current.stop_requested_at_ms = self._clock.now_ms()
            self._current.process.send_signal(signal.SIGTERM)

    def freeze(self) -> None:
        """Suspend the process with SIGSTOP."""
        if self._current is not None:
            self._current.frozen = True
            self._current.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume all running processes with SIGCONT."""
        for life in self._lives:
            life.process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Change a harmless value in the settings file and send SIGHUP."""
        self._reload_count += 1
        changed = self._settings.replace(
            "warm_up_ms = 200", f"warm_up_ms = {200 + self._reload_count % 2}"
        )
        self._path.write_text(changed, encoding="utf-8")
        if self._current is not None:
            self._current.process.send_signal(signal.SIGHUP)

    def block_output(self, closes: bool) -> None:
        """Stop reading its output, or close it."""
        if self._current is None:
            return
        if closes:
            self._current.process.close_output()
        else:
            self._current.process.stop_reading()

    def read_output(self) -> None:
        """Read the output of all running processes again."""
        for life in self._lives:
            life.process.resume_reading()

    def _handle_exit(self, process_exit: ProcessExit, life: _Life) -> None:
        self._lives.remove(life)
        if self._current is life:
            self._current = None
        self._on_exit(
            InstanceExit(
                self.number,
                life.number,
                self._clock.now_ms(),
                process_exit.code,
                life.stop_requested_at_ms,
                life.killed,
                life.frozen,
                life.process.ready.called,
                process_exit.signal,
                tuple(life.process.early_signals),
            )
        )
        if life.stop_requested_at_ms is None and not life.killed:
            self._reactor.callLater(RESTART_DELAY_S, self.start)


def render_settings(
    number: int, instances: int, addresses: tuple[Address, ...], store: Address
) -> str:
    """Return the settings file of an instance.

    Parameters
    ----------
    number : int
        Number of the instance, from 0.
    instances : int
        Number of entry instances.
    addresses : tuple of Address
        Its addresses for clients, readiness checks and peers.
    store : Address
        Address of the store.
    """
    front, ready, peers = addresses
    return _SETTINGS_TEMPLATE.format(
        number=number,
        zone="ab"[number % 2],
        host=INSTANCE_HOST,
        front=front,
        ready=ready,
        peers=peers.port,
        store=store,
        instances=instances,
        ratio=BUDGET_RATIO,
        extra=BUDGET_EXTRA_REQUESTS,
        window_ms=BUDGET_WINDOW_MS,
        grace_ms=STOP_DEADLINE_MS,
    )


def find_free_addresses(count: int) -> tuple[Address, ...]:
    """Return distinct addresses of this run that the system gave and that are free at present."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in sockets:
            probe.bind((INSTANCE_HOST, 0))
        return tuple(Address(INSTANCE_HOST, probe.getsockname()[1]) for probe in sockets)
