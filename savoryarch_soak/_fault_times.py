"""Finds out whether a fault overlaps a time for which a promise would have to hold."""

from savoryarch_soak._faults import (
    BreakLink,
    BreakStore,
    KillTargets,
    interrupted_instances,
)
from savoryarch_soak._journal import Journal


def has_instance_fault(journal: Journal, instance: int, from_ms: float, to_ms: float) -> bool:
    """Return whether an instance was stopped, frozen or killed in an interval."""
    return any(
        instance in interrupted_instances(item.fault)
        and item.from_ms <= to_ms
        and item.to_ms >= from_ms
        for item in journal.injected
    )


def has_reply_fault(journal: Journal, from_ms: float, to_ms: float) -> bool:
    """Return whether a fault could lose or delay a message of a target in an interval."""
    return any(
        isinstance(item.fault, BreakLink | KillTargets)
        and item.from_ms <= to_ms
        and item.to_ms >= from_ms
        for item in journal.injected
    )


def has_propagation_fault(journal: Journal, instance: int, from_ms: float, to_ms: float) -> bool:
    """Return whether a fault could keep an instance from reading changes in an interval."""
    for item in journal.injected:
        if item.from_ms > to_ms or item.to_ms < from_ms:
            continue
        match item.fault:
            case BreakStore() | BreakLink():
                return True
            case fault if instance in interrupted_instances(fault):
                return True
    return False
