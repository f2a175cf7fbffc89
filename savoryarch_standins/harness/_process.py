"""Starts a Python process, waits until it reports that it is ready, signals and stops it."""

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
    """TCP address that a process listens on."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class StartError(RuntimeError):
    """A process ended or timed out before it was ready, or its settings are invalid."""


class ManagedProcess:
    """A process and the fields of its ready line.

    Parameters
    ----------
    name : str
        Name for error messages and the log file.
    process : subprocess.Popen
        The process, which runs in its own session.
    log_path : Path
        File that its standard error is written to.
    ready_fields : dict of str to str
        Values of the ``key=value`` words of its ready line.
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
        """Return an address from the ready line.

        Parameters
        ----------
        key : str
            Key of a ``HOST:PORT`` value; if empty, the keys ``host`` and ``port`` are used.
        """
        if not key:
            return Address(self.ready_fields["host"], int(self.ready_fields["port"]))
        host, _, port = self.ready_fields[key].rpartition(":")
        return Address(host, int(port))

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._process.poll() is None:
            os.kill(self.pid, signal_number)

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process.poll() is None

    def wait_for_exit(self, timeout_s: float) -> int:
        """Wait for the end of the process and return its exit code.

        Raises
        ------
        subprocess.TimeoutExpired
            If the process is still running after `timeout_s`.
        """
        exit_code = self._process.wait(timeout_s)
        if self._process.stdout is not None:
            self._process.stdout.close()
        return exit_code

    def stop(self, timeout_s: float = KILL_TIMEOUT_S) -> int:
        """Send SIGTERM, and SIGKILL if the process is running after `timeout_s`.

        A process that is stopped by SIGSTOP is continued first. Returns the exit code.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.wait_for_exit(timeout_s)
        except subprocess.TimeoutExpired:
            return self.kill()

    def kill(self) -> int:
        """Send SIGKILL and return the exit code."""
        self.send_signal(signal.SIGKILL)
        return self.wait_for_exit(KILL_TIMEOUT_S)

    def read_log_tail(self, lines: int = 20) -> str:
        """Return the last lines of its standard error."""
        return "\n".join(self.log_path.read_text(errors="replace").splitlines()[-lines:])


def start_process(name: str, arguments: list[str], folder: Path) -> ManagedProcess:
    """Start a Python process and wait for the line ``ready key=value ...`` on its standard output.

    Parameters
    ----------
    name : str
        Name of the process; its log file is ``NAME.log`` in `folder`.
    arguments : list of str
        Arguments of the interpreter, for example ``["-m", "savoryarch_standins.balancer"]``.
    folder : Path
        Folder for its log file.

    Returns
    -------
    ManagedProcess
        The running process; it must be stopped or killed.

    Raises
    ------
    StartError
        If the process ends, or writes nothing for `START_TIMEOUT_S`, before its ready line. The
        message holds its last log lines.
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
            f"{name} was not ready within {START_TIMEOUT_S} s or ended before; its log ends with:\n"
            f"{managed.read_log_tail()}"
        )
    managed.ready_fields = dict(word.split("=", 1) for word in line.split()[1:] if "=" in word)
    return managed


def _read_ready_line(process: subprocess.Popen[bytes]) -> str | None:
    """Return the ready line, or None if the process ends or writes nothing for too long."""
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
