"""Updates what is known of a target when an attempt starts, becomes overdue or ends."""

from savoryarch.model import (
    AttemptEnded,
    Cancelled,
    ConnectionLost,
    DeadlinePassed,
    Draining,
    MalformedReply,
    Misdirected,
    NotSent,
    PartReturned,
    ResponseReturned,
    RouteReturned,
    Shed,
    SnapshotId,
    SnapshotNotServed,
    TargetFailed,
    TimedOut,
)
from savoryarch.targets._failures import FAILURE_WEIGHT, add_failure
from savoryarch.targets._latency import add_latency, add_to_recent
from savoryarch.targets._limits import is_slow, lowered_limit, raised_limit
from savoryarch.targets._state import ServiceRecord, TargetRecord, TargetsState, TargetUsage
from savoryarch.targets._target_chart import put_record, step_target
from savoryarch.utils import replace

_MIN_SAMPLES = 20  # latency samples of a service, before its tail latency is used
_FIRST_FAILURE_STATUS = 500  # HTTP status; this and higher ones are failures of the target
# An attempt that ends without a reply counts as overdue if it took more than this multiple of the
# tail latency. Attempts at a healthy target very rarely take that long.
_OVERDUE_TAIL_RATIO = 1.4


def start_attempt(state: TargetsState, target_id: str, now_ms: float) -> TargetsState:
    """Use a slot of the target's in-flight limit; `end_attempt` releases it.

    Parameters
    ----------
    state : TargetsState
        State of the targets.
    target_id : str
        The target of the attempt.
    now_ms : float
        Time of the start, on the clock of the process.

    Returns
    -------
    state : TargetsState
        State after the start.
    """
    usage = state.usages[target_id]
    usage = replace(usage, in_flight=usage.in_flight + 1, last_started_at_ms=now_ms)
    return replace(state, usages=state.usages.set(target_id, usage))


def record_overdue(
    state: TargetsState, target_id: str, waited_ms: float, now_ms: float
) -> TargetsState:
    """Record that an attempt in flight is overdue, so that new work avoids its target.

    Parameters
    ----------
    state : TargetsState
        State of the targets.
    target_id : str
        The target of the attempt.
    waited_ms : float
        Time since the attempt started, a lower bound of its latency.
    now_ms : float
        Current time.

    Returns
    -------
    state : TargetsState
        State after the update. It is unchanged if the target is not declared, or if the attempt
        has taken less than the tail latency of the service.
    """
    usage = state.usages.get(target_id)
    if usage is None:
        return state
    service = state.services[state.records[target_id].target.service]
    if waited_ms < _tail_latency_ms(service):
        return state  # A hedge that is sent early is no evidence of a slow target.
    usage = replace(
        usage,
        latency_mean=add_to_recent(usage.latency_mean, waited_ms, now_ms, censored=True),
        overdue_count=usage.overdue_count + 1,
        overdue_updated_at_ms=now_ms,
    )
    return replace(state, usages=state.usages.set(target_id, usage))


def _tail_latency_ms(service: ServiceRecord) -> float:
    """Return the tail latency of a service; infinite while it has too few samples."""
    histogram = service.latency_histogram
    return histogram.tail_ms if histogram.sample_count >= _MIN_SAMPLES else float("inf")


def record_unserved_snapshot(
    state: TargetsState, target_id: str, snapshot: SnapshotId
) -> TargetsState:
    """Record that a target does not serve a snapshot, as its reply shows.

    Probes cannot restore the snapshot until another reply lists the snapshots of the target.

    Parameters
    ----------
    state : TargetsState
        State of the targets.
    target_id : str
        The target that replied.
    snapshot : SnapshotId
        The snapshot that it does not serve.

    Returns
    -------
    state : TargetsState
        State after the update; unchanged if the target is not declared.
    """
    record = state.records.get(target_id)
    if record is None:
        return state
    snapshots = record.snapshots - {snapshot}
    return put_record(state, replace(record, snapshots=snapshots, unserved_snapshot=snapshot))


def end_attempt(
    state: TargetsState, ended: AttemptEnded, latency_ms: float, now_ms: float
) -> TargetsState:
    """Release the slot of an attempt, and update its target by the reply.

    Parameters
    ----------
    state : TargetsState
        State of the targets.
    ended : AttemptEnded
        The end of an attempt that `start_attempt` counted.
    latency_ms : float
        Time since the attempt started.
    now_ms : float
        Time of the end, on the clock of the process.

    Returns
    -------
    state : TargetsState
        State after the update; unchanged if the target is not declared any more.

    Notes
    -----
    In-flight limits depend on observed sheds and latencies, which a target cannot misreport. The
    number of requests that a target reports only affects placement, and whether more than this
    instance's share is admitted.
    """
    record = state.records.get(ended.target_id)
    if record is None:
        return state
    match ended.reply:
        case ResponseReturned(status=status) if status >= _FIRST_FAILURE_STATUS:
            state = _record_failure(state, record, now_ms)
        case PartReturned() | RouteReturned() | ResponseReturned():
            state = _record_success(state, record, ended, latency_ms, now_ms)
        case TimedOut() | DeadlinePassed() | Cancelled():
            state = _record_censored(state, record, latency_ms, now_ms)
        case MalformedReply() | TargetFailed():
            state = _record_failure(state, record, now_ms)
        case Shed(retry_after_ms=retry_after_ms):
            state = _record_shed(state, record, retry_after_ms, now_ms)
        case _:
            state = _put_usage(state, record, _released_usage(state, record))
    state = _apply_reported_snapshots(state, ended, now_ms)
    event = _chart_event_of(ended)
    return step_target(state, ended.target_id, event, now_ms).state if event else state


def _released_usage(state: TargetsState, record: TargetRecord) -> TargetUsage:
    """Return the usage of a target after one attempt has ended."""
    usage = state.usages[record.target.target_id]
    return replace(usage, in_flight=max(0, usage.in_flight - 1))


def _put_usage(state: TargetsState, record: TargetRecord, usage: TargetUsage) -> TargetsState:
    return replace(state, usages=state.usages.set(record.target.target_id, usage))


def _record_success(
    state: TargetsState, record: TargetRecord, ended: AttemptEnded, latency_ms: float, now_ms: float
) -> TargetsState:
    """Record a reply and its latency; a timely reply resets the overdue count."""
    target_id, name = record.target.target_id, record.target.service
    service = state.services[name]
    previous = state.usages[target_id]
    others_in_flight, others_observed_at_ms = (
        previous.others_in_flight,
        previous.others_observed_at_ms,
    )
    if ended.target_in_flight is not None:
        others_in_flight = float(max(0, ended.target_in_flight - previous.in_flight))
        others_observed_at_ms = now_ms
    usage = TargetUsage(
        in_flight=max(0, previous.in_flight - 1),
        limit=raised_limit(record, previous),
        last_started_at_ms=previous.last_started_at_ms,
        last_replied_at_ms=now_ms,
        latency_mean=add_to_recent(previous.latency_mean, latency_ms, now_ms),
        others_in_flight=others_in_flight,
        others_observed_at_ms=others_observed_at_ms,
        overdue_count=(
            0 if latency_ms <= service.latency_histogram.tail_ms else previous.overdue_count
        ),
        overdue_updated_at_ms=now_ms if is_slow(previous) else previous.overdue_updated_at_ms,
        failure_share=previous.failure_share * (1.0 - FAILURE_WEIGHT),
        last_failed_at_ms=previous.last_failed_at_ms,
    )
    service = replace(service, latency_histogram=add_latency(service.latency_histogram, latency_ms))
    return replace(
        state,
        usages=state.usages.set(target_id, usage),
        services=state.services.set(name, service),
    )


def _record_censored(
    state: TargetsState, record: TargetRecord, latency_ms: float, now_ms: float
) -> TargetsState:
    """Record the time of an attempt that ended without a reply, a lower bound of its latency."""
    usage = _released_usage(state, record)
    service = state.services[record.target.service]
    usage = replace(
        usage, latency_mean=add_to_recent(usage.latency_mean, latency_ms, now_ms, censored=True)
    )
    if latency_ms > _OVERDUE_TAIL_RATIO * _tail_latency_ms(service):
        usage = replace(usage, overdue_count=usage.overdue_count + 1, overdue_updated_at_ms=now_ms)
    state = _put_usage(state, record, usage)
    histogram = add_latency(service.latency_histogram, latency_ms, censored=True)
    service = replace(service, latency_histogram=histogram)
    return replace(state, services=state.services.set(record.target.service, service))


def _record_failure(state: TargetsState, record: TargetRecord, now_ms: float) -> TargetsState:
    """Record a failure of the target, without its latency.

    Failures are often faster than successful replies, and would make the target seem fast.
    """
    usage = add_failure(_released_usage(state, record), state.settings, now_ms)
    return _put_usage(state, record, replace(usage, last_replied_at_ms=now_ms))


def _record_shed(
    state: TargetsState, record: TargetRecord, retry_after_ms: float | None, now_ms: float
) -> TargetsState:
    """Lower the in-flight limit of a target that shed an attempt, and pause the target.

    A target sheds when all its slots are in use, so that the slots beyond the attempts of this
    instance are taken to be used by other instances.
    """
    usage = _released_usage(state, record)
    if now_ms < record.held_until_ms:
        return _put_usage(state, record, usage)  # The target asked for a pause; it does not fail.
    others_in_flight = float(max(0, record.slots - usage.in_flight))
    median_ms = state.services[record.target.service].latency_histogram.median_ms
    usage = replace(
        usage,
        limit=lowered_limit(usage),
        others_in_flight=others_in_flight,
        others_observed_at_ms=now_ms,
    )
    usage = add_failure(usage, state.settings, now_ms)
    state = _put_usage(state, record, usage)
    pause_ms = state.settings.shed_pause_ms if retry_after_ms is None else max(0.0, retry_after_ms)
    if median_ms > 0.0:
        pause_ms = min(pause_ms, median_ms / record.slots)  # expected time until a slot is free
    paused_until_ms = max(record.paused_until_ms, now_ms + pause_ms)
    return put_record(state, replace(record, paused_until_ms=paused_until_ms))


def _apply_reported_snapshots(
    state: TargetsState, ended: AttemptEnded, now_ms: float
) -> TargetsState:
    """Replace the snapshots of a target by those that its reply lists."""
    if not ended.snapshots:
        return state
    record = state.records[ended.target_id]
    usage = state.usages[ended.target_id]
    if usage.last_replied_at_ms != now_ms:
        state = _put_usage(state, record, replace(usage, last_replied_at_ms=now_ms))
    snapshots = frozenset(ended.snapshots)
    if snapshots == record.snapshots and record.unserved_snapshot is None:
        return state
    return put_record(state, replace(record, snapshots=snapshots, unserved_snapshot=None))


def _chart_event_of(ended: AttemptEnded) -> str | None:
    """Return the event of the chart ``target`` that the end of an attempt causes, if any."""
    match ended.reply:
        case Draining():
            return "draining"
        case ConnectionLost():
            return "closed"
        case Misdirected():
            return "lost"  # Another target has its address.
        case (
            # `NotSent` is no evidence, since it also occurs if all connections were in use. A
            # refused connection is reported by a `TargetEvidenceReceived` of its own.
            NotSent()
            | PartReturned()
            | RouteReturned()
            | ResponseReturned()
            | Shed()
            | SnapshotNotServed()
            | DeadlinePassed()
            | TimedOut()
            | Cancelled()
            | MalformedReply()
            | TargetFailed()
        ):
            return None
