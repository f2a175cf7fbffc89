"""CPU time of an admission step with 10, 1,000 and 10,000 waiting requests.

Run with ``python -m benchmarks.bench_admission``. In a step a request arrives, a running one
finishes and a waiting one is admitted.
"""

import json
from time import process_time_ns

from savoryarch.admission import (
    AdmissionSettings,
    AdmissionState,
    FixedLimit,
    Ticket,
    admit_waiting,
    finish_request,
    make_admission_state,
    request_admission,
)
from savoryarch.model import Priority

WAITING_COUNTS = (10, 1000, 10_000)
STEPS = 2000
CALLERS = 20
# Maximum of the cost with 10,000 waiting requests, relative to 10. The logarithm of the number is
# 4 times as large.
MAX_COST_RATIO = 3.0
PRIORITIES = (Priority.URGENT, Priority.NORMAL, Priority.BATCH)


def main() -> None:
    costs_us = {waiting: measure_step_us(waiting) for waiting in WAITING_COUNTS}
    for waiting, cost_us in costs_us.items():
        print(f"{waiting:6d} waiting: {cost_us:6.1f} us per step")
    ratio = costs_us[WAITING_COUNTS[-1]] / costs_us[WAITING_COUNTS[0]]
    goals = [
        {
            "name": "admission step at 10,000 / at 10 waiting",
            "measured": ratio,
            "bound": MAX_COST_RATIO,
            "unit": "ratio",
            "holds": ratio <= MAX_COST_RATIO,
            "baseline": None,
        }
    ]
    slopes = {"admission_us": round(max(costs_us.values()), 1)}
    print(json.dumps({"goals": goals, "us_per_step": costs_us, "slopes": slopes}))


def measure_step_us(waiting: int) -> float:
    """Return the CPU time of a step in us while `waiting` requests wait."""
    state = make_busy_state(waiting)
    running = next(iter(state.running))
    started_ns = process_time_ns()
    for number in range(STEPS):
        state = request_admission(state, make_ticket(waiting + number), 0.0).state
        state = finish_request(state, running, 0.0)
        result = admit_waiting(state, 0.0)
        state, running = result.state, result.admitted[0].request_id
    return (process_time_ns() - started_ns) / 1000.0 / STEPS


def make_busy_state(waiting: int) -> AdmissionState:
    """Return a state with one running request, which fills the limit, and the waiting ones."""
    settings = AdmissionSettings(
        policy=FixedLimit(1.0),
        urgent_headroom=0.0,
        max_waiting=1_000_000,
        max_waiting_per_caller=1_000_000,
    )
    state = make_admission_state(settings)
    for number in range(waiting + 1):
        state = request_admission(state, make_ticket(-number), 0.0).state
    return state


def make_ticket(number: int) -> Ticket:
    return Ticket(
        request_id=f"r{number}",
        pool="balcao",
        caller=f"caller-{number % CALLERS}",
        search=f"search-{number % 3}",
        priority=PRIORITIES[number % 3],
        deadline_at_ms=1e9 + number % 997,  # various deadlines, none of which passes
        expected_duration_ms=20.0,
        cost=10.0,
    )


if __name__ == "__main__":
    main()
