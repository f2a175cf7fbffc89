"""Logs the start, the steps of the start and the end of the process."""

import faulthandler
import os
import signal
import sys
from types import TracebackType

from savoryarch import __version__
from savoryarch.entry._leave import leave_process
from savoryarch.entry._log import DESCRIPTORS_BY_STREAM, log_error, log_event
from savoryarch.entry._metrics import Metrics
from savoryarch.lifetime import (
    Ending,
    LoopStopped,
    ShutdownEnded,
    StartSteps,
    begin_start,
    make_ending_fields,
    make_unexpected_error,
    read_limits,
    read_usage,
    summarize_ending,
)
from savoryarch.model import Exit
from savoryarch.settings import Settings


class ProcessReport:
    """Logs what a process has to tell of itself, from its start to its end.

    Parameters
    ----------
    settings : Settings
        The validated settings.
    settings_path : str
        Path of the settings file; empty if there is none.
    steps : StartSteps or None, optional
        The steps that ended before the log was started.

    Attributes
    ----------
    ending : Ending
        The way in which the process is going to end.
    """

    def __init__(
        self,
        settings: Settings,
        settings_path: str,
        steps: StartSteps | None = None,
    ) -> None:
        self.ending: Ending = LoopStopped()
        self._settings = settings
        self._settings_path = settings_path
        self._steps = steps or begin_start()
        self._signal_name = "none"

    def log_started(self) -> None:
        """Log the start, and let crashes and uncaught exceptions be logged from now on."""
        descriptor = DESCRIPTORS_BY_STREAM[self._settings.log.stream.value]
        # The descriptor does not block, so a crash ends the process also if nobody reads. Stacks of
        # other threads are left out: they change while they are read, which can crash again.
        faulthandler.enable(file=descriptor, all_threads=False)
        sys.excepthook = self._log_exception
        limits = read_limits()
        log_event(
            "process_started",
            (
                ("pid", str(os.getpid())),
                ("version", __version__),
                ("age_ms", f"{self._steps.elapsed_ms():.0f}"),
                ("descriptor_limit", _format_limit(limits.descriptor_count)),
                ("address_space_limit_bytes", _format_limit(limits.address_space_bytes)),
                ("memory_limit_mb", f"{self._settings.instance.memory_mb:g}"),
                ("settings_path", self._settings_path),
            ),
        )
        for step in self._steps.ended:
            self._log_step(step.step, step.took_ms)

    def end_step(self, step: str) -> None:
        """Log the end of a step of the start; later calls with the same name do nothing."""
        ended = self._steps.end(step)
        if ended is not None:
            self._log_step(ended.step, ended.took_ms)

    def record_signal(self, number: int) -> None:
        """Record the first signal that asks for the end; safe in a signal handler."""
        if self._signal_name == "none":
            self._signal_name = signal.Signals(number).name

    def record_exit(self, decided: Exit) -> None:
        """Record the exit on which the shutdown decided."""
        cut_count = len(decided.cut_request_ids)
        self.ending = ShutdownEnded(decided.reason, decided.exit_code, cut_count)

    def log_ending(self) -> int:
        """Log the end of the process, and return its exit code."""
        exit_code = summarize_ending(self.ending).exit_code
        log = log_error if exit_code else log_event
        fields = make_ending_fields(
            self.ending, read_usage(), self._signal_name, self._steps.elapsed_ms()
        )
        log("process_ending", fields)
        return exit_code

    def update_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of the process; one whose value the system does not tell is left out."""
        usage = read_usage()
        values = (
            ("process", "peak_memory_bytes", usage.peak_memory_bytes),
            ("process", "open_descriptors", usage.descriptor_count),
            ("process", "uptime_ms", self._steps.elapsed_ms()),
        )
        for name, reason, value in values:
            if value is not None:
                metrics.set_gauge(name, reason, value)

    def _log_step(self, step: str, took_ms: float) -> None:
        fields = (
            ("step", step),
            ("took_ms", f"{took_ms:.0f}"),
            ("age_ms", f"{self._steps.elapsed_ms():.0f}"),
        )
        log_event("start_step", fields)

    def _log_exception(
        self, kind: type[BaseException], error: BaseException, frames: TracebackType | None
    ) -> None:
        # The interpreter's own report could block on an output that nobody reads.
        self.ending = make_unexpected_error(error, frames)
        leave_process(self.log_ending())


def _format_limit(limit: int | None) -> str:
    return "none" if limit is None else str(limit)
