"""The record of a run: what clients, targets and the soak itself observed.

The JSON report writes these fields under their names. Times are of the machine's steady clock.
"""

from dataclasses import dataclass, field

from savoryarch_soak._faults import Fault
from savoryarch_standins.forwarded import Arrival


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request of a client and its result.

    Parameters
    ----------
    request_id : str
        Id of the request, unique in the run.
    route : str
        Route of the request: ``read``, ``order`` or ``find``.
    instance : int
        Number of the instance to which it was sent.
    life : int
        Number of starts of that instance so far.
    sent_at_ms, ended_at_ms : float
        Times of the request, and of its answer or failure.
    status : int
        HTTP status of the answer, or 0 if there was none.
    digests : tuple of str
        Digests of the parts of a search; empty on other routes.
    missing : int
        Number of parts that the answer to a search reports as missing.
    body : bytes
        Body of the answer.
    failure : str
        Why there was no answer: ``refused`` if the connection failed, ``cut`` if it was closed
        before the answer, ``late`` if the client timed out. Empty if there was an answer.
    """

    request_id: str
    route: str
    instance: int
    life: int
    sent_at_ms: float
    ended_at_ms: float
    status: int = 0
    digests: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""
    failure: str = ""


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """A fault as it was injected.

    Parameters
    ----------
    fault : Fault
        The planned fault.
    from_ms, to_ms : float
        Its start, and the end of its consequences, which includes an allowance for recovery.
    """

    fault: Fault
    from_ms: float
    to_ms: float


@dataclass(frozen=True, slots=True)
class InstanceExit:
    """The exit of the process of an entry instance.

    Parameters
    ----------
    instance, life : int
        Number of the instance, and its number of starts so far.
    at_ms : float
        Time of the exit.
    code : int or None
        Exit code; None if a signal ended the process.
    asked_at_ms : float or None
        Time of the first SIGTERM; None if none was sent.
    killed, frozen : bool
        Whether SIGKILL and whether SIGSTOP was sent.
    was_ready : bool
        Whether the instance had reported that it was ready.
    signal : int or None
        The signal that ended the process; None if it exited with a code.
    early_signals : tuple of int
        Signals that were sent before the first line of the program had run.
    """

    instance: int
    life: int
    at_ms: float
    code: int | None
    asked_at_ms: float | None
    killed: bool
    frozen: bool = False
    was_ready: bool = True
    signal: int | None = None
    early_signals: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class TableWritten:
    """A version of the configuration that the store acknowledged.

    Parameters
    ----------
    at_ms : float
        Time at which the write was known to have taken effect. If the reply to the write was
        lost, a later read of the store shows this.
    version : int
        The version.
    shards : tuple of str
        The shards of its searches, which show in the answers.
    sent_at_ms : float
        Time of the first attempt to write it, from which on it may come into force.
    """

    at_ms: float
    version: int
    shards: tuple[str, ...]
    sent_at_ms: float


@dataclass(frozen=True, slots=True)
class Journal:
    """The observations that the checks compare.

    Parameters
    ----------
    began_at_ms, ended_at_ms : float
        Start and end of the load.
    exchanges, arrivals, injected, exits, tables : tuple
        Requests of clients, requests that reached targets, faults, exits of instances, and
        written configurations, each in the order in which they were recorded.
    most_connections : dict of str to int
        Greatest number of simultaneous connections of each target.
    """

    began_at_ms: float
    ended_at_ms: float
    exchanges: tuple[Exchange, ...] = ()
    arrivals: tuple[Arrival, ...] = ()
    injected: tuple[InjectedFault, ...] = ()
    exits: tuple[InstanceExit, ...] = ()
    tables: tuple[TableWritten, ...] = ()
    most_connections: dict[str, int] = field(default_factory=dict)
