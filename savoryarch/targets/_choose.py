"""Chooses the targets of attempts by their expected latency, load and failures."""

from dataclasses import dataclass

from savoryarch.model import SnapshotId
from savoryarch.targets._failures import FAILURE_COST_RATIO, recent_failure_share
from savoryarch.targets._latency import expected_latency_ms
from savoryarch.targets._limits import in_flight_limit, is_slow
from savoryarch.targets._settings import LeastExpectedLatency, RoundRobin
from savoryarch.targets._state import TargetRecord, TargetsState, TargetUsage
from savoryarch.targets._target_chart import LIVE, may_serve

# An expected latency below this multiple of the median costs nothing extra, since such differences
# are treated as noise.
_SLOW_RATIO = 2.0
MAX_REPORT_AGE_MS = 500.0  # of the number of its requests that a target reported
_MAX_PENALTY_DOUBLINGS = 5  # caps the penalty at 16 median latencies, so that it decays soon


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Use of the targets of a service.

    Parameters
    ----------
    own_in_flight : int
        Attempts of this instance that have not ended.
    others_in_flight : float
        Estimated requests of other instances at the targets that reported recently.
    slots : int
        Slots of all targets together.
    reported_slots : int
        Slots of the targets that reported the number of their requests recently.
    failure_share : float
        Greatest share of recent attempts that one of the targets refused or failed.
    """

    own_in_flight: int
    others_in_flight: float
    slots: int
    reported_slots: int
    failure_share: float


def choose_target(
    state: TargetsState,
    service: str,
    *,
    exclude: frozenset[str],
    snapshot: SnapshotId | None,
    now_ms: float,
) -> str | None:
    """Choose a live target that has capacity for one more attempt of this instance.

    Parameters
    ----------
    state : TargetsState
        State of the targets.
    service : str
        The service that the attempt is for.
    exclude : frozenset of str
        Ids of targets that must not be chosen.
    snapshot : SnapshotId or None
        The snapshot that the target has to serve; None if any will do.
    now_ms : float
        Current time, on the clock of the process.

    Returns
    -------
    target_id : str or None
        The target with the lowest cost under the policy of the settings, and of equal ones the
        least recently used. None if no target has capacity.
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
    """Return a slow target that is due for a trial; None if there is none.

    A trial is a copy of an attempt that was sent to another target. It shows whether the slow
    target has recovered without delaying a request, at the cost of a little extra load.

    Parameters
    ----------
    state : TargetsState
        State of the targets.
    service : str
        The service of the attempt.
    snapshot : SnapshotId or None
        The snapshot that the target has to serve; None if any will do.
    now_ms : float
        Current time, on the clock of the process.
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
    """Return whether a request that waits for a service should be dispatched now.

    True if a target of the service has capacity for one more attempt. Also true if the service is
    not declared or has no live target, so that the request can end if nothing serves it.

    Parameters
    ----------
    state : TargetsState
        State of the targets.
    service : str
        Name of the service.
    now_ms : float
        Current time, on the clock of the process.
    """
    service_record = state.services.get(service)
    if service_record is None:
        return True
    records = [state.records[target_id] for target_id in service_record.target_ids]
    usable = [record for record in records if _is_usable(record, None)]
    return not usable or any(
        _has_capacity(record, state.usages[record.target.target_id], None, now_ms)
        for record in usable
    )


def measure_load(state: TargetsState, service: str, now_ms: float) -> ServiceLoad:
    """Return how much of a service is in use, by what this instance knows now.

    A service that is not declared has no slots.
    """
    service_record = state.services.get(service)
    if service_record is None:
        return ServiceLoad(0, 0.0, 0, 0, 0.0)
    median_ms = service_record.latency_histogram.median_ms
    own, others, slots, reported_slots, failing = 0, 0.0, 0, 0, 0.0
    for target_id in service_record.target_ids:
        usage = state.usages[target_id]
        own += usage.in_flight
        slots += state.records[target_id].slots
        if now_ms - usage.others_observed_at_ms <= MAX_REPORT_AGE_MS:
            reported_slots += state.records[target_id].slots
            others += _decayed_others_in_flight(usage, median_ms, now_ms)
        failing = max(failing, recent_failure_share(usage, state.settings, now_ms))
    return ServiceLoad(own, others, slots, reported_slots, failing)


def has_serving_target(
    state: TargetsState,
    service: str,
    exclude: frozenset[str],
    snapshot: SnapshotId | None,
    usable_by_ms: float = float("inf"),
) -> bool:
    """Return whether a target serves a snapshot, with or without capacity now.

    Parameters
    ----------
    state : TargetsState
        State of the targets.
    service : str
        Name of the service.
    exclude : frozenset of str
        Ids of targets that do not count.
    snapshot : SnapshotId or None
        The snapshot; None if any will do.
    usable_by_ms : float
        A target that asked for a pause counts only if the pause ends by this time.
    """
    service_record = state.services.get(service)
    if service_record is None:
        return False
    records = [state.records[name] for name in service_record.target_ids if name not in exclude]
    return any(
        may_serve(record)
        and record.held_until_ms <= usable_by_ms
        and (snapshot is None or snapshot in record.snapshots)
        for record in records
    )


def pause_ends_at_ms(state: TargetsState, service: str) -> float:
    """Return when the first target of a service takes requests again, if all asked for a pause.

    The time has passed if a target did not ask for one. It is infinite if no target serves.
    """
    service_record = state.services.get(service)
    records = [state.records[name] for name in service_record.target_ids] if service_record else []
    return min(
        (record.held_until_ms for record in records if may_serve(record)), default=float("inf")
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
    """Return the cost of one more attempt at a target under the policy of the settings, in ms."""
    settings = state.settings
    match settings.choice:
        case RoundRobin():
            return 0.0
        case LeastExpectedLatency():
            expected_ms = expected_latency_ms(
                usage.latency_mean, median_ms, settings.slow_half_life_ms, now_ms
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
    """Return an estimate of the requests of other instances that the target runs now.

    They are known from the last shed or report, and half of them are assumed to end per median
    latency.
    """
    if usage.others_in_flight == 0.0 or median_ms == 0.0:
        return 0.0
    return usage.others_in_flight * 0.5 ** ((now_ms - usage.others_observed_at_ms) / median_ms)


def _slowness_penalty_ms(
    state: TargetsState, usage: TargetUsage, median_ms: float, now_ms: float
) -> float:
    """Return the cost in ms of consecutive overdue attempts.

    It is the median latency after the first one, doubles with each further one, and decays by the
    half-life of slowness.
    """
    if not is_slow(usage):
        return 0.0
    doublings = min(usage.overdue_count, _MAX_PENALTY_DOUBLINGS)
    halvings = (now_ms - usage.overdue_updated_at_ms) / state.settings.slow_half_life_ms
    return median_ms * 2.0 ** (doublings - 1 - halvings)
