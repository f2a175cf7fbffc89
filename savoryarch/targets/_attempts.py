"""What an attempt's begin, delay and end teach of its target."""

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
from savoryarch.targets._life import apply_sign, put_record
from savoryarch.targets._limits import is_suspect, lowered_limit, raised_limit
from savoryarch.targets._state import ServiceRecord, TargetRecord, TargetsState, TargetUsage
from savoryarch.utils import replace

_LEAST_SAMPLES = 20
_FIRST_FAILURE_STATUS = 500
_CERTAIN_RATIO = 1.4  # of the tail; so late is an attempt at a healthy target very rarely


def start_attempt(state: TargetsState, target_id: str, now_ms: float) -> TargetsState:
    """Take a place in the target's in-flight limit; `end_attempt` gives it back."""
    use = state.usages[target_id]
    use = replace(use, in_flight=use.in_flight + 1, begun_at_ms=now_ms)
    return replace(state, usages=state.usages.set(target_id, use))


def record_overdue(
    state: TargetsState, target_id: str, waited_ms: float, now_ms: float
) -> TargetsState:
    """Learn that an attempt takes longer than it should, before it ends.

    Parameters
    ----------
    state : TargetsState
        What is known of the targets.
    target_id : str
        The target of the attempt.
    waited_ms : float
        Time since the attempt began: a lower bound of its latency.
    now_ms : float
        Current time.
    """
    use = state.usages.get(target_id)
    if use is None:
        return state
    service = state.services[state.records[target_id].target.service]
    if waited_ms < _slow_beyond_ms(service):
        return state  # hedged early, which is no sign of slowness
    use = replace(
        use,
        recent=add_to_recent(use.recent, waited_ms, now_ms, censored=True),
        overdue=use.overdue + 1,
        overdue_at_ms=now_ms,
    )
    return replace(state, usages=state.usages.set(target_id, use))


def _slow_beyond_ms(service: ServiceRecord) -> float:
    """Return the latency that few attempts pass; infinite while too little is known."""
    known = service.latency_histogram
    return known.tail_ms if known.sample_count >= _LEAST_SAMPLES else float("inf")


def deny_snapshot(state: TargetsState, target_id: str, snapshot: SnapshotId) -> TargetsState:
    """Learn from a reply that the target does not serve a snapshot, whatever its health says."""
    record = state.records.get(target_id)
    if record is None:
        return state
    snapshots = record.snapshots - {snapshot}
    return put_record(state, replace(record, snapshots=snapshots, denied=snapshot))


def end_attempt(
    state: TargetsState, ended: AttemptEnded, latency_ms: float, now_ms: float
) -> TargetsState:
    """Give the place back and learn from the reply.

    Parameters
    ----------
    state : TargetsState
        What is known of the targets.
    ended : AttemptEnded
        The end of an attempt that `start_attempt` counted.
    latency_ms : float
        Time since it began.
    now_ms : float
        Current time.

    Notes
    -----
    The reported load is not used: in-flight limits follow sheds and latency, which cannot lie
    about themselves.
    """
    record = state.records.get(ended.target_id)
    if record is None:
        return state  # no longer declared
    match ended.reply:
        case ResponseReturned(status=status) if status >= _FIRST_FAILURE_STATUS:
            state = _learn_failure(state, record, now_ms)
        case PartReturned() | RouteReturned() | ResponseReturned():
            state = _learn_success(state, record, latency_ms, now_ms)
        case TimedOut() | DeadlinePassed() | Cancelled():
            state = _learn_bound(state, record, latency_ms, now_ms)
        case Shed(retry_after_ms=retry_after_ms):
            state = _learn_shed(state, record, retry_after_ms, now_ms)
        case _:
            state = _put_use(state, record, _given_back(state, record))
    state = _learn_snapshots(state, ended, now_ms)
    sign = _sign_of(ended)
    return apply_sign(state, ended.target_id, sign, now_ms).state if sign else state


def _given_back(state: TargetsState, record: TargetRecord) -> TargetUsage:
    use = state.usages[record.target.target_id]
    return replace(use, in_flight=max(0, use.in_flight - 1))


def _put_use(state: TargetsState, record: TargetRecord, use: TargetUsage) -> TargetsState:
    return replace(state, usages=state.usages.set(record.target.target_id, use))


def _learn_success(
    state: TargetsState, record: TargetRecord, latency_ms: float, now_ms: float
) -> TargetsState:
    target_id, name = record.target.target_id, record.target.service
    service = state.services[name]
    old = state.usages[target_id]
    use = TargetUsage(
        in_flight=max(0, old.in_flight - 1),
        limit=raised_limit(record, old),
        begun_at_ms=old.begun_at_ms,
        replied_at_ms=now_ms,
        recent=add_to_recent(old.recent, latency_ms, now_ms),
        others=old.others,
        others_at_ms=old.others_at_ms,
        overdue=0 if latency_ms <= service.latency_histogram.tail_ms else old.overdue,
        overdue_at_ms=now_ms if is_suspect(old) else old.overdue_at_ms,
        failure_share=old.failure_share * (1.0 - FAILURE_WEIGHT),
        failing_at_ms=old.failing_at_ms,
    )
    service = replace(service, latency_histogram=add_latency(service.latency_histogram, latency_ms))
    return replace(
        state,
        usages=state.usages.set(target_id, use),
        services=state.services.set(name, service),
    )


def _learn_bound(
    state: TargetsState, record: TargetRecord, latency_ms: float, now_ms: float
) -> TargetsState:
    """Learn from an attempt whose reply was not waited for: it would have taken longer."""
    use = _given_back(state, record)
    service = state.services[record.target.service]
    use = replace(use, recent=add_to_recent(use.recent, latency_ms, now_ms, censored=True))
    if latency_ms > _CERTAIN_RATIO * _slow_beyond_ms(service):
        use = replace(use, overdue=use.overdue + 1, overdue_at_ms=now_ms)
    state = _put_use(state, record, use)
    histogram = add_latency(service.latency_histogram, latency_ms, censored=True)
    service = replace(service, latency_histogram=histogram)
    return replace(state, services=state.services.set(record.target.service, service))


def _learn_failure(state: TargetsState, record: TargetRecord, now_ms: float) -> TargetsState:
    """Learn from a failure of the target's own, which is often quicker than a reply."""
    use = add_failure(_given_back(state, record), state.settings, now_ms)
    return _put_use(state, record, replace(use, replied_at_ms=now_ms))


def _learn_shed(
    state: TargetsState, record: TargetRecord, retry_after_ms: float | None, now_ms: float
) -> TargetsState:
    use = _given_back(state, record)
    others = float(max(0, record.slots - use.in_flight))
    usual_ms = state.services[record.target.service].latency_histogram.median_ms
    use = replace(
        use,
        limit=lowered_limit(use),
        others=others,
        others_at_ms=now_ms,
    )
    use = add_failure(use, state.settings, now_ms)
    state = _put_use(state, record, use)
    pause_ms = state.settings.shed_pause_ms if retry_after_ms is None else max(0.0, retry_after_ms)
    if usual_ms > 0.0:
        pause_ms = min(pause_ms, usual_ms / record.slots)  # until a slot is likely to be free
    paused_until_at_ms = max(record.paused_until_at_ms, now_ms + pause_ms)
    return put_record(state, replace(record, paused_until_at_ms=paused_until_at_ms))


def _learn_snapshots(state: TargetsState, ended: AttemptEnded, now_ms: float) -> TargetsState:
    """Believe what a reply says about the snapshots that the target serves."""
    if not ended.snapshots:
        return state
    record = state.records[ended.target_id]
    use = state.usages[ended.target_id]
    if use.replied_at_ms != now_ms:
        state = _put_use(state, record, replace(use, replied_at_ms=now_ms))
    snapshots = frozenset(ended.snapshots)
    if snapshots == record.snapshots and record.denied is None:
        return state
    return put_record(state, replace(record, snapshots=snapshots, denied=None))


def _sign_of(ended: AttemptEnded) -> str | None:
    match ended.reply:
        case Draining():
            return "draining"
        case ConnectionLost():
            return "closed"
        case Misdirected():
            return "lost"
        case (
            # a refused connection is signed by itself; a connection that was not free is no sign
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
