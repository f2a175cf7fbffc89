"""Admission: who runs now, who waits and who is refused.

A pure library for the decisions on searches and routes::

    state = make_admission_state(AdmissionSettings())
    offered = offer(state, ticket, now_ms)
    match offered.outcome:
        case Admitted():                    # run it; call `finish` at its end
        case Queued(wait_ms=wait_ms):       # call `take` (also at once), set a timer
        case TurnedAway(reason=reason):     # refuse it: nothing has run
    taken = take(state, now_ms)             # after each `finish`, and at `taken.wake_at_ms`

Work in flight is limited per *pool*, the targets that some searches share, so that a slow pool
holds up no other. Within a pool the urgent class is served first, with a floor for the others;
within a class callers share by weight and the searches of a caller evenly (start-time fair
queueing), by deadline in the end. The limit grows while it holds work back and shrinks when the
median latency passes a tolerated multiple of that of an idle pool. A request is refused at once if
the wait that is ahead of it passes its deadline. Every operation takes O(log n) time.
"""

from savoryarch.admission._decide import Offered, Taken, finish, offer, take, withdraw_ticket
from savoryarch.admission._settings import (
    AdaptiveLimit,
    AdmissionSettings,
    FixedLimit,
    LimitPolicy,
    NoLimit,
)
from savoryarch.admission._state import AdmissionState, make_admission_state
from savoryarch.admission._ticket import AdmissionOutcome, Admitted, Queued, Ticket, TurnedAway

__all__ = [
    "AdaptiveLimit",
    "AdmissionOutcome",
    "AdmissionSettings",
    "AdmissionState",
    "Admitted",
    "FixedLimit",
    "LimitPolicy",
    "NoLimit",
    "Offered",
    "Queued",
    "Taken",
    "Ticket",
    "TurnedAway",
    "finish",
    "make_admission_state",
    "offer",
    "take",
    "withdraw_ticket",
]
