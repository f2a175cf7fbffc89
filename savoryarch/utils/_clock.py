"""Clocks; no other module reads the time."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Clock:
    """A clock in milliseconds.

    Parameters
    ----------
    read_s : callable
        Returns the current time in seconds. With ``twisted.internet.task.Clock().seconds`` the
        clock runs in virtual time.
    """

    read_s: Callable[[], float]

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        return self.read_s() * MS_PER_S


def make_monotonic_clock() -> Clock:
    """Make the monotonic clock of this process, whose zero is arbitrary."""
    return Clock(read_s=time.monotonic)


def set_reactor_clock(reactor: Any, clock: Clock) -> None:
    """Make Twisted's timers use a clock; has to be called before the first timer is set.

    By default the reactor reads the time of day. When that clock is set back, every timer is late
    by the size of the step, and when it is set forward, timers expire early.

    Parameters
    ----------
    reactor : IReactorTime provider
        The event loop of the process, whose time source is replaced.
    clock : Clock
        The new time source.
    """
    reactor.seconds = clock.read_s


def make_boot_clock() -> Clock:
    """Make the clock of the kernel, which counts from its start, also while it is suspended."""
    return Clock(read_s=partial(time.clock_gettime, time.CLOCK_BOOTTIME))


def sleep(duration_ms: float) -> None:
    """Suspend the process for a time in ms, before its event loop runs."""
    time.sleep(duration_ms / MS_PER_S)


def make_wall_clock() -> Clock:
    """Make the clock of calendar time, which counts from the Unix epoch."""
    return Clock(read_s=time.time)
