"""Admission control: decides which requests run now, which wait and which are rejected.

A library of pure functions for the decisions on searches and routes::

    state = make_admission_state(AdmissionSettings())
    result = request_admission(state, ticket, now_ms)
    match result.outcome:
        case Admitted():                # run it; call `finish_request` when it has ended
        case Queued(wait_ms=wait_ms):   # call `admit_waiting` now, and set a timer
        case Rejected(reason=reason):   # refuse it: nothing of it has run
    result = admit_waiting(state, now_ms)   # after each `finish_request`, and at `wake_at_ms`

The work in flight is limited per *pool*, the targets that some searches share, so that a slow pool
does not delay requests for the others. Within a pool, the urgent class is served first, with a
guaranteed share for each lower class. Within a class, callers share by weight and the searches of
a caller share evenly (start-time fair queueing); the requests of one search are served by deadline.
The limit grows while it holds requests back. It shrinks when the median latency exceeds a tolerated
multiple of the latency of an idle pool. A request is rejected immediately if its expected wait
exceeds the time until its deadline. Every operation takes O(log n) time.
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
