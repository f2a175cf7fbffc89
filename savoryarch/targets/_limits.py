"""Limits on the attempts and connections of this instance to each target."""

from savoryarch.targets._settings import TargetsSettings
from savoryarch.targets._state import TargetRecord, TargetUsage

SHED_LIMIT_RATIO = 0.5  # multiplies the in-flight limit at each shed
MIN_LIMIT = 1.0  # attempts in flight
SLOW_OVERDUE_COUNT = 2  # a single overdue attempt is usual, two in a row are rare
RESERVED_CONNECTIONS = 1  # for probes and cancellations


def connection_share(
    connection_limit: int, settings: TargetsSettings, max_listed_instances: int
) -> int:
    """Return the number of connections that this instance may hold to a target.

    The limit is divided by the number of instances that can exist at a time, not by the number of
    live instances that this one knows. Thus all instances together stay within the limit, even if
    they cannot reach each other.

    Parameters
    ----------
    connection_limit : int
        Connections that the target accepts from all instances together.
    settings : TargetsSettings
        Settings with the number of instances that are expected.
    max_listed_instances : int
        The largest number of entry instances that a list has named at a time.
    """
    expected_instances = settings.entry_instances + settings.surge_instances
    return connection_limit // max(expected_instances, max_listed_instances)


def ready_connections(share: int, settings: TargetsSettings) -> int:
    """Return the number of idle connections that are opened to a target before they are needed.

    It is at most half of this instance's share. If many instances used up their shares in advance,
    the target would have no connection left for those that need one, and most of the idle
    connections would be closed unused.

    Parameters
    ----------
    share : int
        Connections that this instance may hold to the target.
    settings : TargetsSettings
        Settings with the number of idle connections to keep open.
    """
    return min(settings.ready_connections, share // 2)


def initial_limit(slots: int, live_instances: int) -> float:
    """Return the in-flight limit of a new target: an equal share of its slots, at least one."""
    return max(MIN_LIMIT, float(slots // live_instances))


def is_slow(usage: TargetUsage) -> bool:
    """Return whether several consecutive attempts show that the target is slow or frozen."""
    return usage.overdue_count >= SLOW_OVERDUE_COUNT


def in_flight_limit(record: TargetRecord, usage: TargetUsage, now_ms: float) -> int:
    """Return how many attempts this instance may have in flight at a target now.

    Zero while the target is paused after a shed or asked for a pause, and at most one while it
    warms up or is slow.

    Parameters
    ----------
    record : TargetRecord
        The target, with its slots and this instance's share of its connections.
    usage : TargetUsage
        Its adaptive limit and its overdue attempts.
    now_ms : float
        Current time, on the clock of the process.
    """
    if now_ms < record.paused_until_ms or now_ms < record.held_until_ms:
        return 0
    if now_ms < record.warm_up_ends_at_ms or is_slow(usage):
        return min(1, record.max_connections)
    return min(int(usage.limit), record.slots, _usable_connections(record))


def _usable_connections(record: TargetRecord) -> int:
    """Return the connections for attempts; a share of one connection cannot reserve any."""
    if record.max_connections <= RESERVED_CONNECTIONS:
        return record.max_connections
    return record.max_connections - RESERVED_CONNECTIONS


def raised_limit(record: TargetRecord, usage: TargetUsage) -> float:
    """Return the in-flight limit after a reply.

    It grows by one per `limit` replies, but only while attempts use all of it.
    """
    if usage.in_flight < int(usage.limit) or usage.limit >= record.slots:
        return usage.limit
    return min(float(record.slots), usage.limit + 1.0 / usage.limit)


def lowered_limit(usage: TargetUsage) -> float:
    """Return the in-flight limit after a shed."""
    return max(MIN_LIMIT, usage.limit * SHED_LIMIT_RATIO)
