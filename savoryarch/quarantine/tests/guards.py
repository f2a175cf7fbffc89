"""The guards of the quarantine, and the proofs that fail without them."""

from savoryarch.quarantine._state import Mark
from tests.guard import Guard

PROMISE = "A request that crashes targets is refused after two crashes, and no innocent one is."
CASES = "savoryarch/quarantine/tests/test_quarantine.py"
PROPERTY = f"{CASES}::test_at_most_two_crashes_and_only_the_guilty_is_quarantined"
DECIDE = "savoryarch.quarantine._decide"


def _false(*_):
    return False


def _no_mark(*_):
    return Mark()


def _unchanged(state, *_):
    return state


GUARDS = (
    Guard(
        "refuse a request after two crashes beyond its replies",
        PROMISE,
        DECIDE,
        "_deserves_quarantine",
        _false,
        (f"{CASES}::test_verdict", PROPERTY),
    ),
    Guard(
        "count the losses of one crash once",
        PROMISE,
        DECIDE,
        "_is_same_crash",
        _false,
        (f"{CASES}::test_verdict",),
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
        "let a suspect explain a crash",
        PROMISE,
        DECIDE,
        "_is_suspect_at",
        _false,
        (f"{CASES}::test_a_suspect_explains_the_crash_for_those_beside_it",),
    ),
    Guard(
        "let replies clear a request",
        PROMISE,
        DECIDE,
        "_add_reply",
        _unchanged,
        (f"{CASES}::test_verdict", PROPERTY),
    ),
    Guard(
        "remember replies from before the crash",
        PROMISE,
        DECIDE,
        "_first_mark",
        _no_mark,
        (f"{CASES}::test_replies_before_the_crash_and_lasting_losses",),
    ),
)
