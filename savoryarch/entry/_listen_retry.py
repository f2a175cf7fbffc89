"""Opens the addresses of a process, and tries again while another socket has one of them.

A process may start while its predecessor still serves its last requests, or before its machine has
the address, and the local port of any outgoing connection of the machine may be an address that the
process is about to open. A process that ended would meet the same address after its restart.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError

from savoryarch.entry._log import log_error, log_event

LISTEN_RETRY_S = 0.5


class ListenRetry:
    """Opens addresses, one call of `open` for each.

    Parameters
    ----------
    reactor : IReactorTime provider
        Schedules the retries.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def open(self, name: str, listen: Callable[[], None]) -> None:
        """Open an address now, or later if that is not possible.

        Parameters
        ----------
        name : str
            Name of the address in the log.
        listen : callable
            Opens the address, or raises `CannotListenError`.
        """
        self._try(name, listen, 0)

    def _try(self, name: str, listen: Callable[[], None], failures: int) -> None:
        try:
            listen()
        except CannotListenError as error:
            failures += 1
            if failures & (failures - 1) == 0:  # logged only when the number has doubled
                fields = (("address", name), ("failures", str(failures)), ("detail", str(error)))
                log_error("cannot_listen", fields)
            self._reactor.callLater(LISTEN_RETRY_S, self._try, name, listen, failures)
            return
        if failures:
            log_event("listening_after_retries", (("address", name), ("failures", str(failures))))
