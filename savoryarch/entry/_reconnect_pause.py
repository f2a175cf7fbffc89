"""Pauses between connections to a target that closes them early."""

# A target that closes a connection so soon after accepting it has too many connections.
EARLY_CLOSE_MS = 250.0
# Pause before the next connection after an early close; doubled after each further one.
FIRST_PAUSE_MS, MAX_PAUSE_MS = 100.0, 1600.0


class ReconnectPause:
    """The time until which no connection to one target is opened.

    Each connection that a target closes early costs it work, so that the pause grows.
    """

    def __init__(self) -> None:
        self._pause_ms = 0.0
        self._ends_at_ms = float("-inf")

    def record_close(self, was_used: bool, opened_at_ms: float, now_ms: float) -> None:
        """Update the pause after the target has closed a connection.

        Parameters
        ----------
        was_used : bool
            Whether the connection has carried a reply.
        opened_at_ms, now_ms : float
            When the target accepted and closed the connection, on the clock of the process.
        """
        if was_used:
            self._pause_ms = 0.0
        elif now_ms - opened_at_ms <= EARLY_CLOSE_MS:
            self._pause_ms = min(MAX_PAUSE_MS, max(FIRST_PAUSE_MS, 2.0 * self._pause_ms))
            self._ends_at_ms = now_ms + self._pause_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until the next connection may be opened; 0 or less if it may be now."""
        return self._ends_at_ms - now_ms
