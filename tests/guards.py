"""Checks that each proof of a guard fails while the guard is disabled; run by ``make guards``.

The exit code is 1 if a proof passes without its guard. The product has no code for this: a guard
is disabled by replacing a function of that name while the proof runs.
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

TRACE_TEST = "tests/test_traces.py::test_trace_holds"
SEARCH_TESTS = "savoryarch/search/tests/test_properties.py"
ORDERS = "savoryarch/orders/tests/test_orders_properties.py"
POOL_TESTS = "savoryarch/entry/tests/test_target_pool.py"
LIMITS_TESTS = "savoryarch/targets/tests/test_limits.py"

ONE_SNAPSHOT = "Every answer comes from one snapshot of the indexes."
TRUE_COVERAGE = "Every answer states its coverage truly."
COMPLETE_ANSWER = "Every caller receives the whole answer to its own request."
NOT_RUN = "A refusal that says not run is true."
AT_MOST_ONCE = "A non-idempotent request runs at most once."
DRAINING = "A leaving target gets no new work after a few seconds."
SHUTDOWN = "Every planned stop is a graceful shutdown that cuts no request."
LIMITS_HOLD = "No target gets more connections than its limit."


def _ignore_snapshot(attempt: Any, reply: object) -> bool:
    return isinstance(reply, PartReturned) and reply.complete


def _ignore_truncation(attempt: Any, reply: object) -> bool:
    return isinstance(reply, PartReturned) and reply.snapshot == attempt.snapshot


def _return_true(*_: Any) -> bool:
    return True


def _return_false(*_: Any) -> bool:
    return False


def _undivided_limit(connection_limit: int, settings: Any, max_listed_instances: int) -> int:
    return connection_limit


def _no_unfinished_searches(state: Any) -> tuple[str, ...]:
    return ()


SEARCH_MODULE = "savoryarch.search._decide"

GUARDS: tuple[Guard, ...] = (
    Guard(
        "compare the snapshot of a part with the requested one",
        ONE_SNAPSHOT,
        SEARCH_MODULE,
        "is_complete_part",
        _ignore_snapshot,
        (f"{TRACE_TEST}[one-snapshot]", SEARCH_TESTS),
    ),
    Guard(
        "count a truncated part as left out",
        TRUE_COVERAGE,
        SEARCH_MODULE,
        "is_complete_part",
        _ignore_truncation,
        (f"{TRACE_TEST}[true-coverage]",),
    ),
    Guard(
        "check the request id of each reply",
        COMPLETE_ANSWER,
        "savoryarch.entry._operations",
        "AttemptOperation.owns_reply",
        _return_true,
        (POOL_TESTS,),
    ),
    Guard(
        "accept evidence that a draining target is live only if it is fresh",
        DRAINING,
        "savoryarch.targets._target_chart",
        "_is_fresh",
        _return_true,
        (f"{TRACE_TEST}[draining]",),
    ),
    Guard(
        "divide the connection limit between the entry instances",
        LIMITS_HOLD,
        "savoryarch.targets._decide",
        "connection_share",
        _undivided_limit,
        (LIMITS_TESTS,),
    ),
    Guard(
        "report a request as not run only if it cannot have run",
        NOT_RUN,
        "savoryarch.search._attempt_chart",
        "cannot_have_run",
        _return_true,
        (SEARCH_TESTS,),
    ),
    Guard(
        "wait for unfinished searches before the exit",
        SHUTDOWN,
        "savoryarch.tier._decide",
        "unfinished_searches",
        _no_unfinished_searches,
        (f"{TRACE_TEST}[shutdown]",),
    ),
)

PACKAGE_GUARDS = MEMBERSHIP_GUARDS + ADMISSION_GUARDS + QUARANTINE_GUARDS + FORWARDING_GUARDS
COMPONENTS = (
    ("savoryarch.configuration", CONFIGURATION_GUARDS, run_configuration_proof),
    ("savoryarch.orders", ORDERS_GUARDS, run_orders_proof),
)


@contextlib.contextmanager
def disabled(guard: Guard) -> Iterator[None]:
    """Disable the guard inside the block."""
    *owners, name = guard.attribute.split(".")
    target = import_module(guard.module)
    for owner in owners:
        target = getattr(target, owner)
    with patch.object(target, name, guard.replacement):
        yield


def proof_fails(guard: Guard, proof: str) -> bool:
    """Return whether a test fails without the guard."""
    with disabled(guard), contextlib.redirect_stdout(io.StringIO()):
        return pytest.main(["--no-header", "--exitfirst", proof]) == pytest.ExitCode.TESTS_FAILED


def component_proof_fails(
    package: str, guard: ComponentGuard, run_proof: Callable[[str], None], proof: str
) -> bool:
    """Return whether a component's own proof fails without the guard.

    Parameters
    ----------
    package : str
        Package of the component.
    guard : ComponentGuard
        The guard to disable.
    run_proof : callable
        Function of the component that runs a proof by name.
    proof : str
        Name of the proof.
    """
    try:
        with guard.disabled(package):
            run_proof(proof)
    except (AssertionError, KeyError):
        return True
    return False


def main() -> int:
    """Print one row per guard and proof; return 1 if a proof passes without its guard, else 0."""
    rows = [
        (guard.promise, guard.name, proof, proof_fails(guard, proof))
        for guard in GUARDS + PACKAGE_GUARDS
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
