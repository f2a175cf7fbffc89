"""Limits the memory that exchanges with targets hold in this process."""

from typing import Protocol

DEFAULT_REPLY_MEMORY_BYTES = 64 * 1024 * 1024
REPLY_MEMORY_SHARE = 0.2  # of the memory of the process; the rest serves the requests themselves
BYTES_PER_MB = 1_000_000


class ReplyHolder(Protocol):
    """A connection that receives a reply."""

    def fail_reply(self, detail: str) -> None:
        """Close the connection; its reply will not be complete."""


class ReplyMemory:
    """The bytes of incomplete replies and unread requests on all connections, within one limit.

    Load pattern: targets in trouble send bytes without end on hundreds of connections, or read no
    requests, of which each attempt at each shard holds a copy. Each connection has a limit of its
    own, but together they could exceed the memory of the machine. When the limit is exceeded, the
    connection that holds most is closed, so that short replies of other targets are not affected.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all connections may hold together.
    """

    def __init__(self, limit_bytes: int = DEFAULT_REPLY_MEMORY_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._held: dict[ReplyHolder, int] = {}
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self._held_bytes

    def update(self, holder: ReplyHolder, held_bytes: int) -> None:
        """Set the bytes that a connection holds, and close the largest ones above the limit."""
        self._held_bytes += held_bytes - self._held.pop(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
        while self._held_bytes > self._limit_bytes:
            largest = max(self._held, key=lambda item: self._held[item])
            self._held_bytes -= self._held.pop(largest)
            largest.fail_reply(
                f"incomplete replies exceed {self._limit_bytes} bytes; this one is the largest"
            )


def make_reply_memory(process_memory_mb: float) -> ReplyMemory:
    """Return the limit for a process that may use `process_memory_mb`; 0 if that is not known."""
    if not process_memory_mb:
        return ReplyMemory()
    return ReplyMemory(int(process_memory_mb * BYTES_PER_MB * REPLY_MEMORY_SHARE))
