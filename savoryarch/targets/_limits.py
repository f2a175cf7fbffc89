"""How much of each target this instance may use."""

from savoryarch.targets._settings import TargetsSettings
from savoryarch.targets._state import TargetRecord, TargetUsage

SHED_LIMIT_RATIO = 0.5
MIN_LIMIT = 1.0
SLOW_OVERDUE_COUNT = 2  # one overdue attempt in a row is usual, two are rare
RESERVED_CONNECTIONS = 1  # for probes and cancellations


def connection_share(
    connection_limit: int, settings: TargetsSettings, max_listed_instances: int
) -> int:
    """Return the connections that this instance may hold to a target.

    The share counts every instance that can exist at a time, so that all instances together stay
    within the limit whatever each of them believes of the others.

    Parameters
    ----------
    connection_limit : int
        Of the target, for all instances together.
    settings : TargetsSettings
        Instances that are expected.
    max_listed_instances : int
        Instances that were listed at a time, at most.
    """
    expected_instances = settings.entry_instances + settings.surge_instances
    return connection_limit // max(expected_instances, max_listed_instances)


def ready_connections(share: int, settings: TargetsSettings) -> int:
    """Return the connections that are kept open ahead of need.

    At most half of this instance's share: many instances that all use up their shares ahead leave
    a target no connection for those that need one, and most of what they open closes unused.
    """
    return min(settings.ready_connections, share // 2)


def initial_limit(slots: int, live_instances: int) -> float:
    """Return the in-flight limit before anything is learned: the equal share, but at least one."""
    return max(MIN_LIMIT, float(slots // live_instances))


def is_slow(usage: TargetUsage) -> bool:
    """Return whether the target is slow or frozen, by attempts overdue in a row."""
    return usage.overdue_count >= SLOW_OVERDUE_COUNT


def in_flight_limit(record: TargetRecord, usage: TargetUsage, now_ms: float) -> int:
    """Return how many attempts the target may have in flight from this instance now."""
    if now_ms < record.paused_until_ms:
        return 0
    if now_ms < record.warm_up_ends_at_ms or is_slow(usage):
        return min(1, record.max_connections)
    return min(int(usage.limit), record.slots, _usable_connections(record))


def _usable_connections(record: TargetRecord) -> int:
    if record.max_connections <= RESERVED_CONNECTIONS:
        return record.max_connections
    return record.max_connections - RESERVED_CONNECTIONS


def raised_limit(record: TargetRecord, usage: TargetUsage) -> float:
    """Return the limit after a success: one more per window, if it was the limit that held back."""
    if usage.in_flight < int(usage.limit) or usage.limit >= record.slots:
        return usage.limit
    return min(float(record.slots), usage.limit + 1.0 / usage.limit)


def lowered_limit(usage: TargetUsage) -> float:
    """Return the limit after a shed."""
    return max(MIN_LIMIT, usage.limit * SHED_LIMIT_RATIO)
