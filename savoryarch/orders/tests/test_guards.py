"""Checks that every proof holds, and that it fails without the guard that it proves."""

import pytest

from savoryarch.orders.tests.guards import GUARDS, run_proof

CASES = [(guard, proof) for guard in GUARDS for proof in guard.proofs]
PROOFS = sorted({proof for _, proof in CASES})


@pytest.mark.parametrize("proof", PROOFS)
def test_proof_holds_with_all_guards(proof):
    run_proof(proof)


@pytest.mark.parametrize(
    ("guard", "proof"), CASES, ids=[f"{guard.name}: {proof}" for guard, proof in CASES]
)
def test_proof_fails_without_its_guard(guard, proof):
    with guard.disabled("savoryarch.orders"), pytest.raises(AssertionError):
        run_proof(proof)
