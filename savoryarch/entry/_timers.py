"""Timers of the decisions on Twisted's reactor."""

from collections.abc import Callable
from typing import Any

from savoryarch.model import TimerFired
from savoryarch.utils import Clock

_MS_PER_S = 1000.0


class Timers:
    """Keeps at most one pending call per timer id.

    Parameters
    ----------
    reactor : object
        Twisted's reactor.
    clock : Clock
        Clock of the process.
    feed : callable
        Takes `TimerFired`.
    """

    def __init__(self, reactor: Any, clock: Clock, feed: Callable[[object], None]) -> None:
        self._reactor = reactor
        self._clock = clock
        self._feed = feed
        self._delayed_calls: dict[str, Any] = {}

    def set(self, timer_id: str, at_ms: float) -> None:
        """Fire at a time on the process's clock; replaces an earlier timer of the same id."""
        self.clear(timer_id)
        delay_s = max(0.0, at_ms - self._clock.now_ms()) / _MS_PER_S
        self._delayed_calls[timer_id] = self._reactor.callLater(delay_s, self._fire, timer_id)

    def clear(self, timer_id: str) -> None:
        """Forget a timer; unknown ids are ignored."""
        call = self._delayed_calls.pop(timer_id, None)
        if call is not None:
            call.cancel()

    def _fire(self, timer_id: str) -> None:
        del self._delayed_calls[timer_id]
        self._feed(TimerFired(timer_id))
