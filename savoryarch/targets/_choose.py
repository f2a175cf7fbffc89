"""Chooses the target of an attempt."""

from savoryarch.model import SnapshotId
from savoryarch.targets._failures import FAILURE_COST_RATIO, recent_failure_share
from savoryarch.targets._latency import expected_latency_ms
from savoryarch.targets._limits import in_flight_limit, is_slow
from savoryarch.targets._settings import LeastExpectedLatency, RoundRobin
from savoryarch.targets._state import TargetRecord, TargetsState, TargetUsage
from savoryarch.targets._target_chart import LIVE, may_serve

_SLOW_RATIO = 2.0  # below it, differences in latency are taken for noise
_MAX_PENALTY_DOUBLINGS = 5


def choose_target(
    state: TargetsState,
    service: str,
    *,
    exclude: frozenset[str],
    snapshot: SnapshotId | None,
    now_ms: float,
) -> str | None:
    """Choose a live target that has room for one more attempt of this instance.

    Parameters
    ----------
    state : TargetsState
        What is known of the targets.
    service : str
        The service to be reached.
    exclude : frozenset of str
        Targets that must not be chosen.
    snapshot : SnapshotId or None
        The snapshot that the target has to serve, if any.
    now_ms : float
        Current time.

    Returns
    -------
    target_id : str or None
        None if no target has room.
    """
    service_record = state.services.get(service)
    if service_record is None:
        return None
    median_ms = service_record.latency_histogram.median_ms
    best: tuple[float, float] | None = None
    chosen: str | None = None
    for target_id in service_record.target_ids:
        if target_id in exclude:
            continue
        record = state.records[target_id]
        usage = state.usages[target_id]
        if not _has_capacity(record, usage, snapshot, now_ms):
            continue
        rank = (_cost_ms(state, record, usage, median_ms, now_ms), usage.last_started_at_ms)
        if best is None or rank < best:
            best, chosen = rank, target_id
    return chosen


def choose_trial_target(
    state: TargetsState, service: str, snapshot: SnapshotId | None, now_ms: float
) -> str | None:
    """Return a slow target that should be tried again now, if there is one.

    An ordinary request that tries it would be slow as well; a copy of one that went elsewhere
    costs a little extra load instead.
    """
    service_record = state.services.get(service)
    for target_id in service_record.target_ids if service_record else ():
        usage = state.usages[target_id]
        if (
            not is_slow(usage)
            or usage.in_flight
            or not _is_usable(state.records[target_id], snapshot)
        ):
            continue
        if now_ms - usage.overdue_updated_at_ms >= state.settings.trial_interval_ms:
            return target_id
    return None


def has_capacity(state: TargetsState, service: str, now_ms: float) -> bool:
    """Return whether any target of a service has room for one more attempt."""
    service_record = state.services.get(service)
    if service_record is None:
        return True  # whoever waits has to be told that nothing serves it
    records = [state.records[target_id] for target_id in service_record.target_ids]
    usable = [record for record in records if _is_usable(record, None)]
    return not usable or any(
        _has_capacity(record, state.usages[record.target.target_id], None, now_ms)
        for record in usable
    )


def has_serving_target(
    state: TargetsState, service: str, exclude: frozenset[str], snapshot: SnapshotId | None
) -> bool:
    """Return whether a target outside of `exclude` serves the snapshot, room or not."""
    service_record = state.services.get(service)
    if service_record is None:
        return False
    records = [state.records[name] for name in service_record.target_ids if name not in exclude]
    return any(
        may_serve(record) and (snapshot is None or snapshot in record.snapshots)
        for record in records
    )


def _is_usable(record: TargetRecord, snapshot: SnapshotId | None) -> bool:
    return record.chart_state == LIVE and (snapshot is None or snapshot in record.snapshots)


def _has_capacity(
    record: TargetRecord, usage: TargetUsage, snapshot: SnapshotId | None, now_ms: float
) -> bool:
    if not _is_usable(record, snapshot):
        return False
    return usage.in_flight < in_flight_limit(record, usage, now_ms)


def _cost_ms(
    state: TargetsState, record: TargetRecord, usage: TargetUsage, median_ms: float, now_ms: float
) -> float:
    settings = state.settings
    match settings.choice:
        case RoundRobin():
            return 0.0
        case LeastExpectedLatency():
            expected_ms = expected_latency_ms(
                usage.recent_latency, median_ms, settings.slow_half_life_ms, now_ms
            )
            slowness_ms = max(
                expected_ms - median_ms, _slowness_penalty_ms(state, usage, median_ms, now_ms)
            )
            if slowness_ms < (_SLOW_RATIO - 1.0) * median_ms:
                slowness_ms = 0.0
            in_flight = usage.in_flight + _decayed_others_in_flight(usage, median_ms, now_ms)
            busy_ms = median_ms * in_flight / record.slots
            is_same_zone = record.target.availability_zone == settings.availability_zone
            failure_ms = 0.0
            if usage.failure_share:
                failure_ms = (
                    median_ms * FAILURE_COST_RATIO * recent_failure_share(usage, settings, now_ms)
                )
            return (
                slowness_ms
                + failure_ms
                + busy_ms
                + (0.0 if is_same_zone else settings.zone_distance_ms)
            )


def _decayed_others_in_flight(usage: TargetUsage, median_ms: float, now_ms: float) -> float:
    """Return what is left of the requests of other instances that were seen by a shed."""
    if usage.others_in_flight == 0.0 or median_ms == 0.0:
        return 0.0
    return usage.others_in_flight * 0.5 ** ((now_ms - usage.others_observed_at_ms) / median_ms)


def _slowness_penalty_ms(
    state: TargetsState, usage: TargetUsage, median_ms: float, now_ms: float
) -> float:
    """Return what to add for attempts overdue in a row; it halves until the next trial."""
    if not is_slow(usage):
        return 0.0
    doublings = min(usage.overdue_count, _MAX_PENALTY_DOUBLINGS)
    halvings = (now_ms - usage.overdue_updated_at_ms) / state.settings.slow_half_life_ms
    return median_ms * 2.0 ** (doublings - 1 - halvings)
