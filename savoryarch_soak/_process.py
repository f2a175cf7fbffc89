"""One process of the soak, started and ended by its id without holding up the loop."""

import os
import signal
import sys
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ProcessProtocol

READY_PREFIX = b"ready "


class SoakProcess(ProcessProtocol):
    """A running program.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    arguments : list of str
        Of the interpreter.
    log_path : Path
        Where its output goes.

    Attributes
    ----------
    ready : Deferred
        Fires with the fields of its ready line.
    exited : Deferred
        Fires with its exit code, None after a signal.
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
        """Send a signal if the process still runs."""
        if self._process.pid is not None:
            os.kill(self._process.pid, number)

    def outReceived(self, data: bytes) -> None:  # noqa: N802
        """Look for the ready line; called by Twisted."""
        self._log.write(data)
        if self.ready.called:
            return
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            if line.startswith(READY_PREFIX) and not self.ready.called:
                words = line.decode().split()[1:]
                self.ready.callback(dict(word.split("=", 1) for word in words))

    def errReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep what it says; called by Twisted."""
        self._log.write(data)

    def processEnded(self, reason: Any) -> None:  # noqa: N802
        """Note the end; called by Twisted."""
        self._log.close()
        self.exited.callback(reason.value.exitCode)
