"""Opens the addresses of a process, and tries again while another socket has one of them.

A process may start while its predecessor still ends, and the local port of any outgoing connection
of the machine may be an address that the process is about to open.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.error import CannotListenError

from savoryarch.entry._log import log_error, log_event

LISTEN_RETRY_S = 0.5
MAX_LISTEN_RETRIES = 10  # a predecessor ends sooner, as the platform kills it


class ListenRetry:
    """Opens addresses, one call of `open` for each.

    Parameters
    ----------
    reactor : IReactorTime provider
        Schedules the retries.
    give_up : callable
        Called without arguments if a required address cannot be opened.
    """

    def __init__(self, reactor: Any, give_up: Callable[[], None]) -> None:
        self._reactor = reactor
        self._give_up = give_up

    def open(self, name: str, listen: Callable[[], None], *, required: bool) -> None:
        """Open an address now, or later if it is in use.

        Parameters
        ----------
        name : str
            Name of the address in the log.
        listen : callable
            Opens the address, or raises `CannotListenError`.
        required : bool
            Whether the process is of no use without the address. If so, it gives up after
            `MAX_LISTEN_RETRIES`.
        """
        self._try(name, listen, required, 0)

    def _try(self, name: str, listen: Callable[[], None], required: bool, failures: int) -> None:
        try:
            listen()
        except CannotListenError as error:
            if not failures or failures == MAX_LISTEN_RETRIES:
                log_error("cannot_listen", (("address", name), ("detail", str(error))))
            if required and failures >= MAX_LISTEN_RETRIES:
                self._give_up()
                return
            self._reactor.callLater(LISTEN_RETRY_S, self._try, name, listen, required, failures + 1)
            return
        if failures:
            log_event("listening_after_retries", (("address", name), ("failures", str(failures))))
