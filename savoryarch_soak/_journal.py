"""What clients, targets and the soak itself saw."""

from dataclasses import dataclass, field

from savoryarch_soak._faults import Fault
from savoryarch_standins.forwarded import Arrival


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request of a client and how it ended.

    Parameters
    ----------
    request_id : str
        Of its own.
    route : str
        ``read``, ``order`` or ``find``.
    instance : int
        Where it was sent.
    life : int
        Starts of that instance so far.
    sent_at_ms, ended_at_ms : float
        On the steady clock of the machine.
    status : int
        Of the answer; 0 if none came.
    digests : tuple of str
        Of the parts of a search, else of nothing.
    missing : int
        Parts that a search says are missing.
    body : bytes
        Of the answer.
    failure : str
        Why no answer came: ``refused`` if no connection was had, ``cut`` if it ended, ``late``.
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
    """A fault as it was played.

    Parameters
    ----------
    fault : Fault
        What was planned.
    from_ms, to_ms : float
        When it began, and when everything of it was over.
    """

    fault: Fault
    from_ms: float
    to_ms: float


@dataclass(frozen=True, slots=True)
class InstanceExit:
    """The end of an entry instance.

    Parameters
    ----------
    instance, life : int
        Which one.
    at_ms : float
        When it had ended.
    code : int or None
        Its exit code; None after a signal.
    asked_at_ms : float or None
        When SIGTERM was sent, if it was.
    killed : bool
        Whether SIGKILL or SIGSTOP was sent.
    was_ready : bool
        Whether it had said that it was ready; before that a signal may simply end it.
    """

    instance: int
    life: int
    at_ms: float
    code: int | None
    asked_at_ms: float | None
    killed: bool
    was_ready: bool = True


@dataclass(frozen=True, slots=True)
class TableWritten:
    """A version of the configuration that the store acknowledged.

    Parameters
    ----------
    at_ms : float
        When the acknowledgement came; the reply of the write itself may have been lost.
    version : int
        The version.
    shards : tuple of str
        The shards of its searches, by which answers tell it.
    sent_at_ms : float
        When it was first sent; it may come into force from then on.
    """

    at_ms: float
    version: int
    shards: tuple[str, ...]
    sent_at_ms: float


@dataclass(frozen=True, slots=True)
class Journal:
    """Everything that the checks compare.

    Parameters
    ----------
    began_at_ms, ended_at_ms : float
        Of the requests.
    exchanges, arrivals, injected, exits, tables : tuple
        In the order of their times.
    most_connections : dict of str to int
        Of each target at a time.
    """

    began_at_ms: float
    ended_at_ms: float
    exchanges: tuple[Exchange, ...] = ()
    arrivals: tuple[Arrival, ...] = ()
    injected: tuple[InjectedFault, ...] = ()
    exits: tuple[InstanceExit, ...] = ()
    tables: tuple[TableWritten, ...] = ()
    most_connections: dict[str, int] = field(default_factory=dict)
