"""Propagation of configuration changes to 4 to 740 instances, in virtual time.

Run with ``python -m benchmarks.bench_configuration [--seed N] [--small]``. Measures the time from
an operator's request until the change is in force everywhere, without faults (``calm``), if the
store fails as the change is accepted, and after a partition (``cut``); the calls to the store; and
the bytes between peers. In the baseline every instance watches the store.
"""

import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from statistics import median

from msgspec import json

from savoryarch import model
from savoryarch.codec import make_message_codec
from savoryarch.configuration import (
    ConfigurationSettings,
    apply_changes,
    check_declarations,
    make_next_record,
)
from savoryarch.configuration.tests.fleet import Fleet
from savoryarch.model import (
    Caller,
    ConfigurationRecord,
    ConfigurationVersion,
    Declarations,
    DeclarationsInForce,
    PublishEvent,
    PutResource,
    Search,
    Service,
    ShardMap,
    Target,
)
from savoryarch.resources import RECORD_CODEC

SIZES = (4, 16, 64)
LARGE_SIZE = 740
CHANGES = 12
ROUNDS = 5
CHANGES_PER_DAY = 1_400
S_PER_DAY = 86_400.0
IDLE_MS = 20_000.0
MAX_NORMAL_P99_MS = 1_000.0
MAX_FAULT_MS = 5_000.0  # until a change is in force, with an outage or after a partition
MAX_CONTROL_BYTES_PER_S = 9_000.0
MAX_VALUE_BYTES = 1024 * 1024
PARTITION_MS = 5_000.0
LENGTH_PREFIX_BYTES = 4  # of each message between peers
TARGET_COUNT = 5_700
ZONES = ("zone-a", "zone-b", "zone-c")
REPLICAS_PER_SERVICE = 3
CODEC = make_message_codec(model)


class MeasuredFleet(Fleet):
    """Fleet that records when each generation comes into force and counts bytes between peers."""

    def __init__(self, seed: int, settings: ConfigurationSettings | None = None) -> None:
        super().__init__(seed, settings)
        self.in_force_at_ms: dict[tuple[str, int], float] = {}
        self.sent_bytes = 0
        self.on_message = self.count_bytes

    def record_output(self, instance_id: str, effect: object) -> None:
        """Record the output, and the time at which a generation comes into force."""
        if isinstance(effect, PublishEvent) and isinstance(effect.event, DeclarationsInForce):
            generation = effect.event.declarations.generation
            self.in_force_at_ms[(instance_id, generation)] = self.now_ms
        super().record_output(instance_id, effect)

    def count_bytes(self, message: object) -> None:
        """Add the bytes of a message between peers."""
        self.sent_bytes += len(CODEC.encode_frame(message)) + LENGTH_PREFIX_BYTES


@dataclass(frozen=True, slots=True)
class PropagationTimes:
    """Times until changes are in force, of all instances and changes, in ms and ascending."""

    times_ms: tuple[float, ...]

    def quantile_ms(self, share: float) -> float:
        """Return the time in ms within which a change is in force on a share of the instances."""
        index = min(len(self.times_ms) - 1, int(share * len(self.times_ms)))
        return self.times_ms[index]


@dataclass(frozen=True, slots=True)
class FleetMeasurement:
    """Measurement of a fleet.

    Parameters
    ----------
    instance_count : int
        Number of instances.
    normal, outage, partition : PropagationTimes
        Times without faults, with a store that fails at the acceptance of the change, and from
        the end of a partition.
    store_calls_per_s, outage_calls_per_s : float
        Calls of all instances to the store, without faults and during the outage.
    idle_bytes_per_s : float
        Bytes to peers per instance without changes.
    change_bytes : float
        Further bytes to peers per instance and change.
    """

    instance_count: int
    normal: PropagationTimes
    outage: PropagationTimes
    partition: PropagationTimes
    store_calls_per_s: float
    outage_calls_per_s: float
    idle_bytes_per_s: float
    change_bytes: float

    @property
    def day_bytes_per_s(self) -> float:
        """Return the bytes per second and instance at the daily number of changes."""
        return self.idle_bytes_per_s + self.change_bytes * CHANGES_PER_DAY / S_PER_DAY


@dataclass(frozen=True, slots=True)
class RecordCost:
    """Cost of a configuration with 5,700 targets; the delta changes one service."""

    value_bytes: int
    delta_bytes: int
    encode_ms: float
    decode_ms: float
    check_ms: float


def make_fleet(
    size: int, seed: int, settings: ConfigurationSettings | None = None
) -> MeasuredFleet:
    """Return a fleet of `size` instances that know each other as peers."""
    fleet = MeasuredFleet(seed, settings)
    for number in range(size):
        fleet.start(f"entry-{number}")
    fleet.update_peers()
    fleet.run(2_000.0)
    return fleet


def propagation_times_ms(fleet: MeasuredFleet, generation: int, since_ms: float) -> list[float]:
    """Return the time in ms until a generation came into force, for each live instance."""
    return [
        fleet.in_force_at_ms[(instance_id, generation)] - since_ms for instance_id in fleet.states
    ]


def measure_normal(fleet: MeasuredFleet) -> tuple[PropagationTimes, float]:
    """Return the times from the requests of changes, and the bytes per instance and change."""
    times_ms: list[float] = []
    ids = sorted(fleet.states)
    idle_per_s = measure_idle(fleet)[1]
    bytes_before, started_ms = fleet.sent_bytes, fleet.now_ms
    for number in range(CHANGES):
        requested_at_ms = fleet.now_ms
        fleet.request_change(
            ids[number % len(ids)], f"calm-{number}", PutResource(Caller("a", number + 1))
        )
        fleet.run(3_000.0)
        times_ms += propagation_times_ms(fleet, number + 1, requested_at_ms)
    changes_ms = fleet.now_ms - started_ms
    change_bytes = (fleet.sent_bytes - bytes_before) / len(ids) - idle_per_s * changes_ms / 1000
    return PropagationTimes(tuple(sorted(times_ms))), change_bytes / CHANGES


def measure_idle(fleet: MeasuredFleet) -> tuple[float, float]:
    """Return the calls of all instances to the store per second, and bytes/s per instance."""
    calls_before, bytes_before = fleet.store_calls, fleet.sent_bytes
    fleet.run(IDLE_MS)
    seconds = IDLE_MS / 1000
    bytes_per_s = (fleet.sent_bytes - bytes_before) / len(fleet.states) / seconds
    return (fleet.store_calls - calls_before) / seconds, bytes_per_s


def measure_outage(fleet: MeasuredFleet) -> tuple[PropagationTimes, float]:
    """Stop the store and the accepting instance at acceptance; return times and calls per s."""
    fleet.kill_when_answered.add("outage")
    instance_id = sorted(fleet.states)[0]
    requested_at_ms = fleet.now_ms
    fleet.request_change(instance_id, "outage", PutResource(Caller("a", 500)))
    while "outage" not in fleet.answers:
        fleet.run(1.0)
    fleet.store_groups = set()
    fleet.run(MAX_FAULT_MS)
    generation = fleet.answers["outage"][0].generation
    times_ms = propagation_times_ms(fleet, generation, requested_at_ms)
    calls_per_s = measure_idle(fleet)[0]
    fleet.store_groups = {0}
    fleet.run(6_000.0)
    return PropagationTimes(tuple(sorted(times_ms))), calls_per_s


def measure_partition(fleet: MeasuredFleet) -> PropagationTimes:
    """Change during a partition of a sixth of the instances; return their times from its end."""
    ids = sorted(fleet.states)
    separated_ids = set(ids[: max(1, len(ids) // 6)])
    fleet.partition(lambda instance_id: 1 if instance_id in separated_ids else 0)
    fleet.request_change(ids[-1], "cut", PutResource(Caller("a", 600)))
    fleet.run(PARTITION_MS)
    healed_at_ms = fleet.now_ms
    fleet.partition(lambda instance_id: 0)
    fleet.run(MAX_FAULT_MS)
    generation = fleet.answers["cut"][0].generation
    times_ms = [
        fleet.in_force_at_ms[(instance_id, generation)] - healed_at_ms
        for instance_id in sorted(separated_ids)
    ]
    return PropagationTimes(tuple(sorted(times_ms)))


def measure_fleet(size: int, seed: int) -> FleetMeasurement:
    fleet = make_fleet(size, seed)
    fleet.run(5_000.0)
    calls_per_s, idle_bytes = measure_idle(fleet)
    normal, change_bytes = measure_normal(fleet)
    outage, outage_calls = measure_outage(fleet)
    partition = measure_partition(fleet)
    return FleetMeasurement(
        size, normal, outage, partition, calls_per_s, outage_calls, idle_bytes, change_bytes
    )


def measure_baseline_calls_per_s(size: int, seed: int) -> float:
    """Return the calls per second to the store if every instance watches it."""
    fleet = make_fleet(size, seed, replace(ConfigurationSettings(), watchers=size))
    fleet.run(5_000.0)
    return measure_idle(fleet)[0]


def make_large_record() -> ConfigurationRecord:
    """Return a configuration with 5,700 targets in services of three and two searches."""
    services = tuple(
        _make_service(number) for number in range(TARGET_COUNT // REPLICAS_PER_SERVICE)
    )
    names = tuple(service.name for service in services)
    searches = (
        Search("s1", (ShardMap(1, names[:660]),), 66.0),
        Search("s2", (ShardMap(1, names[660:1320]),), 66.0),
    )
    changes = tuple(PutResource(item) for item in (*services, *searches))
    declarations = apply_changes(Declarations(), changes)
    return make_next_record(
        ConfigurationRecord(), declarations, ConfigurationVersion(1, "entry-1/1/1")
    )


def _make_service(number: int) -> Service:
    name = f"catalogue-{number:04d}"
    targets = tuple(
        Target(
            f"{name}-{replica}",
            name,
            ZONES[replica],
            f"10.{number // 200}.{number % 200}.{replica + 1}",
            7000 + replica,
        )
        for replica in range(REPLICAS_PER_SERVICE)
    )
    return Service(name, "catalogue", 4, 110, targets)


def measure_record() -> RecordCost:
    record = make_large_record()
    value = RECORD_CODEC.encode_record(record)
    assert RECORD_CODEC.decode_record(value) == record
    return RecordCost(
        value_bytes=len(value),
        delta_bytes=len(RECORD_CODEC.encode_delta(_small_delta(record))),
        encode_ms=measure_ms(lambda: RECORD_CODEC.encode_record(record)),
        decode_ms=measure_ms(lambda: RECORD_CODEC.decode_record(value)),
        check_ms=measure_ms(lambda: check_declarations(record.declarations)),
    )


def measure_ms(call: Callable[[], object]) -> float:
    samples = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        call()
        samples.append((time.process_time() - started_s) * 1000)
    return median(samples)


def _small_delta(record: ConfigurationRecord) -> model.ConfigurationDelta:
    service = next(iter(record.declarations.services.values()))
    revised = model.RevisedResource(service, 1)
    return model.ConfigurationDelta(ConfigurationVersion(), (revised,), (), record.history)


def make_goal(name: str, measured: float, bound: float, unit: str, baseline: float | None) -> dict:
    return {
        "name": name,
        "measured": round(measured, 3),
        "bound": bound,
        "unit": unit,
        "holds": measured <= bound,
        "baseline": None if baseline is None else round(baseline, 3),
    }


def print_report(rows: list[FleetMeasurement]) -> None:
    print(
        "instances  calm p50/p99/max ms  outage max  healed max"
        "  calls/s  outage  idle B/s  B/change"
    )
    for row in rows:
        normal = (
            f"{row.normal.quantile_ms(0.5):.0f}/{row.normal.quantile_ms(0.99):.0f}"
            f"/{row.normal.quantile_ms(1):.0f}"
        )
        print(
            f"{row.instance_count:9}  {normal:>19}  {row.outage.quantile_ms(1):10.0f}"
            f"  {row.partition.quantile_ms(1):10.0f}  {row.store_calls_per_s:7.1f}"
            f"  {row.outage_calls_per_s:6.1f}"
            f"  {row.idle_bytes_per_s:8.0f}  {row.change_bytes:8.0f}"
        )


def make_goals(rows: list[FleetMeasurement], cost: RecordCost, baseline_calls: float) -> list[dict]:
    least_calls = rows[0].store_calls_per_s
    growth = max(row.store_calls_per_s for row in rows) / least_calls
    return [
        make_goal(
            "in force everywhere, calm, p99",
            max(r.normal.quantile_ms(0.99) for r in rows),
            MAX_NORMAL_P99_MS,
            "ms",
            None,
        ),
        make_goal(
            "in force everywhere, store out at acceptance, max",
            max(r.outage.quantile_ms(1) for r in rows),
            MAX_FAULT_MS,
            "ms",
            None,
        ),
        make_goal(
            "in force everywhere after a cut heals, max",
            max(r.partition.quantile_ms(1) for r in rows),
            MAX_FAULT_MS,
            "ms",
            None,
        ),
        make_goal(
            "growth of store calls with instances",
            growth,
            1.3,
            "times",
            baseline_calls / least_calls,
        ),
        make_goal(
            "control bytes at 1,400 changes a day, per instance",
            max(r.day_bytes_per_s for r in rows),
            MAX_CONTROL_BYTES_PER_S,
            "B/s",
            None,
        ),
        make_goal("value of 5,700 targets", cost.value_bytes, MAX_VALUE_BYTES, "B", None),
    ]


def make_slopes(last: FleetMeasurement, cost: RecordCost) -> dict[str, float]:
    return {
        "configuration_bytes_per_s": round(last.idle_bytes_per_s, 1),
        "configuration_change_bytes": round(last.change_bytes, 1),
        "configuration_calls_per_s": round(last.store_calls_per_s, 2),
        "configuration_p99_ms": round(last.normal.quantile_ms(0.99), 1),
        "configuration_apply_ms": round(cost.decode_ms + cost.check_ms, 1),
        "configuration_value_bytes": cost.value_bytes,
    }


def main(arguments: list[str]) -> None:
    seed = int(arguments[arguments.index("--seed") + 1]) if "--seed" in arguments else 1
    sizes = SIZES if "--small" in arguments else (*SIZES, LARGE_SIZE)
    cost = measure_record()
    rows = [measure_fleet(size, seed) for size in sizes]
    print_report(rows)
    baseline_calls = measure_baseline_calls_per_s(SIZES[-1], seed)
    print(
        f"{TARGET_COUNT} targets: {cost.value_bytes} bytes in the store, encoded in "
        f"{cost.encode_ms:.0f} ms, decoded in {cost.decode_ms:.0f} ms, checked in "
        f"{cost.check_ms:.0f} ms; one service changed: {cost.delta_bytes} bytes"
    )
    goals = make_goals(rows, cost, baseline_calls)
    slopes = make_slopes(rows[-1], cost)
    print(json.encode({"goals": goals, "slopes": slopes}).decode())


if __name__ == "__main__":
    main(sys.argv[1:])
