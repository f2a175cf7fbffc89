"""The faults that a soak can inject."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class KillInstance:
    """End an entry instance with SIGKILL and start it again."""

    at_ms: float
    instance: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class StopInstance:
    """Ask an entry instance to end with SIGTERM and start it again afterwards."""

    at_ms: float
    instance: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class FreezeInstance:
    """Stop an entry instance with SIGSTOP and let it go on."""

    at_ms: float
    instance: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class ReloadInstance:
    """Send SIGHUP to an entry instance whose settings file was written again."""

    at_ms: float
    instance: int
    for_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class BreakStore:
    """Set switches of the store and clear them again; see `StoreSwitches`."""

    at_ms: float
    for_ms: float
    switches: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class BreakTargets:
    """Set switches of the targets of one process and clear them; see `TargetSwitches`."""

    at_ms: float
    for_ms: float
    process: int
    switches: tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class DriveTarget:
    """Crash or drain one target, and bring it back."""

    at_ms: float
    for_ms: float
    target: int
    event: str
    back: str


@dataclass(frozen=True, slots=True)
class KillTargets:
    """End a process of targets with SIGKILL and start it again."""

    at_ms: float
    process: int
    for_ms: float


@dataclass(frozen=True, slots=True)
class BreakLink:
    """Harm the connections of one link for a time; see `Link`."""

    at_ms: float
    for_ms: float
    link: int
    mode: str
    delay_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class ChangeTable:
    """Write the next version of the operator's configuration, with other shards."""

    at_ms: float
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
)


def fault_name(fault: Fault) -> str:
    """Return the name that the report gives to a kind of fault."""
    match fault:
        case BreakStore(switches=switches) | BreakTargets(switches=switches):
            return f"{type(fault).__name__}:{'+'.join(name for name, _ in switches)}"
        case BreakLink(mode=mode):
            return f"BreakLink:{mode}"
        case DriveTarget(event=event):
            return f"DriveTarget:{event}"
        case _:
            return type(fault).__name__
