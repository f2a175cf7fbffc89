"""Processor time of an entry instance for a forwarded query, with its log and without.

Run with ``python benchmarks/bench_forwarding.py [--queries N]``.
"""

import argparse
import json
import tempfile
from http.client import HTTPConnection
from os import sysconf
from pathlib import Path
from threading import Event

import requests

from savoryarch.model import SwapKey
from savoryarch.platform import CONFIGURATION_KEY, DEADLINE_MS, REQUEST_ID, encode_store_call
from savoryarch_soak._instances import free_address, write_settings
from savoryarch_soak._tables import make_table
from savoryarch_standins.harness import Address, ManagedProcess, start_process

SHARDS = tuple(f"shard-{number}" for number in range(10))
SERVICES = ("shop", *SHARDS)
REPLICAS = 3
HOST = "bench.example"
WARM_UP_QUERIES = 200
READY_TRIES = 200
RETRY_S = 0.05
BOUND_MS = 2.5  # asked for by the users for a query to ten shards
LOG_BOUND = 0.05  # of the processor time, at most, that the log may take
_TICK_MS = 1000.0 / sysconf("SC_CLK_TCK")


def cpu_ms(process: ManagedProcess) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_MS


def start_platform(folder: Path, started: list[ManagedProcess]) -> Address:
    """Start the store and the targets; returns the store's address."""
    store = start_process("store", ["-m", "savoryarch_standins.store"], folder)
    started.append(store)
    url = f"http://{store.address()}"
    for replica in range(REPLICAS):
        words = ",".join(f"{name}-{replica}:{name}:{0}" for name in SERVICES)
        arguments = ["-m", "savoryarch_standins.forwarded", "--store", url, "--targets", words]
        started.append(start_process(f"targets-{replica}", arguments, folder))
    call = encode_store_call(
        SwapKey("table", CONFIGURATION_KEY, make_table(1, SHARDS, HOST), 0), ""
    )
    requests.post(url + call.path, data=call.body, timeout=5.0).raise_for_status()
    return store.address()


def measure(folder: Path, store: Address, level: str, path: str, queries: int) -> float:
    """Return the processor time per query of a fresh instance that logs at a level."""
    front = free_address()
    settings = write_settings(0, 1, front, store).replace("[log]", f"[log]\nlevel = {level}")
    path_ini = folder / f"entry-{level}.ini"
    path_ini.write_text(settings, encoding="utf-8")
    entry = start_process(
        f"entry-{level}", ["-m", "savoryarch", "serve", "--settings", str(path_ini)], folder
    )
    try:
        connection = HTTPConnection(front.host, front.port, timeout=5.0)
        wait_until_served(connection, path)
        for number in range(WARM_UP_QUERIES):
            ask(connection, path, f"w{number}")
        before_ms = cpu_ms(entry)
        for number in range(queries):
            ask(connection, path, f"q{number}")
        return (cpu_ms(entry) - before_ms) / queries
    finally:
        entry.kill()


def wait_until_served(connection: HTTPConnection, path: str) -> None:
    """Ask until the instance has routes and targets."""
    pause = Event()
    for number in range(READY_TRIES):
        try:
            if ask(connection, path, f"t{number}", check=False) == 200:
                return
        except OSError:
            connection.close()
        pause.wait(RETRY_S)
    raise TimeoutError("the instance did not serve in time")


def ask(connection: HTTPConnection, path: str, name: str, check: bool = True) -> int:
    """Send a query and read its answer."""
    headers = {"host": HOST, REQUEST_ID: name, DEADLINE_MS: "2000"}
    connection.request("GET", f"/{path}/{name}", headers=headers)
    reply = connection.getresponse()
    reply.read()
    if check and reply.status != 200:
        raise AssertionError(f"query {name} got status {reply.status}")
    return reply.status


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--queries", type=int, default=2000)
    options = parser.parse_args()
    started: list[ManagedProcess] = []
    costs: dict[tuple[str, str], float] = {}
    with tempfile.TemporaryDirectory(prefix="savoryarch-bench-") as name:
        folder = Path(name)
        try:
            store = start_platform(folder, started)
            for path in ("find", "read"):
                for level in ("info", "error"):
                    costs[path, level] = measure(folder, store, level, path, options.queries)
        finally:
            for process in started:
                process.kill()
    print(f"{'query':>8}{'logged ms':>12}{'unlogged ms':>13}")
    for path, what in (("find", "10 shards"), ("read", "1 target")):
        print(f"{what:>10}{costs[path, 'info']:>10.2f}{costs[path, 'error']:>13.2f}")
    share = 1.0 - costs["find", "error"] / costs["find", "info"]
    goals = [
        goal("forwarded_query_cpu_10_shards", costs["find", "info"], BOUND_MS, "ms"),
        goal("log_share_of_forwarded_query", share, LOG_BOUND, "ratio"),
    ]
    print(json.dumps({"goals": goals}))


def goal(name: str, measured: float, bound: float, unit: str) -> dict[str, object]:
    """Return one goal as every benchmark prints it."""
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
