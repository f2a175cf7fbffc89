"""The guards of admission, and the proofs that fail without them."""

from tests.guard import Guard

EARLY = "A request that cannot be answered in time is refused before any of it has run."
FAIR = "No caller, search or class holds up the others."
CASES = "savoryarch/admission/tests/test_admission.py"
PROPERTY = f"{CASES}::test_every_request_gets_one_outcome_and_limits_hold"
DECIDE = "savoryarch.admission._decide"
POOL = "savoryarch.admission._pool"


def _no_wait(*_):
    return 0.0


def _nobody_expires(state, now_ms):
    return state, ()


def _true(*_):
    return True


def _first(first, *_):
    return first


def _everybody_waits(state):
    return lambda ticket: True


GUARDS = (
    Guard(
        "refuse a request whose wait passes its deadline",
        EARLY,
        DECIDE,
        "expected_wait_ms",
        _no_wait,
        (f"{CASES}::test_a_request_that_cannot_be_in_time_is_refused_at_once",),
    ),
    Guard(
        "give up a request that has waited too long",
        EARLY,
        DECIDE,
        "_expire",
        _nobody_expires,
        (f"{CASES}::test_waiting_requests_expire", PROPERTY),
    ),
    Guard(
        "serve within the limit of the pool",
        FAIR,
        POOL,
        "has_room",
        _true,
        (PROPERTY,),
    ),
    Guard(
        "give lower classes their floor",
        FAIR,
        POOL,
        "_settle_credits",
        _first,
        (f"{CASES}::test_urgent_first_with_a_floor",),
    ),
    Guard(
        "pass over requests that were withdrawn",
        FAIR,
        DECIDE,
        "_is_waiting",
        _everybody_waits,
        (f"{CASES}::test_a_withdrawn_request_is_not_admitted",),
    ),
)
