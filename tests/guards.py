"""Takes each guard away and runs the proofs that must catch it; run by ``make guards``.

Exit code 1 if a guard's removal is caught by none of its proofs. Nothing of this is in the
product: a guard is taken away by replacing a named function while the proofs run.
"""

import contextlib
import io
import sys
from collections.abc import Callable, Iterator
from importlib import import_module
from typing import Any
from unittest.mock import patch

import pytest

from savoryarch.admission.tests.guards import GUARDS as ADMISSION_GUARDS
from savoryarch.configuration.tests.guards import GUARDS as CONFIGURATION_GUARDS
from savoryarch.configuration.tests.guards import run_proof as run_configuration_proof
from savoryarch.forwarding.tests.guards import GUARDS as FORWARDING_GUARDS
from savoryarch.membership.tests.guards import GUARDS as MEMBERSHIP_GUARDS
from savoryarch.model import PartReturned
from savoryarch.orders.tests.guards import GUARDS as ORDERS_GUARDS
from savoryarch.orders.tests.guards import run_proof as run_orders_proof
from savoryarch.quarantine.tests.guards import GUARDS as QUARANTINE_GUARDS
from tests.guard import ComponentGuard, Guard

TRACES = "tests/test_traces.py::test_trace_holds"
SEARCHES = "savoryarch/search/tests/test_properties.py"
ORDERS = "savoryarch/orders/tests/test_orders_properties.py"
POOL = "savoryarch/entry/tests/test_target_pool.py"
LIMITS = "savoryarch/targets/tests/test_limits.py"

ONE_SNAPSHOT = "Every answer comes from one snapshot of the indexes."
TRUE_COVERAGE = "Every answer states its coverage truly."
COMPLETE_ANSWER = "Every caller receives the whole answer to its own request."
NOT_RUN = "A refusal that says not run is true."
AT_MOST_ONCE = "A non-idempotent request runs at most once."
DRAINING = "A leaving target gets no new work after a few seconds."
SHUTDOWN = "Every planned stop is a graceful shutdown that cuts no request."
LIMITS_HOLD = "No target gets more connections than its limit."


def _any_snapshot(attempt: Any, reply: object) -> bool:
    return isinstance(reply, PartReturned) and reply.complete


def _cut_short(attempt: Any, reply: object) -> bool:
    return isinstance(reply, PartReturned) and reply.snapshot == attempt.snapshot


def _true(*_: Any) -> bool:
    return True


def _false(*_: Any) -> bool:
    return False


def _whole_limit(connection_limit: int, settings: Any, max_listed_instances: int) -> int:
    return connection_limit


def _nothing_unfinished(state: Any) -> tuple[str, ...]:
    return ()


SEARCH_DECIDE = "savoryarch.search._decide"

GUARDS: tuple[Guard, ...] = (
    Guard(
        "compare the part's snapshot with the asked one",
        ONE_SNAPSHOT,
        SEARCH_DECIDE,
        "is_complete_part",
        _any_snapshot,
        (f"{TRACES}[one-snapshot]", SEARCHES),
    ),
    Guard(
        "count a part that was cut short as left out",
        TRUE_COVERAGE,
        SEARCH_DECIDE,
        "is_complete_part",
        _cut_short,
        (f"{TRACES}[true-coverage]",),
    ),
    Guard(
        "check the request id of each reply",
        COMPLETE_ANSWER,
        "savoryarch.entry._operations",
        "AttemptOperation.owns_reply",
        _true,
        (POOL,),
    ),
    Guard(
        "believe a positive sign of a draining target only if it is fresh",
        DRAINING,
        "savoryarch.targets._target_chart",
        "_is_fresh",
        _true,
        (f"{TRACES}[draining]",),
    ),
    Guard(
        "divide the connection limit between the entry instances",
        LIMITS_HOLD,
        "savoryarch.targets._decide",
        "connection_share",
        _whole_limit,
        (LIMITS,),
    ),
    Guard(
        "say not run only of what cannot have run",
        NOT_RUN,
        "savoryarch.search._attempt_chart",
        "cannot_have_run",
        _true,
        (SEARCHES,),
    ),
    Guard(
        "wait for unfinished searches before the exit",
        SHUTDOWN,
        "savoryarch.tier._decide",
        "unfinished_searches",
        _nothing_unfinished,
        (f"{TRACES}[shutdown]",),
    ),
)

OTHER_GUARDS = MEMBERSHIP_GUARDS + ADMISSION_GUARDS + QUARANTINE_GUARDS + FORWARDING_GUARDS
COMPONENTS = (
    ("savoryarch.configuration", CONFIGURATION_GUARDS, run_configuration_proof),
    ("savoryarch.orders", ORDERS_GUARDS, run_orders_proof),
)


@contextlib.contextmanager
def disabled(guard: Guard) -> Iterator[None]:
    """Run with the guard taken away."""
    *owners, name = guard.attribute.split(".")
    target = import_module(guard.module)
    for owner in owners:
        target = getattr(target, owner)
    with patch.object(target, name, guard.replacement):
        yield


def proof_fails(guard: Guard, proof: str) -> bool:
    """Return whether the proof fails without the guard."""
    with disabled(guard), contextlib.redirect_stdout(io.StringIO()):
        return pytest.main(["--no-header", "--exitfirst", proof]) == pytest.ExitCode.TESTS_FAILED


def component_proof_fails(
    package: str, guard: ComponentGuard, run_proof: Callable[[str], None], proof: str
) -> bool:
    """Return whether a subject's own proof fails without the guard."""
    try:
        with guard.disabled(package):
            run_proof(proof)
    except (AssertionError, KeyError):
        return True
    return False


def main() -> int:
    """Print one row per guard and proof; return 1 if a proof catches nothing."""
    rows = [
        (guard.promise, guard.name, proof, proof_fails(guard, proof))
        for guard in GUARDS + OTHER_GUARDS
        for proof in guard.proofs
    ]
    rows += [
        (
            guard.promise,
            guard.name,
            f"{package}: {proof}",
            component_proof_fails(package, guard, run_proof, proof),
        )
        for package, guards, run_proof in COMPONENTS
        for guard in guards
        for proof in guard.proofs
    ]
    for promise, name, proof, caught in rows:
        print(f"{'caught' if caught else 'MISSED'} | {promise} | without: {name} | {proof}")
    missed = sum(not caught for *_, caught in rows)
    print(f"{len(rows)} proofs without their guard, {missed} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
