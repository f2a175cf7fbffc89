"""Control cost of entry instances without requests, as real processes: bytes, CPU, memory, threads.

Run with ``python -m benchmarks.bench_control_processes [--seconds S] [--largest N]``. The cost
includes all messages to peers, the store and the instance list: heartbeats, configuration and
watches. Bytes are those of frames between peers, without the headers of TCP and IP.
"""

import argparse
import json
import os
import re
import statistics
from dataclasses import dataclass
from pathlib import Path
from threading import Event

import requests

from savoryarch_standins.harness import Cluster, ClusterPlan, EntryPlan

ZONES = ("zone-a", "zone-b", "zone-c")
STABILISATION_S = 10.0
HTTP_TIMEOUT_S = 10.0
MAX_CONTROL_BYTES_PER_S = 9000.0
MAX_CONTROL_CORE_SHARE = 0.015
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PEER_BYTES_PATTERN = re.compile(r'savoryarch_peer_bytes_total\{[^}]*reason="(\w+)"\} ([\d.]+)')


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """CPU time and bytes between peers of one process since its start."""

    cpu_s: float
    sent_bytes: float
    received_bytes: float


@dataclass(frozen=True, slots=True)
class InstanceCost:
    """Medians over the instances of a cluster of `instances`; `core_share` 1.0 is one full core."""

    instances: int
    sent_bytes_per_s: float
    received_bytes_per_s: float
    core_share: float
    memory_kb: float
    threads: float


def read_usage(process):
    """Return the usage of a process from ``/proc/PID/stat`` and its metrics."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    metrics = requests.get(
        f"http://{process.address('operators')}/metrics", timeout=HTTP_TIMEOUT_S
    ).text
    counted = {reason: float(value) for reason, value in PEER_BYTES_PATTERN.findall(metrics)}
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S  # in user and in system mode
    return ProcessUsage(cpu_s, counted.get("sent", 0.0), counted.get("received", 0.0))


def read_status(process, key):
    """Return a number from ``/proc/PID/status``; memory is in KB."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    return int(re.search(rf"{key}:\s+(\d+)", status)[1])


def measure_cost(count, duration_s):
    """Start a cluster of `count` instances and return the cost per instance without requests."""
    entries = tuple(EntryPlan(f"entry-{n}", ZONES[n % 3]) for n in range(count))
    with Cluster(ClusterPlan(targets="", entries=entries)) as cluster:
        processes = list(cluster.entries.values())
        pause = Event()
        pause.wait(STABILISATION_S)
        before = [read_usage(process) for process in processes]
        pause.wait(duration_s)
        after = [read_usage(process) for process in processes]
        pairs = list(zip(before, after, strict=True))

        def rate(name):
            return statistics.median(
                (getattr(new, name) - getattr(old, name)) / duration_s for old, new in pairs
            )

        return InstanceCost(
            count,
            rate("sent_bytes"),
            rate("received_bytes"),
            rate("cpu_s"),
            statistics.median(read_status(process, "VmRSS") for process in processes),
            statistics.median(read_status(process, "Threads") for process in processes),
        )


def make_goal(name, measured, bound, unit):
    return {
        "name": name,
        "measured": round(measured, 5),
        "bound": bound,
        "unit": unit,
        "holds": measured <= bound,
        "baseline": None,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--largest", type=int, default=64)
    arguments = parser.parse_args()
    print("instances  sent B/s  received B/s  core share  memory KB  threads")
    costs = []
    for count in (count for count in (4, 16, 64) if count <= arguments.largest):
        cost = measure_cost(count, arguments.seconds)
        costs.append(cost)
        print(
            f"{cost.instances:9}  {cost.sent_bytes_per_s:8.0f}  {cost.received_bytes_per_s:12.0f}"
            f"  {cost.core_share:10.4f}  {cost.memory_kb:9.0f}  {cost.threads:7.0f}",
            flush=True,
        )
    first, last = costs[0], costs[-1]
    growth = last.sent_bytes_per_s / first.sent_bytes_per_s
    goals = [
        make_goal(
            f"peer bytes sent at {last.instances}",
            last.sent_bytes_per_s,
            MAX_CONTROL_BYTES_PER_S,
            "B/s",
        ),
        make_goal(
            f"core share at {last.instances}", last.core_share, MAX_CONTROL_CORE_SHARE, "cores"
        ),
        make_goal(f"peer bytes, {last.instances} to {first.instances}", growth, 1.5, "ratio"),
    ]
    print(json.dumps({"goals": goals}))


if __name__ == "__main__":
    main()
