"""Requests for admission, and their outcomes."""

from dataclasses import dataclass

from savoryarch.model import Priority, RefusalReason


@dataclass(frozen=True, slots=True)
class Ticket:
    """What admission control has to know of a request.

    Parameters
    ----------
    request_id : str
        Unique within this instance and incarnation.
    pool : str
        Name of the set of targets that it uses. Each pool has its own limit. Requests for the
        same services should name the same pool, for example the group of the services.
    caller : str
        Name of a declared caller. All undeclared callers should have one name in common.
    search : str
        Name of the search or route. The searches and routes of one caller share its capacity
        evenly.
    priority : Priority
        Priority class.
    deadline_at_ms : float
        When the answer is due, on the clock of the process.
    expected_duration_ms : float
        Expected time from admission to answer, as far as it is known.
    cost : float
        Number of sub-requests that it sends.
    weight : float
        Declared weight of the caller.
    """

    request_id: str
    pool: str
    caller: str
    search: str
    priority: Priority
    deadline_at_ms: float
    expected_duration_ms: float
    cost: float
    weight: float = 1.0

    @property
    def latest_start_at_ms(self) -> float:
        """The latest time of admission at which its deadline can be met."""
        return self.deadline_at_ms - self.expected_duration_ms


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may run now; `finish_request` has to be called when it has ended."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request waits; a later `admit_waiting` returns it as admitted or as expired.

    Parameters
    ----------
    wait_ms : float
        Expected time until it is admitted.
    """

    wait_ms: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """The request is refused, and nothing of it has run.

    Parameters
    ----------
    reason : RefusalReason
        ``OVERLOADED`` or ``DEADLINE_TOO_SHORT``.
    retry_after_ms : float or None
        Time in ms after which a resend may succeed; None if a resend would be refused as well.
    """

    reason: RefusalReason
    retry_after_ms: float | None


AdmissionOutcome = Admitted | Queued | Rejected
