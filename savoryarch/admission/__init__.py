"""Admission: who runs now, who waits and who is refused.

A pure library for the decisions on searches and routes::

    state = make_admission_state(AdmissionSettings())
    result = request_admission(state, ticket, now_ms)
    match result.outcome:
        case Admitted():                    # run it; call `finish_request` at its end
        case Queued(wait_ms=wait_ms):       # call `admit_waiting` (also at once), set a timer
        case Rejected(reason=reason):       # refuse it: nothing has run
    admitting = admit_waiting(state, now_ms)    # after each `finish_request`, and at `wake_at_ms`

Work in flight is limited per *pool*, the targets that some searches share, so that a slow pool
holds up no other. Within a pool the urgent class is served first, with a floor for the others;
within a class callers share by weight and the searches of a caller evenly (start-time fair
queueing), by deadline in the end. The limit grows while it holds work back and shrinks when the
median latency passes a tolerated multiple of that of an idle pool. A request is refused at once if
the wait that is ahead of it passes its deadline. Every operation takes O(log n) time.
"""

from savoryarch.admission._decide import (
    AdmissionResult,
    AdmitWaitingResult,
    admit_waiting,
    finish_request,
    request_admission,
    withdraw_ticket,
)
from savoryarch.admission._settings import (
    AdaptiveLimit,
    AdmissionSettings,
    FixedLimit,
    LimitPolicy,
    NoLimit,
)
from savoryarch.admission._state import AdmissionState, make_admission_state
from savoryarch.admission._ticket import AdmissionOutcome, Admitted, Queued, Rejected, Ticket

__all__ = [
    "AdaptiveLimit",
    "AdmissionOutcome",
    "AdmissionSettings",
    "AdmissionState",
    "Admitted",
    "FixedLimit",
    "LimitPolicy",
    "NoLimit",
    "AdmissionResult",
    "Queued",
    "AdmitWaitingResult",
    "Ticket",
    "Rejected",
    "finish_request",
    "make_admission_state",
    "request_admission",
    "admit_waiting",
    "withdraw_ticket",
]
