"""Guards of admission control, each with the tests that fail without it."""

from tests.guard import Guard

EARLY = "A request that cannot be answered in time is refused before any of it has run."
FAIR = "No caller, search or class delays the others."
CASES = "savoryarch/admission/tests/test_admission.py"
PROPERTY = f"{CASES}::test_every_request_gets_one_outcome_and_limits_hold"
DECIDE = "savoryarch.admission._decide"
POOL = "savoryarch.admission._pool"


def _no_wait(*_):
    return 0.0


def _none_expires(state, now_ms):
    return state, ()


def _return_true(*_):
    return True


def _return_first_argument(first, *_):
    return first


def _all_wait(state):
    return lambda ticket: True


GUARDS = (
    Guard(
        "refuse a request whose wait passes its deadline",
        EARLY,
        DECIDE,
        "expected_wait_ms",
        _no_wait,
        (f"{CASES}::test_a_request_that_cannot_meet_its_deadline_is_rejected_immediately",),
    ),
    Guard(
        "expire a request that has waited too long",
        EARLY,
        DECIDE,
        "_expire",
        _none_expires,
        (f"{CASES}::test_waiting_requests_expire", PROPERTY),
    ),
    Guard(
        "keep the limit of the pool",
        FAIR,
        POOL,
        "has_capacity",
        _return_true,
        (PROPERTY,),
    ),
    Guard(
        "give lower classes their guaranteed share",
        FAIR,
        POOL,
        "_update_credits",
        _return_first_argument,
        (f"{CASES}::test_urgent_requests_are_first_and_lower_classes_keep_their_share",),
    ),
    Guard(
        "skip requests that were withdrawn",
        FAIR,
        DECIDE,
        "_is_waiting",
        _all_wait,
        (f"{CASES}::test_a_withdrawn_request_is_not_admitted",),
    ),
)
