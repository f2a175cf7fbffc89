"""Guards against write rates and values beyond the limits of the store, under load.

Both come about when orders arrive faster than buckets may be written, and when buckets fill up
because their claims are too young to be dropped.
"""

from collections import Counter
from dataclasses import replace

from savoryarch.model import Refused, RouteReturned, SwapKey
from savoryarch.orders import OrdersSettings
from savoryarch.orders.tests.simulation import Simulation, make_declarations

ORDERS = 1000
INTERVAL_MS = 2.0
BUCKET_BYTES = 8192
WRITES_PER_S = 200
SETTINGS = OrdersSettings(
    buckets=16,
    bucket_bytes=BUCKET_BYTES,
    recorded_body_bytes=200,
    minimum_retention_ms=60_000.0,
)


def check_load():
    """Send 500 orders per second to three instances until the buckets are full."""
    declarations = make_declarations(deadline_ms=3000.0, slots=10_000)
    simulation = Simulation(("a", "b", "c"), SETTINGS, declarations=declarations)
    # Orders do not watch keys, so that the store needs little history.
    simulation.store = replace(simulation.store, history_limit=2)
    simulation.target_reply = lambda run: RouteReturned(201, b"x" * 150)
    for number in range(ORDERS):
        instance = "abc"[number % 3]
        simulation.schedule(
            number * INTERVAL_MS, lambda n=number, i=instance: simulation.send_request(i, f"k{n}")
        )
    simulation.run(10_000)
    swaps = [(at_ms, e) for at_ms, _, e in simulation.effects if isinstance(e, SwapKey)]
    per_second = Counter(int(at_ms // 1000) for at_ms, _ in swaps)
    assert max(per_second.values()) <= WRITES_PER_S
    assert max(len(swap.value) for _, swap in swaps) <= BUCKET_BYTES
    outcomes = [outcome for (outcome,) in simulation.outcomes.values()]
    refused = [outcome for outcome in outcomes if isinstance(outcome, Refused)]
    assert len(outcomes) == ORDERS
    assert refused
    assert {(outcome.reason.value, outcome.not_run) for outcome in refused} == {
        ("overloaded", True)
    }
    assert sum(simulation.runs.values()) == ORDERS - len(refused)


def test_write_rate_and_value_sizes_stay_in_bounds_when_buckets_fill_up():
    check_load()
