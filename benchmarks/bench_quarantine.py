"""CPU time of the quarantine per attempt with 10, 1,000 and 10,000 records of crashes.

Run with ``python -m benchmarks.bench_quarantine``. For each attempt the quarantine checks whether
it may be sent and records its start and its end. The fingerprint, which a query needs once, is
measured separately.
"""

import json
from time import process_time_ns

from savoryarch.quarantine import (
    CrashReported,
    QuarantineSettings,
    check_attempt,
    fingerprint_request,
    handle_quarantine_message,
    make_quarantine_state,
    record_attempt_ended,
    record_attempt_started,
)

RECORD_COUNTS = (10, 1000, 10_000)
STEPS = 5000
MAX_COST_RATIO = 2.0
BODY = b'{"query": "' + b"hinge " * 40 + b'"}'


def main() -> None:
    costs_us = {records: measure_attempt_us(records) for records in RECORD_COUNTS}
    for records, cost_us in costs_us.items():
        print(f"{records:6d} records: {cost_us:5.1f} us per attempt")
    fingerprint_us = measure_fingerprint_us()
    print(f"fingerprint of {len(BODY)} bytes: {fingerprint_us:.2f} us per query")
    ratio = costs_us[RECORD_COUNTS[-1]] / costs_us[RECORD_COUNTS[0]]
    goals = [
        {
            "name": "quarantine per attempt at 10,000 / at 10 records",
            "measured": ratio,
            "bound": MAX_COST_RATIO,
            "unit": "ratio",
            "holds": ratio <= MAX_COST_RATIO,
            "baseline": None,
        }
    ]
    slopes = {"quarantine_us": round(max(costs_us.values()), 1)}
    print(json.dumps({"goals": goals, "us_per_attempt": costs_us, "slopes": slopes}))


def measure_attempt_us(records: int) -> float:
    """Return the CPU time per attempt in us while the quarantine holds `records` crash records."""
    state = make_quarantine_state(QuarantineSettings(max_records=100_000))
    for number in range(records):
        report = CrashReported("balcao-01", f"t{number}", (f"{number:016x}",))
        state = handle_quarantine_message(state, report, 0.0).state
    fingerprint = fingerprint_request("balcao", BODY)
    started_ns = process_time_ns()
    for number in range(STEPS):
        target_id, attempt_id = f"t{number % 30}", f"search/{number}"
        check_attempt(state, fingerprint, "balcao-01", target_id, 1.0)
        state = record_attempt_started(state, attempt_id, "balcao-01", target_id, fingerprint)
        state = record_attempt_ended(state, attempt_id, target_id, replied=True).state
    return (process_time_ns() - started_ns) / 1000.0 / STEPS


def measure_fingerprint_us() -> float:
    """Return the CPU time of the fingerprint of one query in us."""
    started_ns = process_time_ns()
    for _ in range(STEPS):
        fingerprint_request("balcao", BODY)
    return (process_time_ns() - started_ns) / 1000.0 / STEPS


if __name__ == "__main__":
    main()
