"""How much of each target this instance may use."""

from dataclasses import replace

from savoryarch.targets._settings import TargetsSettings
from savoryarch.targets._state import TargetRecord

SHED_BACK_OFF = 0.5
MIN_LIMIT = 1.0
SUSPECT_OVERDUE = 2  # one overdue attempt in a row is usual, two are rare
RESERVED_CONNECTIONS = 1  # for probes and cancellations


def connection_share(connection_limit: int, settings: TargetsSettings) -> int:
    """Return the connections that this instance may hold to a target.

    The share counts every instance that can exist at a time, so that all instances together stay
    within the limit whatever each of them believes of the others.
    """
    return connection_limit // (settings.entry_instances + settings.surge_instances)


def first_limit(slots: int, live_instances: int) -> float:
    """Return the in-flight limit before anything is learned: the equal share, but at least one."""
    return max(MIN_LIMIT, float(slots // live_instances))


def is_suspect(record: TargetRecord) -> bool:
    """Return whether the target is slow or frozen, by attempts overdue in a row."""
    return record.overdue >= SUSPECT_OVERDUE


def in_flight_limit(record: TargetRecord, now_ms: float) -> int:
    """Return how many attempts the target may have in flight from this instance now."""
    if now_ms < record.paused_until_at_ms:
        return 0
    if now_ms < record.warm_at_ms or is_suspect(record):
        return min(1, record.max_connections)
    return min(int(record.limit), record.slots, _usable_connections(record))


def _usable_connections(record: TargetRecord) -> int:
    if record.max_connections <= RESERVED_CONNECTIONS:
        return record.max_connections
    return record.max_connections - RESERVED_CONNECTIONS


def raise_limit(record: TargetRecord) -> TargetRecord:
    """Grow the limit by one per window of successes, while it was the limit that held back."""
    if record.in_flight < int(record.limit) or record.limit >= record.slots:
        return record
    return replace(record, limit=min(float(record.slots), record.limit + 1.0 / record.limit))


def lower_limit(record: TargetRecord, pause_ms: float, now_ms: float) -> TargetRecord:
    """Halve the limit after a shed, and pause if it was at its least."""
    limit = max(MIN_LIMIT, record.limit * SHED_BACK_OFF)
    paused_until_at_ms = max(record.paused_until_at_ms, now_ms + pause_ms)
    return replace(record, limit=limit, paused_until_at_ms=paused_until_at_ms)
