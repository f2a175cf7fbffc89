"""Chooses the target of an attempt."""

from savoryarch.model import SnapshotId
from savoryarch.targets._failures import FAILURE_COST, failing_share
from savoryarch.targets._latency import expected_latency_ms
from savoryarch.targets._life import LIVE, may_serve
from savoryarch.targets._limits import in_flight_limit, is_suspect
from savoryarch.targets._settings import LeastExpectedLatency, RoundRobin
from savoryarch.targets._state import TargetRecord, TargetsState, TargetUsage

_SLOW_RATIO = 2.0  # below it, differences in latency are taken for noise
_MAX_DOUBLINGS = 5


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
    declared = state.services.get(service)
    if declared is None:
        return None
    usual_ms = declared.latency_histogram.median_ms
    best: tuple[float, float] | None = None
    chosen: str | None = None
    for target_id in declared.target_ids:
        if target_id in exclude:
            continue
        record = state.records[target_id]
        use = state.usages[target_id]
        if not _has_room(record, use, snapshot, now_ms):
            continue
        rank = (_cost_ms(state, record, use, usual_ms, now_ms), use.begun_at_ms)
        if best is None or rank < best:
            best, chosen = rank, target_id
    return chosen


def trial_target(
    state: TargetsState, service: str, snapshot: SnapshotId | None, now_ms: float
) -> str | None:
    """Return a slow target that should be tried again now, if there is one.

    An ordinary request that tries it would be slow as well; a copy of one that went elsewhere
    costs a little extra load instead.
    """
    declared = state.services.get(service)
    for target_id in declared.target_ids if declared else ():
        use = state.usages[target_id]
        if (
            not is_suspect(use)
            or use.in_flight
            or not _is_usable(state.records[target_id], snapshot)
        ):
            continue
        if now_ms - use.overdue_at_ms >= state.settings.trial_interval_ms:
            return target_id
    return None


def has_capacity(state: TargetsState, service: str, now_ms: float) -> bool:
    """Return whether any target of a service has room for one more attempt."""
    declared = state.services.get(service)
    if declared is None:
        return True  # whoever waits has to be told that nothing serves it
    records = [state.records[target_id] for target_id in declared.target_ids]
    usable = [record for record in records if _is_usable(record, None)]
    return not usable or any(
        _has_room(record, state.usages[record.target.target_id], None, now_ms) for record in usable
    )


def has_serving_target(
    state: TargetsState, service: str, exclude: frozenset[str], snapshot: SnapshotId | None
) -> bool:
    """Return whether a target outside of `exclude` serves the snapshot, room or not."""
    declared = state.services.get(service)
    if declared is None:
        return False
    records = [state.records[name] for name in declared.target_ids if name not in exclude]
    return any(
        may_serve(record) and (snapshot is None or snapshot in record.snapshots)
        for record in records
    )


def _is_usable(record: TargetRecord, snapshot: SnapshotId | None) -> bool:
    return record.chart_state == LIVE and (snapshot is None or snapshot in record.snapshots)


def _has_room(
    record: TargetRecord, use: TargetUsage, snapshot: SnapshotId | None, now_ms: float
) -> bool:
    if not _is_usable(record, snapshot):
        return False
    return use.in_flight < in_flight_limit(record, use, now_ms)


def _cost_ms(
    state: TargetsState, record: TargetRecord, use: TargetUsage, usual_ms: float, now_ms: float
) -> float:
    settings = state.settings
    match settings.choice:
        case RoundRobin():
            return 0.0
        case LeastExpectedLatency():
            expected_ms = expected_latency_ms(
                use.recent, usual_ms, settings.slow_half_life_ms, now_ms
            )
            slow_ms = max(expected_ms - usual_ms, _suspicion_ms(state, use, usual_ms, now_ms))
            if slow_ms < (_SLOW_RATIO - 1.0) * usual_ms:
                slow_ms = 0.0
            busy = use.in_flight + _others_in_flight(use, usual_ms, now_ms)
            busy_ms = usual_ms * busy / record.slots
            near = record.target.availability_zone == settings.availability_zone
            failing_ms = 0.0
            if use.failure_share:
                failing_ms = usual_ms * FAILURE_COST * failing_share(use, settings, now_ms)
            return slow_ms + failing_ms + busy_ms + (0.0 if near else settings.zone_distance_ms)


def _others_in_flight(use: TargetUsage, usual_ms: float, now_ms: float) -> float:
    """Return what is left of the requests of other instances that were seen by a shed."""
    if use.others == 0.0 or usual_ms == 0.0:
        return 0.0
    return use.others * 0.5 ** ((now_ms - use.others_at_ms) / usual_ms)


def _suspicion_ms(state: TargetsState, use: TargetUsage, usual_ms: float, now_ms: float) -> float:
    """Return what to add for attempts overdue in a row; it halves until the next trial."""
    if not is_suspect(use):
        return 0.0
    doublings = min(use.overdue, _MAX_DOUBLINGS)
    halvings = (now_ms - use.overdue_at_ms) / state.settings.slow_half_life_ms
    return usual_ms * 2.0 ** (doublings - 1 - halvings)
