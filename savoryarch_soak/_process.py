"""A child process of the soak that is observed from the event loop without blocking it."""

import os
import re
import signal
import sys
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

READY_PREFIX = b"ready "
_DISPOSITIONS = re.compile(r"^Sig(?:Ign|Cgt):\s*(\w+)", re.MULTILINE)


@dataclass(frozen=True, slots=True)
class ProcessExit:
    """The exit of a process: its code, or the signal that ended it."""

    code: int | None
    signal: int | None


def has_run_first_line(pid: int) -> bool:
    """Return whether the first line of the program has run in a process.

    It changes the disposition of SIGHUP, which the interpreter leaves as it is.
    """
    with suppress(OSError):
        masks = _DISPOSITIONS.findall(Path(f"/proc/{pid}/status").read_text(encoding="ascii"))
        return any(int(mask, 16) >> (signal.SIGHUP - 1) & 1 for mask in masks)
    return False


class SoakProcess(ProcessProtocol):
    """A Python program in a child process.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    arguments : list of str
        Arguments of the Python interpreter.
    log_path : Path
        File to which its standard output and standard error are appended.

    Attributes
    ----------
    ready : Deferred
        Fires with the ``key=value`` fields of the line ``ready ...`` of its output.
    exited : Deferred
        Fires with the `ProcessExit`.
    early_signals : list of int
        Signals that were sent before the first line of the program had run.
    """

    def __init__(self, reactor: Any, arguments: list[str], log_path: Path) -> None:
        self.ready: Deferred[dict[str, str]] = Deferred()
        self.exited: Deferred[ProcessExit] = Deferred()
        self.early_signals: list[int] = []
        self._has_run_first_line = False
        self._log = log_path.open("ab", buffering=0)
        self._partial_line = b""
        self._process = reactor.spawnProcess(
            self, sys.executable, [sys.executable, *arguments], env=dict(os.environ)
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        pid = self._process.pid
        if pid is not None:
            self._has_run_first_line = self._has_run_first_line or has_run_first_line(pid)
            if not self._has_run_first_line:
                self.early_signals.append(int(number))
            os.kill(pid, number)

    def when_exited(self) -> "Deferred[None]":
        """Return a Deferred that fires after the callbacks that `exited` has now."""
        ended: Deferred[None] = Deferred()

        def report(result: ProcessExit) -> ProcessExit:
            ended.callback(None)
            return result

        self.exited.addCallback(report)
        return ended

    def stop_reading(self) -> None:
        """Leave its output in the pipes until `resume_reading` is called."""
        self._process.pauseProducing()

    def resume_reading(self) -> None:
        """Read its output again."""
        if self._process.pid is not None:
            self._process.resumeProducing()

    def close_output(self) -> None:
        """Close its output, of which the rest is lost."""
        self._process.closeStdout()
        self._process.closeStderr()

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Log standard output and find the ready line in it; called by Twisted."""
        self._log.write(data)
        if self.ready.called:
            return
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if line.startswith(READY_PREFIX) and not self.ready.called:
                fields = line.decode().split()[1:]
                self.ready.callback(dict(field.split("=", 1) for field in fields))

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Log standard error; called by Twisted."""
        self._log.write(data)

    def processExited(self, reason: Any) -> None:  # noqa: N802
        """Report the exit, also if output is left to read; called by Twisted."""
        self._process.resumeProducing()
        self.exited.callback(ProcessExit(reason.value.exitCode, reason.value.signal))

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Close the log when all output has been read; called by Twisted."""
        self._log.close()
