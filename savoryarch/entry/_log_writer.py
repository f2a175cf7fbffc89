"""Writes log lines without ever waiting for whoever reads them."""

import os
from collections import deque
from typing import Any

BUFFER_BYTES = 262_144  # lines that wait for the reader; further ones are dropped
ROUTINE_BUFFER_SHARE = 0.5  # of the buffer, beyond which routine lines are dropped
ROUTINE_LINES_PER_S = 100  # a busy instance keeps this many lines about requests that went well
RETRY_INTERVAL_S = 0.05  # until a reader that is behind is tried again


class LogWriter:
    """A text stream for a log handler, over a file descriptor.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is made non-blocking.
    reactor : IReactorTime provider
        Tries again later what could not be written.
    """

    def __init__(self, descriptor: int, reactor: Any) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._reactor = reactor
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._retry_call: Any = None
        self._second = 0
        self._routine_lines = 0

    def accepts_routine_line(self) -> bool:
        """Return whether a line about something that went well is worth its place now."""
        second = int(self._reactor.seconds())
        if second != self._second:
            self._second, self._routine_lines = second, 0
        self._routine_lines += 1
        has_space = self._buffered_bytes < BUFFER_BYTES * ROUTINE_BUFFER_SHARE
        if has_space and self._routine_lines <= ROUTINE_LINES_PER_S:
            return True
        self.dropped += 1
        return False

    def write(self, text: str) -> int:
        """Write a text now if possible, or keep it, or drop it; never waits."""
        data = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return len(text)
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._retry_call is None:
            self._write_buffered()
        return len(text)

    def flush(self) -> None:
        """Do nothing: `write` writes what can be written."""

    def _write_buffered(self) -> None:
        self._retry_call = None
        while self._buffered:
            line = self._buffered[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._retry_call = self._reactor.callLater(RETRY_INTERVAL_S, self._write_buffered)
                return
            except OSError:
                # Nobody reads any more: what is kept can never be written.
                self.dropped += len(self._buffered)
                self._buffered.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffered[0] = line[written:]
            else:
                self._buffered.popleft()
