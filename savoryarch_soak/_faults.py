"""The faults that a soak can inject.

Every fault has `at_ms`, its time since the start of the load, and `for_ms`, its duration.
`instance`, `process`, `target` and `link` are numbers that count from 0.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KillInstance:
    """Kill an entry instance with SIGKILL and restart it when the fault ends."""

    at_ms: float
    instance: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class StopInstance:
    """Stop an entry instance with SIGTERM; restart it after the fault and its exit."""

    at_ms: float
    instance: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class FreezeInstance:
    """Suspend an entry instance with SIGSTOP and resume it with SIGCONT."""

    at_ms: float
    instance: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class ReloadInstance:
    """Change the settings file of an entry instance and send it SIGHUP."""

    at_ms: float
    instance: int
    for_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class BreakStore:
    """Set fault switches of the store and reset them to their defaults; see `StoreSwitches`."""

    at_ms: float
    for_ms: float
    switches: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class BreakTargets:
    """Set fault switches of the targets of one process and reset them; see `TargetSwitches`."""

    at_ms: float
    for_ms: float
    process: int
    switches: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class DriveTarget:
    """Send the event `event`, a crash or a drain, to one target, and `back` to restore it."""

    at_ms: float
    for_ms: float
    target: int
    event: str
    back: str


@dataclass(frozen=True, slots=True)
class KillTargets:
    """Kill a process of targets with SIGKILL and restart it."""

    at_ms: float
    process: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class BreakLink:
    """Put a link in a faulty mode, or reset or silence its open connections; see `Link`."""

    at_ms: float
    for_ms: float
    link: int
    mode: str
    delay_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ChangeTable:
    """Write the next version of the configuration, with the other set of shards."""

    at_ms: float
    for_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class KillInstances:
    """Kill several entry instances at the same moment, and start them together."""

    at_ms: float
    for_ms: float
    instances: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class AddInstance:
    """Start an entry instance that did not run before; it stays until the end of the run."""

    at_ms: float
    instance: int
    for_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class SignalStart:
    """Kill an entry instance, start it, and signal it `delay_ms` after its start.

    With `stops`, the signal is SIGTERM, and the instance is started again after the fault and its
    exit. Otherwise the settings change and the signal is SIGHUP.
    """

    at_ms: float
    for_ms: float
    instance: int
    delay_ms: float
    stops: bool


@dataclass(frozen=True, slots=True)
class BlockOutput:
    """Do not read the output of an entry instance, or close it until the next start."""

    at_ms: float
    for_ms: float
    instance: int
    closes: bool


@dataclass(frozen=True, slots=True)
class OverlapRestart:
    """Stop an entry instance with SIGTERM, and start its successor at the same moment."""

    at_ms: float
    instance: int
    for_ms: float = 0.0


Fault = (
    KillInstance
    | StopInstance
    | FreezeInstance
    | ReloadInstance
    | BreakStore
    | BreakTargets
    | DriveTarget
    | KillTargets
    | BreakLink
    | ChangeTable
    | KillInstances
    | AddInstance
    | SignalStart
    | BlockOutput
    | OverlapRestart
)


def fault_name(fault: Fault) -> str:
    """Return the name of a fault in the report: its class with its switches, mode or event."""
    match fault:
        case BreakStore(switches=switches) | BreakTargets(switches=switches):
            return f"{type(fault).__name__}:{'+'.join(name for name, _ in switches)}"
        case BreakLink(mode=mode):
            return f"BreakLink:{mode}"
        case DriveTarget(event=event):
            return f"DriveTarget:{event}"
        case SignalStart(stops=stops):
            return f"SignalStart:{'SIGTERM' if stops else 'SIGHUP'}"
        case BlockOutput(closes=closes):
            return f"BlockOutput:{'closed' if closes else 'unread'}"
        case _:
            return type(fault).__name__


def interrupted_instances(fault: Fault) -> tuple[int, ...]:
    """Return the instances that a fault stops, freezes, kills or adds."""
    match fault:
        case (
            KillInstance(instance=instance)
            | StopInstance(instance=instance)
            | FreezeInstance(instance=instance)
            | AddInstance(instance=instance)
            | SignalStart(instance=instance)
            | OverlapRestart(instance=instance)
            | BlockOutput(instance=instance, closes=True)
        ):
            return (instance,)
        case KillInstances(instances=instances):
            return instances
        case _:
            return ()
