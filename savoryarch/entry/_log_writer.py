"""Writes log lines without blocking when their reader is slow."""

import os
from collections import deque
from typing import Any

BUFFER_BYTES = 262_144  # lines that do not fit are dropped
ROUTINE_BUFFER_SHARE = 0.5  # above this fill level of the buffer, routine lines are dropped
ROUTINE_LINES_PER_S = 100  # limits the lines about successful requests of a busy instance
RETRY_INTERVAL_S = 0.05  # between attempts to write while the reader is slow


class LogWriter:
    """A text stream over a file descriptor, for a log handler, which never blocks.

    Parameters
    ----------
    descriptor : int
        The file descriptor; it is made non-blocking.
    reactor : IReactorTime provider
        Schedules the retry of a write that would block.

    Attributes
    ----------
    dropped : int
        Number of lines that were dropped since the start.
    """

    def __init__(self, descriptor: int, reactor: Any) -> None:
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._reactor = reactor
        self._buffered: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._retry_call: Any = None
        self._counted_second = 0
        self._routine_line_count = 0

    def accepts_routine_line(self) -> bool:
        """Return whether to write a routine line now; if not, it is counted as dropped.

        A routine line is about a request that succeeded. There are at most `ROUTINE_LINES_PER_S`,
        and none while the buffer is filled above `ROUTINE_BUFFER_SHARE`, so that other lines still
        fit.
        """
        second = int(self._reactor.seconds())
        if second != self._counted_second:
            self._counted_second, self._routine_line_count = second, 0
        self._routine_line_count += 1
        has_space = self._buffered_bytes < BUFFER_BYTES * ROUTINE_BUFFER_SHARE
        if has_space and self._routine_line_count <= ROUTINE_LINES_PER_S:
            return True
        self.dropped += 1
        return False

    def write(self, text: str) -> int:
        """Write a text without blocking.

        What cannot be written now is buffered, or dropped if the buffer is full.

        Returns
        -------
        length : int
            Number of characters in the text, as of any text stream, also if it was dropped.
        """
        data = text.encode("utf-8", "replace")
        if self._buffered_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return len(text)
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._retry_call is None:
            self.write_buffered()
        return len(text)

    def flush(self) -> None:
        """Do nothing: `write` has written all that can be written without blocking."""

    def write_buffered(self) -> None:
        """Write the buffered lines; if that would block, the rest is written later."""
        self._retry_call = None
        while self._buffered:
            line = self._buffered[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._retry_call = self._reactor.callLater(RETRY_INTERVAL_S, self.write_buffered)
                return
            except OSError:
                # The reader has closed the stream, so the buffered lines can never be written.
                self.dropped += len(self._buffered)
                self._buffered.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffered[0] = line[written:]
            else:
                self._buffered.popleft()
