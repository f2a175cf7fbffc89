"""CPU time of a transition: a state machine of the library automat compared with `Chart.step`.

Run with ``python -m benchmarks.bench_charts``.
"""

import time
from collections.abc import Callable
from statistics import median

from msgspec import json

from savoryarch.charts import load_chart, make_machine

CYCLES = 20_000
ROUNDS = 5
MAX_TRANSITION_US = 2.0
CYCLE = ("assigned", "replied")


def measure_transition_us(cycle: Callable[[], None]) -> float:
    """Return the median CPU time of one transition in us; a cycle has two transitions."""
    samples = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for _ in range(CYCLES):
            cycle()
        samples.append((time.process_time() - started_s) * 1e6 / CYCLES / len(CYCLE))
    return median(samples)


def make_automat_cycle() -> Callable[[], None]:
    machine = make_machine(load_chart("connection"), lambda action: None)
    machine.connected()

    def cycle() -> None:
        machine.assigned()
        machine.replied()

    return cycle


def make_table_cycle() -> Callable[[], None]:
    chart = load_chart("connection")
    start = chart.step(chart.initial, "connected").next_state

    def perform(action: str) -> None:
        pass

    def cycle() -> None:
        state = start
        for event in CYCLE:
            transition = chart.step(state, event)
            state = transition.next_state
            for action in transition.actions:
                perform(action)

    return cycle


def main() -> None:
    automat_us, table_us = measure_transition_us(make_automat_cycle()), measure_transition_us(
        make_table_cycle()
    )
    print(f"automat: {automat_us:.2f} us a transition\ntable:   {table_us:.2f} us a transition")
    goal = {
        "name": "table transition",
        "measured": round(table_us, 3),
        "bound": MAX_TRANSITION_US,
        "unit": "us",
        "holds": table_us <= MAX_TRANSITION_US,
        "baseline": round(automat_us, 3),
    }
    print(json.encode({"goals": [goal]}).decode())


if __name__ == "__main__":
    main()
