"""Memory of the state of each control component with 740 nodes and 5,700 targets.

Run with ``python -m benchmarks.bench_memory``.
"""

import gc
import tracemalloc
from collections.abc import Callable

from msgspec import json

from benchmarks.bench_configuration import make_large_record
from savoryarch.membership import MembershipSettings, decide_membership, make_membership_state
from savoryarch.model import (
    DeclarationsInForce,
    InstanceRole,
    InstancesListed,
    ListedInstance,
    ListedState,
    Started,
)
from savoryarch.quarantine import (
    QuarantineSettings,
    make_quarantine_state,
    record_attempt_started,
    record_crash,
)
from savoryarch.targets import TargetsSettings, decide_targets, make_targets_state

NODES = 740
CRASH_RECORDS = 1_000  # fingerprints of requests that were in flight in a crash
MAX_CONTROL_KB = 32 * 1024
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f")


def measure_kb(build: Callable[[], object]) -> float:
    """Return the memory in KB that is in use after an object was built and still exists."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used_kb = tracemalloc.get_traced_memory()[0] / 1024
    tracemalloc.stop()
    del built
    return used_kb


def build_membership() -> object:
    rows = tuple(
        ListedInstance(
            f"entry-{number}",
            InstanceRole.ENTRY,
            ZONES[number % len(ZONES)],
            f"10.0.{number // 200}.{number % 200}",
            7000,
            ListedState.LIVE,
        )
        for number in range(NODES)
    )
    state = make_membership_state(MembershipSettings(), "10.0.0.0", 7000)
    state = decide_membership(state, Started("entry-0", "zone-a", 1), 0.0).state
    return decide_membership(state, InstancesListed(rows), 1.0).state


def build_targets() -> object:
    state = make_targets_state(TargetsSettings("zone-a"))
    declarations = make_large_record().declarations
    return decide_targets(state, DeclarationsInForce(declarations), 0.0).state


def build_quarantine() -> object:
    state = make_quarantine_state(QuarantineSettings())
    for number in range(CRASH_RECORDS):
        fingerprint = f"{number:032x}"
        state = record_attempt_started(state, f"search/{number}", "s", f"t{number}", fingerprint)
        state = record_crash(state, f"t{number}", float(number)).state
    return state


def main() -> None:
    sizes_kb = {
        "membership_kb": measure_kb(build_membership),
        "configuration_kb": measure_kb(make_large_record),
        "targets_kb": measure_kb(build_targets),
        "quarantine_kb": measure_kb(build_quarantine),
    }
    for name, used_kb in sizes_kb.items():
        print(f"{name.removesuffix('_kb'):>14}: {used_kb:8.0f} KB")
    total_kb = sum(sizes_kb.values())
    goal = {
        "name": "state for control at 740 nodes and 5,700 targets",
        "measured": round(total_kb),
        "bound": MAX_CONTROL_KB,
        "unit": "KB",
        "holds": total_kb <= MAX_CONTROL_KB,
        "baseline": None,
    }
    slopes = {name: round(used_kb) for name, used_kb in sizes_kb.items()}
    print(json.encode({"goals": [goal], "slopes": slopes}).decode())


if __name__ == "__main__":
    main()
