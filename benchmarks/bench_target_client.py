"""CPU time of a fan-out to ten shards: treq compared with the target client of this project.

Run with ``python -m benchmarks.bench_target_client``.
"""

import sys
from collections.abc import Callable
from pathlib import Path
from resource import RUSAGE_SELF, getrusage
from statistics import mean
from tempfile import TemporaryDirectory
from typing import Any

from msgspec import json
from treq.client import HTTPClient
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred, DeferredList, inlineCallbacks
from twisted.web.client import Agent, HTTPConnectionPool

from savoryarch.entry._target_client import TargetClient
from savoryarch.model import (
    AttemptEnded,
    Declarations,
    LimitConnections,
    PartRequest,
    PartReturned,
    SendAttempt,
    Service,
    SnapshotId,
    Target,
)
from savoryarch.utils import make_monotonic_clock
from savoryarch_standins.harness import ManagedProcess, start_process

SHARDS = 10
FAN_OUTS = 100
ROUNDS = 5
SNAPSHOT = SnapshotId(1, 1)
QUERY = b'{"q": "hinge"}'
MIN_CPU_RATIO = 4.0  # of the CPU time with treq to that with the target client
SETTINGS = """[standin]
seed = 1
[group shard]
services = 10
targets = 1
slots = 5
connection_limit = 25
[behaviour]
service_median_ms = 1
"""

reactor: Any = default_reactor


def read_ports(standin: ManagedProcess) -> list[tuple[str, int]]:
    """Return the target ids and ports that the stand-in printed at its start."""
    rows = [row.rsplit(":", 1) for row in standin.ready_fields["ports"].split(",")]
    return [(target_id, int(port)) for target_id, port in rows]


def make_treq_fan_out(ports: list[tuple[str, int]]) -> Callable[[int], Deferred]:
    """Return a function that sends one query to all targets with treq; its argument is a number."""
    pool = HTTPConnectionPool(reactor)
    client = HTTPClient(Agent(reactor, pool=pool))  # type: ignore[arg-type]

    def send_sub_request(number: int, target_id: str, port: int) -> Deferred:
        headers = {
            "x-request-id": f"{target_id}-{number}",
            "x-deadline-ms": "1000",
            "x-snapshot": str(SNAPSHOT),
        }
        reply = client.post(
            f"http://127.0.0.1:{port}/v1/search/counter", data=QUERY, headers=headers
        )
        return reply.addCallback(lambda response: response.content()).addCallback(json.decode)

    def fan_out(number: int) -> Deferred:
        replies = [send_sub_request(number, target_id, port) for target_id, port in ports]
        return DeferredList(replies, fireOnOneErrback=True)

    return fan_out


def make_product_fan_out(ports: list[tuple[str, int]]) -> Callable[[int], Deferred]:
    """Return a function that sends one query to all targets with the target client."""
    clock = make_monotonic_clock()
    pending_replies: dict[str, Deferred] = {}

    def feed(event: object) -> None:
        if isinstance(event, AttemptEnded):
            assert isinstance(event.reply, PartReturned), event
            pending_replies.pop(event.attempt_id).callback(event)

    client = TargetClient(reactor, clock, feed)
    services = {
        target_id: Service(
            target_id, "shard", 5, 25, (Target(target_id, target_id, "a", "127.0.0.1", port),)
        )
        for target_id, port in ports
    }
    client.declare(Declarations(1, services=services))  # type: ignore[arg-type]
    for target_id, _ in ports:
        client.perform(LimitConnections(target_id, 5))

    def send_sub_request(number: int, target_id: str) -> Deferred:
        attempt_id = f"search/{target_id}-{number}"
        pending_replies[attempt_id] = Deferred()
        request = PartRequest("counter", QUERY, SNAPSHOT)
        client.perform(SendAttempt(attempt_id, target_id, clock.now_ms() + 1000, request))
        return pending_replies[attempt_id]

    def fan_out(number: int) -> Deferred:
        return DeferredList([send_sub_request(number, target_id) for target_id, _ in ports])

    return fan_out


@inlineCallbacks
def measure_fan_out_us(fan_out: Callable[[int], Deferred], first_number: int) -> Any:
    """Return the CPU time per fan-out in us, in user mode and in the kernel."""
    before = getrusage(RUSAGE_SELF)
    for number in range(first_number, first_number + FAN_OUTS):
        yield fan_out(number)
    after = getrusage(RUSAGE_SELF)
    user_us = (after.ru_utime - before.ru_utime) * 1e6 / FAN_OUTS
    return user_us, (after.ru_stime - before.ru_stime) * 1e6 / FAN_OUTS


@inlineCallbacks
def compare_clients(ports: list[tuple[str, int]]) -> Any:
    fan_outs = {"treq": make_treq_fan_out(ports), "client": make_product_fan_out(ports)}
    samples_us: dict[str, list[tuple[float, float]]] = {name: [] for name in fan_outs}
    for round_number in range(ROUNDS + 1):
        for name, fan_out in fan_outs.items():
            cpu_us = yield measure_fan_out_us(fan_out, round_number * FAN_OUTS)
            if round_number:  # the first round opens the connections and is not counted
                samples_us[name].append(cpu_us)
    print_report(
        {
            name: (
                mean(user_us for user_us, _ in samples),
                mean(system_us for _, system_us in samples),
            )
            for name, samples in samples_us.items()
        }
    )


def print_report(cpu_us: dict[str, tuple[float, float]]) -> None:
    for name, (user_us, system_us) in cpu_us.items():
        print(
            f"{name:>6}: {user_us + system_us:6.0f} us of CPU per fan-out to {SHARDS} shards, "
            f"{user_us:6.0f} us of it in user mode and {system_us:6.0f} us in the kernel"
        )
    ratio = sum(cpu_us["treq"]) / sum(cpu_us["client"])
    user_ratio = cpu_us["treq"][0] / cpu_us["client"][0]
    print(f"ratio of treq to the target client: {ratio:.2f}, in user mode {user_ratio:.2f}")
    goal = {
        "name": "target client, times cheaper than treq",
        "measured": round(ratio, 2),
        "bound": MIN_CPU_RATIO,
        "unit": "ratio",
        "holds": ratio >= MIN_CPU_RATIO,
        "baseline": "treq with a connection pool",
    }
    slopes = {"client_us": round(sum(cpu_us["client"]) / SHARDS, 1)}
    print(json.encode({"goals": [goal], "slopes": slopes}).decode())


def main() -> int:
    failures: list[Any] = []
    with TemporaryDirectory() as folder:
        settings = Path(folder) / "targets.ini"
        settings.write_text(SETTINGS)
        standin = start_process(
            "targets",
            ["-m", "savoryarch_standins.target", "--settings", str(settings)],
            Path(folder),
        )
        try:
            done = compare_clients(read_ports(standin))
            done.addErrback(failures.append)
            done.addBoth(lambda _: reactor.callWhenRunning(reactor.stop))
            reactor.run()
        finally:
            standin.stop()
    for failure in failures:
        print(failure, file=sys.stderr)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
