"""CPU time of an entry instance for a forwarded query, with and without its log lines.

Run with ``python -m benchmarks.bench_forwarding [--queries N]``.
"""

import argparse
import json
import tempfile
from os import sysconf
from pathlib import Path

from savoryarch_soak._small_deployment import SmallDeployment, send_request
from savoryarch_standins.harness import ManagedProcess

WARM_UP_QUERIES = 200
MAX_QUERY_CPU_MS = 2.5  # required by the users for a query to ten shards
MAX_LOG_SHARE = 0.05  # of the CPU time, for log lines
_TICK_MS = 1000.0 / sysconf("SC_CLK_TCK")


def read_cpu_ms(process: ManagedProcess) -> float:
    """Return the CPU time in ms that a process has used since its start, user and system."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_MS  # in user and in system mode


def measure_query_cpu_ms(
    deployment: SmallDeployment, log_level: str, route: str, queries: int
) -> float:
    """Return the CPU time in ms per query of a new instance with this log level."""
    entry, connection = deployment.start_entry(log_level)
    try:
        for number in range(WARM_UP_QUERIES):
            send_request(connection, route, f"w{number}")
        before_ms = read_cpu_ms(entry)
        for number in range(queries):
            status = send_request(connection, route, f"q{number}").status
            if status != 200:
                raise AssertionError(f"query {number}: got status {status}, expected 200")
        return (read_cpu_ms(entry) - before_ms) / queries
    finally:
        connection.close()
        entry.kill()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--queries", type=int, default=2000)
    options = parser.parse_args()
    costs_ms: dict[tuple[str, str], float] = {}
    with tempfile.TemporaryDirectory(prefix="savoryarch-bench-") as name:
        with SmallDeployment(Path(name)) as deployment:
            for route in ("find", "read"):
                for log_level in ("info", "error"):  # at "error", queries are not logged
                    costs_ms[route, log_level] = measure_query_cpu_ms(
                        deployment, log_level, route, options.queries
                    )
    print(f"{'query':>10}{'logged ms':>12}{'unlogged ms':>13}")
    for route, label in (("find", "10 shards"), ("read", "1 target")):
        print(f"{label:>10}{costs_ms[route, 'info']:>12.2f}{costs_ms[route, 'error']:>13.2f}")
    log_share = 1.0 - costs_ms["find", "error"] / costs_ms["find", "info"]
    goals = [
        make_goal(
            "forwarded_query_cpu_10_shards", costs_ms["find", "info"], MAX_QUERY_CPU_MS, "ms"
        ),
        make_goal("log_share_of_forwarded_query", log_share, MAX_LOG_SHARE, "ratio"),
    ]
    print(json.dumps({"goals": goals}))


def make_goal(name: str, measured: float, bound: float, unit: str) -> dict[str, object]:
    """Return one goal in the form that all benchmarks print."""
    return {
        "name": name,
        "measured": round(measured, 3),
        "bound": bound,
        "unit": unit,
        "holds": measured <= bound,
        "baseline": None,
    }


if __name__ == "__main__":
    main()
