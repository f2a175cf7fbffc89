"""What asks for admission and what comes of it."""

from dataclasses import dataclass

from savoryarch.model import Priority, RefusalReason


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that asks for admission.

    Parameters
    ----------
    request_id : str
        Unique within this instance and incarnation.
    pool : str
        Names the targets that it uses; pools don't hold each other up. Requests for the same
        services should name the same pool, for example the group of the services.
    caller : str
        Name of a declared caller; use one name for all others.
    search : str
        Name of the search or route; capacity is shared evenly between those of one caller.
    priority : Priority
        Priority class.
    deadline_at_ms : float
        When the answer is due.
    expected_duration_ms : float
        Time from admission to answer, as far as it is known.
    cost : float
        Sub-requests that it makes.
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
        """When it has to be admitted at the latest."""
        return self.deadline_at_ms - self.expected_duration_ms


@dataclass(frozen=True, slots=True)
class Admitted:
    """Run it now, and call `finish_request` when it ended."""


@dataclass(frozen=True, slots=True)
class Queued:
    """It waits; `admit_waiting` returns it as admitted or as expired.

    Parameters
    ----------
    wait_ms : float
        Expected time until it is admitted.
    """

    wait_ms: float


@dataclass(frozen=True, slots=True)
class Rejected:
    """It is refused, and nothing of it has run.

    Parameters
    ----------
    reason : RefusalReason
        ``OVERLOADED`` or ``DEADLINE_TOO_SHORT``.
    retry_after_ms : float or None
        When a resend may succeed; None if it would meet the same refusal.
    """

    reason: RefusalReason
    retry_after_ms: float | None


AdmissionOutcome = Admitted | Queued | Rejected
