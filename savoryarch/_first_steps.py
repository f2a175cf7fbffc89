"""First steps of a process, before it loads the program, which takes tenths of a second."""

import os
import signal


def prepare_process() -> None:
    """Set the handlers of the time until the event loop runs, and open standard descriptors.

    SIGHUP is ignored, because the settings are read after it. SIGTERM and SIGINT end the process
    with code 0, because it has accepted no request yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, _exit_before_service)
    signal.signal(signal.SIGINT, _exit_before_service)
    _open_standard_descriptors()


def _exit_before_service(*_: object) -> None:
    os._exit(os.EX_OK)


def _open_standard_descriptors() -> None:
    """Open each closed standard descriptor.

    The first connection would get its number otherwise, and log lines would be sent on it.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= 2:
        pass
    os.close(descriptor)
