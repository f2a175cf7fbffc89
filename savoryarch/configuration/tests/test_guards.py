"""Each proof fails while its guard is disabled, so that the proof does test the guard."""

import pytest

from savoryarch.configuration.tests.guards import GUARDS, run_proof

CASES = [(guard, proof) for guard in GUARDS for proof in guard.proofs]


@pytest.mark.parametrize(
    ("guard", "proof"), CASES, ids=[f"{guard.name}/{proof}" for guard, proof in CASES]
)
def test_proof_fails_without_the_guard(guard, proof):
    with guard.disabled("savoryarch.configuration"), pytest.raises((AssertionError, KeyError)):
        run_proof(proof)
