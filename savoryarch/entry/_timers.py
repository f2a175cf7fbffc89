"""Runs the timers that the decisions set on Twisted's reactor."""

from collections.abc import Callable
from typing import Any

from savoryarch.model import TimerFired
from savoryarch.utils import Clock

_MS_PER_S = 1000.0


class Timers:
    """Timers with an id each; at most one per id is pending.

    Parameters
    ----------
    reactor : IReactorTime provider
        Twisted's reactor.
    clock : Clock
        Monotonic clock of the process.
    feed : callable
        Called with `TimerFired` when a timer fires.
    """

    def __init__(self, reactor: Any, clock: Clock, feed: Callable[[object], None]) -> None:
        self._reactor = reactor
        self._clock = clock
        self._feed = feed
        self._delayed_calls: dict[str, Any] = {}

    def set(self, timer_id: str, at_ms: float) -> None:
        """Set a timer to fire at a time on the process's clock.

        A pending timer with the same id is replaced. A time in the past fires with the next
        iteration of the reactor.
        """
        self.clear(timer_id)
        delay_s = max(0.0, at_ms - self._clock.now_ms()) / _MS_PER_S
        self._delayed_calls[timer_id] = self._reactor.callLater(delay_s, self._fire, timer_id)

    def clear(self, timer_id: str) -> None:
        """Cancel a timer; an id that is not pending is ignored."""
        call = self._delayed_calls.pop(timer_id, None)
        if call is not None:
            call.cancel()

    def _fire(self, timer_id: str) -> None:
        del self._delayed_calls[timer_id]
        self._feed(TimerFired(timer_id))
