"""Generates the schedule of faults of a soak from its seed."""

from dataclasses import dataclass
from typing import TypeVar

from numpy.random import Generator, default_rng

from savoryarch_soak._faults import (
    AddInstance,
    BlockOutput,
    BreakLink,
    BreakStore,
    BreakTargets,
    ChangeTable,
    DriveTarget,
    Fault,
    FreezeInstance,
    KillInstance,
    KillInstances,
    KillTargets,
    OverlapRestart,
    ReloadInstance,
    SignalStart,
    StopInstance,
)

Choice = TypeVar("Choice")
SERVICES = ("shop", "till")  # of the routes ``read`` and ``order``
# Shards of the route ``find``; versions of the configuration use the two sets in turn.
SHARD_SETS = (tuple(f"old-{n}" for n in range(4)), tuple(f"new-{n}" for n in range(6)))
REPLICAS = 3  # of each service; the targets of one replica run in one process
WARM_UP_MS = 1500.0  # without faults at the start, so that requests are in flight at the first one
# All faults except lasting drains end this long before the end of the load: a planned stop takes
# up to 4 s, a start on a busy machine 2 s, and the recovery is checked in the last 2 s.
RECOVERY_MS = 8000.0
MEAN_FAULT_INTERVAL_MS = 450.0  # about three faults overlap at a time
MEAN_FAULT_MS = 1200.0
MAX_FAULT_MS = 3000.0
SERIES_SHARE = 0.3  # of the faults occur two or three times in a row
SERIES_INTERVAL_MS = 250.0
# Fields of `StoreSwitches`, of `TargetSwitches`, and modes of `Link`, with the values of a fault.
_STORE_SWITCHES: tuple[tuple[tuple[str, float], ...], ...] = (
    (("outage", True),),
    (("delay_ms", 300.0),),
    (("reply_delay_ms", 1500.0),),
    (("lose_calls", 20),),
    (("lose_replies", 20),),
    (("reads_per_s", 2.0), ("writes_per_s", 2.0)),
    (("forgets", True),),
)
_TARGET_SWITCHES = (
    ("work_ms", 60.0),
    ("refuse_share", 0.5),
    ("fail_share", 0.3),
    ("garble_share", 0.2),
    ("double_share", 0.3),
    ("cut_share", 0.2),
    ("silent_share", 0.2),
    ("drop_idle_ms", 40.0),
)
_PAUSE_SWITCHES = (("refuse_share", 0.3), ("hold_ms", 1500.0))
MEAN_ADVICE_INTERVAL_MS = 3000.0
LEAVE_MS = 6000.0  # twice the time after which a leaving target must get nothing more
MEAN_PROCESS_FAULT_INTERVAL_MS = 3000.0
ADDED_INSTANCES = 1  # their numbers follow those of the others
_SIGNAL_DELAYS_MS = (0.0, 0.0, 10.0, 50.0, 200.0, 800.0)  # from the start of a process
_LINK_MODES = ("delay", "reset", "mute_to", "mute_from", "silence")


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """The parameters and the schedule of a run.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    length_ms : float
        Duration of the load.
    instances : int
        Number of entry instances at the start; `ADDED_INSTANCES` are added during the run.
    requests_per_s : float
        Rate at which clients send requests (open loop: they do not wait for earlier answers).
    faults : tuple
        The faults, ordered by start time.
    """

    seed: int
    length_ms: float
    instances: int
    requests_per_s: float
    faults: tuple[Fault, ...]


def service_names() -> tuple[str, ...]:
    """Return the names of all services of the soak, with those of both sets of shards."""
    return SERVICES + SHARD_SETS[0] + SHARD_SETS[1]


def count_links(instances: int) -> int:
    """Return the number of links: one from each instance to the store, and one per target."""
    return instances + REPLICAS * len(service_names())


def draw_plan(seed: int, seconds: float, instances: int, requests_per_s: float) -> SoakPlan:
    """Return a random plan; the same arguments give the same plan."""
    rng = default_rng(seed)
    length_ms = 1000.0 * seconds
    faults: list[Fault] = []
    at_ms = WARM_UP_MS
    while at_ms < length_ms - RECOVERY_MS:
        repetitions = int(rng.integers(2, 4)) if rng.random() < SERIES_SHARE else 1
        kind_number = int(rng.integers(0, 12))
        for repetition in range(repetitions):
            start_ms = at_ms + repetition * SERIES_INTERVAL_MS
            remaining_ms = max(0.0, length_ms - RECOVERY_MS - start_ms)
            for_ms = min(MAX_FAULT_MS, rng.exponential(MEAN_FAULT_MS), remaining_ms)
            rounded_start_ms, duration_ms = round(start_ms), round(for_ms)
            faults.append(
                _draw_fault(rng, kind_number, rounded_start_ms, duration_ms, instances, length_ms)
            )
        at_ms += rng.exponential(MEAN_FAULT_INTERVAL_MS)
    faults += _draw_advice(seed, length_ms)
    faults += _draw_process_faults(seed, length_ms, instances)
    ordered = tuple(sorted(faults, key=lambda fault: fault.at_ms))
    return SoakPlan(seed, length_ms, instances, requests_per_s, ordered)


def _draw_advice(seed: int, length_ms: float) -> list[Fault]:
    """Return targets that say that they leave, and refusals that ask for a pause.

    They have a generator of their own, so that the other faults of a seed stay as they were.
    """
    rng = default_rng([seed, 1])
    faults: list[Fault] = []
    at_ms = WARM_UP_MS
    while at_ms < length_ms - RECOVERY_MS:
        remaining_ms = length_ms - RECOVERY_MS - at_ms
        # Only targets of the first replica leave, so that each service keeps targets.
        target = int(rng.integers(0, len(service_names())))
        leave_ms = min(LEAVE_MS, remaining_ms)
        faults.append(DriveTarget(round(at_ms), round(leave_ms), target, "leave", "restart"))
        pause_at_ms = at_ms + rng.uniform(0.0, MEAN_ADVICE_INTERVAL_MS / 2.0)
        pause_ms = max(0.0, min(MAX_FAULT_MS, length_ms - RECOVERY_MS - pause_at_ms))
        process = int(rng.integers(0, REPLICAS))
        faults.append(BreakTargets(round(pause_at_ms), round(pause_ms), process, _PAUSE_SWITCHES))
        at_ms += rng.exponential(MEAN_ADVICE_INTERVAL_MS)
    return faults


def _draw_process_faults(seed: int, length_ms: float, instances: int) -> list[Fault]:
    """Return kills of several instances, signals during starts, blocked output and overlaps.

    They have a generator of their own, so that the other faults of a seed stay as they were.
    """
    rng = default_rng([seed, 2])
    until_ms = length_ms - RECOVERY_MS
    faults: list[Fault] = [
        AddInstance(round(rng.uniform(WARM_UP_MS, until_ms)), instances + number)
        for number in range(ADDED_INSTANCES)
    ]
    at_ms = WARM_UP_MS + rng.exponential(MEAN_PROCESS_FAULT_INTERVAL_MS)
    while at_ms < until_ms:
        for_ms = round(min(MAX_FAULT_MS, rng.exponential(MEAN_FAULT_MS), until_ms - at_ms))
        faults.append(_draw_process_fault(rng, round(at_ms), for_ms, instances))
        at_ms += rng.exponential(MEAN_PROCESS_FAULT_INTERVAL_MS)
    return faults


def _draw_process_fault(rng: Generator, at_ms: float, for_ms: float, instances: int) -> Fault:
    instance = int(rng.integers(0, instances))
    delay_ms = _choose(rng, _SIGNAL_DELAYS_MS)
    killed_count = int(rng.integers(min(2, instances), instances + 1))
    killed = tuple(sorted(int(number) for number in rng.permutation(instances)[:killed_count]))
    match int(rng.integers(0, 6)):
        case 0:
            return KillInstances(at_ms, for_ms, killed)
        case 1:
            return SignalStart(at_ms, for_ms, instance, delay_ms, stops=False)
        case 2:
            return SignalStart(at_ms, for_ms, instance, delay_ms, stops=True)
        case 3:
            return BlockOutput(at_ms, for_ms, instance, closes=False)
        case 4:
            return BlockOutput(at_ms, for_ms, instance, closes=True)
        case _:
            return OverlapRestart(at_ms, instance)


def _draw_fault(
    rng: Generator, kind_number: int, at_ms: float, for_ms: float, instances: int, length_ms: float
) -> Fault:
    instance = int(rng.integers(0, instances))
    process = int(rng.integers(0, REPLICAS))
    target = int(rng.integers(0, REPLICAS * len(service_names())))
    # `BreakStore` and `BreakTargets` have two numbers, and so are twice as likely as the others.
    match kind_number:
        case 0:
            return KillInstance(at_ms, instance, for_ms)
        case 1:
            return StopInstance(at_ms, instance, for_ms)
        case 2:
            return FreezeInstance(at_ms, instance, for_ms)
        case 3:
            return ReloadInstance(at_ms, instance)
        case 4 | 5:
            return BreakStore(at_ms, for_ms, _choose(rng, _STORE_SWITCHES))
        case 6 | 7:
            return BreakTargets(at_ms, for_ms, process, (_choose(rng, _TARGET_SWITCHES),))
        case 8:
            return _draw_target_event(rng, at_ms, for_ms, target, length_ms)
        case 9:
            return KillTargets(at_ms, process, for_ms)
        case 10:
            link = int(rng.integers(0, count_links(instances)))
            return BreakLink(at_ms, for_ms, link, _choose(rng, _LINK_MODES), delay_ms=50.0)
        case _:
            return ChangeTable(at_ms)


def _draw_target_event(
    rng: Generator, at_ms: float, for_ms: float, target: int, length_ms: float
) -> DriveTarget:
    """Return a crash, a drain that ends with the fault, or a drain until the end of the run.

    Only a drain until the end lasts long enough to test the drain deadline.
    """
    sample = rng.random()
    if sample < 0.4:
        return DriveTarget(at_ms, for_ms, target, "crash", "restart")
    if sample < 0.7:
        return DriveTarget(at_ms, for_ms, target, "drain", "restore")
    # Only targets of the first replica drain until the end, so that each service keeps targets.
    first_replica_target = target % len(service_names())
    return DriveTarget(at_ms, length_ms - at_ms, first_replica_target, "drain", "restore")


def _choose(rng: Generator, choices: tuple[Choice, ...]) -> Choice:
    return choices[int(rng.integers(0, len(choices)))]
