"""First steps of a process, before it loads the program, which takes tenths of a second."""

import faulthandler
import os
import signal

_STDERR = 2  # file descriptor
_MS_PER_S = 1000.0


def prepare_process() -> None:
    """Set the handlers of the time until the event loop runs, and open standard descriptors.

    SIGHUP is ignored, because the settings are read after it. SIGTERM and SIGINT end the process
    with code 0, because it has accepted no request yet. A crash writes the stack of its thread.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_before_service)
    signal.signal(signal.SIGINT, _exit_before_service)
    deliver_signals()
    _open_standard_descriptors()
    faulthandler.enable(file=_STDERR, all_threads=False)


def deliver_signals() -> None:
    """Deliver the signals that the first line of the program has blocked."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))


def _exit_before_service(number: int, _: object) -> None:
    # The handler may interrupt an import, so the line is written without the modules of the log.
    fields = f"reason=stopped_at_start signal={signal.Signals(number).name} exit_code={os.EX_OK}"
    processor_ms = sum(os.times()[:2]) * _MS_PER_S
    line = f"level=INFO event=process_ending {fields} processor_ms={processor_ms:.0f}\n"
    try:
        os.set_blocking(_STDERR, False)
        os.write(_STDERR, line.encode())
    except OSError:
        pass  # nobody reads the output
    os._exit(os.EX_OK)


def _open_standard_descriptors() -> None:
    """Open each closed standard descriptor.

    The first connection would get its number otherwise, and log lines would be sent on it.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= 2:
        pass
    os.close(descriptor)
