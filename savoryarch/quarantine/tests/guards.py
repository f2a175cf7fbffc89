"""Guards of the quarantine, and the proofs that fail without them."""

from savoryarch.quarantine._state import ServiceHistory
from tests.guard import Guard

PROMISE = "A request that crashes targets is refused after two crashes, and no harmless one is."
CASES = "savoryarch/quarantine/tests/test_quarantine.py"
PROPERTY = f"{CASES}::test_at_most_two_targets_crash_and_no_harmless_request_is_quarantined"
DECIDE = "savoryarch.quarantine._decide"


def _false(*_):
    return False


def _empty_history(*_):
    return ServiceHistory()


def _unchanged(state, *_):
    return state


GUARDS = (
    Guard(
        "refuse a request with two crashes more than replies",
        PROMISE,
        DECIDE,
        "_reaches_crash_limit",
        _false,
        (f"{CASES}::test_crashes_and_replies_lead_to_the_verdict", PROPERTY),
    ),
    Guard(
        "count several lost connections as one crash",
        PROMISE,
        DECIDE,
        "_is_same_crash",
        _false,
        (f"{CASES}::test_crashes_and_replies_lead_to_the_verdict",),
    ),
    Guard(
        "run a suspect alone",
        PROMISE,
        DECIDE,
        "_is_suspect",
        _false,
        (f"{CASES}::test_a_suspect_runs_alone_and_first_where_it_is_suspected",),
    ),
    Guard(
        "blame only suspects for a crash",
        PROMISE,
        DECIDE,
        "_is_suspect_at",
        _false,
        (f"{CASES}::test_only_the_suspect_is_blamed_for_a_crash",),
    ),
    Guard(
        "let replies clear a request",
        PROMISE,
        DECIDE,
        "_count_reply",
        _unchanged,
        (f"{CASES}::test_crashes_and_replies_lead_to_the_verdict", PROPERTY),
    ),
    Guard(
        "count replies from before the crash",
        PROMISE,
        DECIDE,
        "_initial_history",
        _empty_history,
        (f"{CASES}::test_replies_before_the_crash_and_repeated_losses",),
    ),
)
