"""CPU of the entry instance per ten-shard fan-out: treq against the client of this project."""

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
BOUND = 4.0  # times cheaper than treq, from the goal
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
    rows = [row.rsplit(":", 1) for row in standin.ready_fields["ports"].split(",")]
    return [(target_id, int(port)) for target_id, port in rows]


def make_treq_fan_out(ports: list[tuple[str, int]]) -> Callable[[int], Deferred]:
    pool = HTTPConnectionPool(reactor)
    client = HTTPClient(Agent(reactor, pool=pool))  # type: ignore[arg-type]

    def ask(number: int, target_id: str, port: int) -> Deferred:
        headers = {
            "x-request-id": f"{target_id}-{number}",
            "x-deadline-ms": "1000",
            "x-snapshot": str(SNAPSHOT),
        }
        sent = client.post(
            f"http://127.0.0.1:{port}/v1/search/counter", data=QUERY, headers=headers
        )
        return sent.addCallback(lambda response: response.content()).addCallback(json.decode)

    def fan_out(number: int) -> Deferred:
        asked = [ask(number, target_id, port) for target_id, port in ports]
        return DeferredList(asked, fireOnOneErrback=True)

    return fan_out


def make_own_fan_out(ports: list[tuple[str, int]]) -> Callable[[int], Deferred]:
    clock = make_monotonic_clock()
    waiting: dict[str, Deferred] = {}

    def feed(event: object) -> None:
        if isinstance(event, AttemptEnded):
            assert isinstance(event.reply, PartReturned), event
            waiting.pop(event.attempt_id).callback(event)

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

    def ask(number: int, target_id: str) -> Deferred:
        attempt_id = f"search/{target_id}-{number}"
        waiting[attempt_id] = Deferred()
        request = PartRequest("counter", QUERY, SNAPSHOT)
        client.perform(SendAttempt(attempt_id, target_id, clock.now_ms() + 1000, request))
        return waiting[attempt_id]

    def fan_out(number: int) -> Deferred:
        return DeferredList([ask(number, target_id) for target_id, _ in ports])

    return fan_out


@inlineCallbacks
def measure(fan_out: Callable[[int], Deferred], first: int) -> Any:
    before = getrusage(RUSAGE_SELF)
    for number in range(first, first + FAN_OUTS):
        yield fan_out(number)
    after = getrusage(RUSAGE_SELF)
    user_us = (after.ru_utime - before.ru_utime) * 1e6 / FAN_OUTS
    return user_us, (after.ru_stime - before.ru_stime) * 1e6 / FAN_OUTS


@inlineCallbacks
def run(ports: list[tuple[str, int]]) -> Any:
    ways = {"treq": make_treq_fan_out(ports), "own": make_own_fan_out(ports)}
    samples_us: dict[str, list[tuple[float, float]]] = {name: [] for name in ways}
    for turn in range(ROUNDS + 1):
        for name, fan_out in ways.items():
            cpu_us = yield measure(fan_out, turn * FAN_OUTS)
            if turn:  # the first round opens the connections
                samples_us[name].append(cpu_us)
    report({name: (mean(u for u, _ in v), mean(s for _, s in v)) for name, v in samples_us.items()})


def report(cpu_us: dict[str, tuple[float, float]]) -> None:
    for name, (user_us, system_us) in cpu_us.items():
        print(
            f"{name:>6}: {user_us + system_us:6.0f} us of CPU per fan-out to {SHARDS} shards, "
            f"of it {user_us:6.0f} us in this program and {system_us:6.0f} us in the kernel"
        )
    ratio = sum(cpu_us["treq"]) / sum(cpu_us["own"])
    user_ratio = cpu_us["treq"][0] / cpu_us["own"][0]
    print(f"times cheaper: {ratio:.2f}, without the kernel's share {user_ratio:.2f}")
    goal = {
        "name": "target client, times cheaper than treq",
        "measured": round(ratio, 2),
        "bound": BOUND,
        "unit": "ratio",
        "holds": ratio >= BOUND,
        "baseline": "treq with a connection pool",
    }
    slopes = {"client_us": round(sum(cpu_us["own"]) / SHARDS, 1)}
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
            done = run(read_ports(standin))
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
