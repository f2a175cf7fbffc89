"""A child process of the soak that is observed from the event loop without blocking it."""

import os
import signal
import sys
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

READY_PREFIX = b"ready "


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
        Fires with the exit code, or with None if a signal ended the process.
    """

    def __init__(self, reactor: Any, arguments: list[str], log_path: Path) -> None:
        self.ready: Deferred[dict[str, str]] = Deferred()
        self.exited: Deferred[int | None] = Deferred()
        self._log = log_path.open("ab", buffering=0)
        self._partial_line = b""
        self._process = reactor.spawnProcess(
            self, sys.executable, [sys.executable, *arguments], env=dict(os.environ)
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self._process.pid is not None:
            os.kill(self._process.pid, number)

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

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Close the log and report the exit; called by Twisted."""
        self._log.close()
        self.exited.callback(reason.value.exitCode)
