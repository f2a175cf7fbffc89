"""The only place where a clock is read."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Clock:
    """A clock in milliseconds.

    Parameters
    ----------
    read_s : callable
        Returns the current time in seconds. ``twisted.internet.task.Clock().seconds`` gives a
        clock in virtual time.
    """

    read_s: Callable[[], float]

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        return self.read_s() * MS_PER_S


def make_monotonic_clock() -> Clock:
    """Make the monotonic clock of this process; its zero is arbitrary."""
    return Clock(read_s=time.monotonic)


def set_reactor_clock(reactor: Any, clock: Clock) -> None:
    """Have Twisted's timers follow a clock, before any of them is set.

    By itself the reactor reads the time of day: a step back would hold up every timer for as long
    as the step, and a step ahead would end every wait at once.
    """
    reactor.seconds = clock.read_s


def make_wall_clock() -> Clock:
    """Make the clock of calendar time, in milliseconds since the Unix epoch."""
    return Clock(read_s=time.time)
