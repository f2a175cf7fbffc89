"""Limits the memory that the connections of clients hold in this process."""

from typing import Protocol

DEFAULT_CLIENT_MEMORY_BYTES = 64 * 1024 * 1024
CLIENT_MEMORY_SHARE = 0.2  # of the memory of the process, as much as for the replies of targets
BYTES_PER_MB = 1_000_000


class ClientHolder(Protocol):
    """A connection of a client."""

    def release_memory(self, detail: str) -> None:
        """Discard what the connection holds apart from its outstanding request."""


class ClientMemory:
    """The bytes that all connections of clients hold, within one limit.

    Load pattern: thousands of clients send heads or bodies that do not end, or do not read their
    answers. Each connection has a limit of its own, but together they could exceed the memory of
    the machine. When the limit is exceeded, the connection that holds most is told to release it,
    so that the short requests of other clients are not affected. Outstanding requests count, but
    are never discarded: some of them may have run.

    Parameters
    ----------
    limit_bytes : int
        Bytes that all connections may hold together.
    """

    def __init__(self, limit_bytes: int = DEFAULT_CLIENT_MEMORY_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._held: dict[ClientHolder, int] = {}
        self._releasable_bytes = 0
        self._outstanding_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now."""
        return self._releasable_bytes + self._outstanding_bytes

    def update(self, holder: ClientHolder, held_bytes: int) -> None:
        """Set the bytes that a connection holds apart from its outstanding request."""
        self._releasable_bytes += held_bytes - self._held.pop(holder, 0)
        if held_bytes:
            self._held[holder] = held_bytes
            self._release_largest(0)

    def reserve(self, request_bytes: int) -> bool:
        """Count an outstanding request, and return True if it is within the limit."""
        self._release_largest(request_bytes)
        if self.held_bytes + request_bytes > self._limit_bytes:
            return False
        self._outstanding_bytes += request_bytes
        return True

    def free(self, request_bytes: int) -> None:
        """Subtract a request that was reserved and is no longer outstanding."""
        self._outstanding_bytes -= request_bytes

    def _release_largest(self, request_bytes: int) -> None:
        while self._held and self.held_bytes + request_bytes > self._limit_bytes:
            largest = max(self._held, key=lambda item: self._held[item])
            self._releasable_bytes -= self._held.pop(largest)
            largest.release_memory(f"clients hold over {self._limit_bytes} bytes")


def make_client_memory(process_memory_mb: float) -> ClientMemory:
    """Return the limit for a process that may use `process_memory_mb`; 0 if that is not known."""
    if not process_memory_mb:
        return ClientMemory()
    return ClientMemory(int(process_memory_mb * BYTES_PER_MB * CLIENT_MEMORY_SHARE))
