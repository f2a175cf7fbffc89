"""One process that was started here: its ready line, its signals, its end."""

import os
import selectors
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

READY_WORD = "ready"
START_TIMEOUT_S = 20.0
KILL_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Address:
    """A TCP address that a process listens on."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class StartError(RuntimeError):
    """A process ended or said nothing before it was ready."""


class ManagedProcess:
    """A running process with the fields of its ready line.

    Parameters
    ----------
    name : str
        Used in errors and for the log file.
    process : subprocess.Popen
        The process, which runs in its own process group.
    log_path : Path
        Where its standard error goes.
    fields : dict of str to str
        The key=value pairs of its ready line.
    """

    def __init__(
        self,
        name: str,
        process: subprocess.Popen[bytes],
        log_path: Path,
        ready_fields: dict[str, str],
    ) -> None:
        self.name = name
        self.log_path = log_path
        self.ready_fields = ready_fields
        self._process = process

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    def address(self, key: str = "") -> Address:
        """Return ``key=HOST:PORT`` of the ready line, or ``host=... port=...`` without a key."""
        if not key:
            return Address(self.ready_fields["host"], int(self.ready_fields["port"]))
        host, _, port = self.ready_fields[key].rpartition(":")
        return Address(host, int(port))

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal if the process still runs."""
        if self._process.poll() is None:
            os.kill(self.pid, signal_number)

    def is_running(self) -> bool:
        """Return whether the process still runs."""
        return self._process.poll() is None

    def wait_for_exit(self, timeout_s: float) -> int:
        """Wait for the end of the process; returns its exit code."""
        exit_code = self._process.wait(timeout_s)
        if self._process.stdout is not None:
            self._process.stdout.close()
        return exit_code

    def stop(self, timeout_s: float = KILL_TIMEOUT_S) -> int:
        """Ask the process to end, kill it after the timeout; returns its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.wait_for_exit(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Kill the process; returns its exit code."""
        self.send_signal(signal.SIGKILL)
        return self.wait_for_exit(KILL_TIMEOUT_S)

    def read_log_tail(self, lines: int = 20) -> str:
        """Return the last lines of its standard error."""
        return "\n".join(self.log_path.read_text(errors="replace").splitlines()[-lines:])


def start_process(name: str, arguments: list[str], folder: Path) -> ManagedProcess:
    """Start ``python ARGUMENTS`` and wait for its ready line.

    Parameters
    ----------
    name : str
        Name of the process and of its log file in `folder`.
    arguments : list of str
        For example ``["-m", "savoryarch_standins.balancer"]``.
    folder : Path
        Where its log goes.

    Raises
    ------
    StartError
        If it is not ready in time; names the process and the end of its log.
    """
    log_path = folder / f"{name}.log"
    with log_path.open("ab") as log:
        process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=log,
            start_new_session=True,
        )
    managed = ManagedProcess(name, process, log_path, {})
    line = _read_ready_line(process)
    if line is None:
        managed.kill()
        raise StartError(
            f"{name} was not ready within {START_TIMEOUT_S} s:\n{managed.read_log_tail()}"
        )
    managed.ready_fields = dict(word.split("=", 1) for word in line.split()[1:] if "=" in word)
    return managed


def _read_ready_line(process: subprocess.Popen[bytes]) -> str | None:
    assert process.stdout is not None
    buffered = b""
    with selectors.DefaultSelector() as selector:
        selector.register(process.stdout, selectors.EVENT_READ)
        while selector.select(START_TIMEOUT_S):
            chunk = os.read(process.stdout.fileno(), 4096)
            buffered += chunk
            for line in buffered.splitlines(keepends=True):
                if line.startswith(READY_WORD.encode()) and line.endswith(b"\n"):
                    return line.decode()
            if not chunk:
                return None
    return None
