"""Measures the steps of a start."""

from dataclasses import dataclass

from savoryarch.lifetime._usage import read_age_ms
from savoryarch.utils import Clock, make_boot_clock, make_monotonic_clock


@dataclass(frozen=True, slots=True)
class StepEnd:
    """The end of a step of the start.

    Parameters
    ----------
    step : str
        Name of the step.
    took_ms : float
        Time since the end of the step before it.
    """

    step: str
    took_ms: float


class StartSteps:
    """Measures the steps of a start, each of which ends once.

    Parameters
    ----------
    clock : Clock
        Monotonic clock of the process.
    first_step_ms : float or None, optional
        Duration of the step ``interpreter``, which precedes the others; None if it is not known.

    Attributes
    ----------
    ended : tuple of StepEnd
        The steps that have ended, in this order.
    """

    def __init__(self, clock: Clock, first_step_ms: float | None = None) -> None:
        self.ended: tuple[StepEnd, ...] = ()
        self._clock = clock
        self._last_end_ms = clock.now_ms()
        self._began_at_ms = self._last_end_ms
        if first_step_ms is not None:
            self.ended = (StepEnd("interpreter", first_step_ms),)
            self._began_at_ms -= first_step_ms

    def end(self, step: str) -> StepEnd | None:
        """End a step; returns None if it ended before."""
        if any(earlier.step == step for earlier in self.ended):
            return None
        now_ms = self._clock.now_ms()
        ended = StepEnd(step, now_ms - self._last_end_ms)
        self._last_end_ms = now_ms
        self.ended += (ended,)
        return ended

    def elapsed_ms(self) -> float:
        """Return the time since the first known step began."""
        return self._clock.now_ms() - self._began_at_ms


def begin_start() -> StartSteps:
    """Begin to measure a start; its first step is the time since the process was executed."""
    return StartSteps(make_monotonic_clock(), read_age_ms(make_boot_clock()))
