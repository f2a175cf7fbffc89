"""What an attempt's begin, delay and end teach of its target."""

from dataclasses import replace

from savoryarch.model import (
    AttemptEnded,
    Cancelled,
    ConnectionLost,
    DeadlinePassed,
    Draining,
    MalformedReply,
    NotSent,
    PartReturned,
    RouteReturned,
    Shed,
    SnapshotId,
    SnapshotNotServed,
    TargetFailed,
    TimedOut,
)
from savoryarch.targets._latency import add_latency, add_to_recent
from savoryarch.targets._life import apply_sign, put_record
from savoryarch.targets._limits import lower_limit, raise_limit
from savoryarch.targets._state import TargetRecord, TargetsState


def begin_attempt(state: TargetsState, target_id: str, now_ms: float) -> TargetsState:
    """Take a place in the target's in-flight limit; `end_attempt` gives it back."""
    record = state.records[target_id]
    record = replace(
        record, in_flight=record.in_flight + 1, begun=record.begun + 1, begun_at_ms=now_ms
    )
    return replace(state, records=state.records.set(target_id, record))


def note_overdue(
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
    record = state.records.get(target_id)
    if record is None:
        return state
    record = replace(
        record,
        recent=add_to_recent(record.recent, waited_ms, now_ms, censored=True),
        overdue=record.overdue + 1,
        overdue_at_ms=now_ms,
    )
    return replace(state, records=state.records.set(target_id, record))


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
        The end of an attempt that `begin_attempt` counted.
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
    record = _learn_from_reply(state, record, ended, latency_ms, now_ms)
    record = replace(record, in_flight=max(0, record.in_flight - 1))
    state = put_record(state, _learn_snapshots(record, ended.snapshots, now_ms))
    state = _learn_service_latency(state, record, ended, latency_ms)
    sign = _sign_of(ended)
    return apply_sign(state, ended.target_id, sign, now_ms).state if sign else state


def _learn_from_reply(
    state: TargetsState, record: TargetRecord, ended: AttemptEnded, latency_ms: float, now_ms: float
) -> TargetRecord:
    match ended.reply:
        case PartReturned() | RouteReturned():
            return raise_limit(_learn_latency(state, record, latency_ms, now_ms))
        case Shed(retry_after_ms=retry_after_ms):
            pause_ms = state.settings.shed_pause_ms if retry_after_ms is None else retry_after_ms
            return lower_limit(record, max(0.0, pause_ms), now_ms)
        case TimedOut() | DeadlinePassed() | Cancelled():
            recent = add_to_recent(record.recent, latency_ms, now_ms, censored=True)
            return replace(record, recent=recent)
        case _:
            return record


def _learn_latency(
    state: TargetsState, record: TargetRecord, latency_ms: float, now_ms: float
) -> TargetRecord:
    tail_ms = state.services[record.target.service].histogram.tail_ms
    return replace(
        record,
        recent=add_to_recent(record.recent, latency_ms, now_ms),
        overdue=0 if latency_ms <= tail_ms else record.overdue,
        replied_at_ms=now_ms,
    )


def _learn_snapshots(
    record: TargetRecord, snapshots: tuple[SnapshotId, ...], now_ms: float
) -> TargetRecord:
    if not snapshots:
        return record
    return replace(record, snapshots=frozenset(snapshots), replied_at_ms=now_ms, denied=None)


def _learn_service_latency(
    state: TargetsState, record: TargetRecord, ended: AttemptEnded, latency_ms: float
) -> TargetsState:
    match ended.reply:
        case PartReturned() | RouteReturned():
            censored = False
        case TimedOut() | DeadlinePassed() | Cancelled():
            censored = True
        case _:
            return state
    name = record.target.service
    service = state.services[name]
    histogram = add_latency(service.histogram, latency_ms, censored=censored)
    services = state.services.set(name, replace(service, histogram=histogram))
    return replace(state, services=services)


def _sign_of(ended: AttemptEnded) -> str | None:
    match ended.reply:
        case Draining():
            return "draining"
        case ConnectionLost():
            return "closed"
        case (
            # a refused connection is signed by itself; a connection that was not free is no sign
            NotSent()
            | PartReturned()
            | RouteReturned()
            | Shed()
            | SnapshotNotServed()
            | DeadlinePassed()
            | TimedOut()
            | Cancelled()
            | MalformedReply()
            | TargetFailed()
        ):
            return None
