"""Steps targets through the chart ``target``, and counts the replicas that serve a snapshot."""

from dataclasses import dataclass

from immutables import Map

from savoryarch.charts import load_chart
from savoryarch.model import ProbeTarget, SnapshotId
from savoryarch.targets._limits import MIN_LIMIT
from savoryarch.targets._state import ServiceRecord, TargetRecord, TargetsState
from savoryarch.utils import fast_init, replace

LIVE = "live"
SUSPECTED = "suspected"
DRAINING = "draining"
LEAVING = "leaving"

CHART = load_chart("target", frozenset({"start_warm_up", "record_negative_evidence", "probe"}))


@fast_init
@dataclass(frozen=True, slots=True)
class SteppedTargets:
    """The result of a step of one target.

    Parameters
    ----------
    state : TargetsState
        State of the targets after the step.
    effects : tuple of object
        Effects in the order in which the driver performs them.
    """

    state: TargetsState
    effects: tuple[object, ...] = ()


def step_target(state: TargetsState, target_id: str, event: str, now_ms: float) -> SteppedTargets:
    """Apply an event to the chart of one target, and perform the actions of the transition.

    The event ``proved`` stands for positive evidence: the target is live. For a draining target,
    it has no effect while it may be older than the evidence that the target drains.

    Parameters
    ----------
    state : TargetsState
        State before the event.
    target_id : str
        The declared target.
    event : str
        An event of the chart ``target``.
    now_ms : float
        Time of the event, on the clock of the process.

    Returns
    -------
    stepped : SteppedTargets
        The state after the event, and the probes to send.
    """
    record = state.records[target_id]
    if event == "proved" and not _is_fresh(state, record, now_ms):
        return SteppedTargets(state)
    transition = CHART.step(record.chart_state, event)
    if event == "proved":
        record = replace(record, last_positive_evidence_at_ms=now_ms)
    effects: list[object] = []
    for action in transition.actions:
        record = _update_record(state, record, action, now_ms)
        if action == "probe" and now_ms >= record.held_until_ms:
            effects.append(ProbeTarget(target_id))
        if action == "start_warm_up":
            usage = replace(state.usages[target_id], limit=MIN_LIMIT)
            state = replace(state, usages=state.usages.set(target_id, usage))
    record = replace(record, chart_state=transition.next_state)
    return SteppedTargets(put_record(state, record), tuple(effects))


def _is_fresh(state: TargetsState, record: TargetRecord, now_ms: float) -> bool:
    """Return whether positive evidence is certain to be newer than the negative evidence.

    Health endpoints and instance lists lag, so that they may report a draining target as live.
    """
    if record.chart_state != DRAINING:
        return True
    return now_ms - record.last_negative_evidence_at_ms >= state.settings.health_lag_ms


def _update_record(
    state: TargetsState, record: TargetRecord, action: str, now_ms: float
) -> TargetRecord:
    """Return the record after one action of the chart."""
    match action:
        case "start_warm_up":
            warm_up_ends_at_ms = now_ms + state.settings.warm_up_ms
            return replace(record, warm_up_ends_at_ms=warm_up_ends_at_ms)
        case "record_negative_evidence":
            return replace(record, last_negative_evidence_at_ms=now_ms)
        case _:
            return record


def put_record(state: TargetsState, record: TargetRecord) -> TargetsState:
    """Put a changed record into the state, and update the replica counts of its service.

    `snapshots_revision` increases if the target serves other snapshots than before.
    """
    target_id = record.target.target_id
    previous = state.records.get(target_id)
    records = state.records.set(target_id, record)
    old_snapshots = _served_snapshots(previous) if previous else frozenset()
    new_snapshots = _served_snapshots(record)
    if old_snapshots == new_snapshots:
        return replace(state, records=records)
    service = state.services[record.target.service]
    services = state.services.set(
        record.target.service, _update_replica_counts(service, old_snapshots, new_snapshots)
    )
    return replace(
        state,
        records=records,
        services=services,
        snapshots_revision=state.snapshots_revision + 1,
    )


def _served_snapshots(record: TargetRecord) -> frozenset[SnapshotId]:
    return record.snapshots if may_serve(record) else frozenset()


def may_serve(record: TargetRecord) -> bool:
    """Return whether work may wait for the target.

    It is live, or it is suspected and the next evidence decides whether it is live or lost.
    """
    return record.chart_state in (LIVE, SUSPECTED)


def _update_replica_counts(
    service: ServiceRecord,
    old_snapshots: frozenset[SnapshotId],
    new_snapshots: frozenset[SnapshotId],
) -> ServiceRecord:
    """Return the service after one of its targets has changed the snapshots that it serves."""
    counts: Map[SnapshotId, int] = service.replica_counts
    for snapshot in old_snapshots - new_snapshots:
        remaining = counts[snapshot] - 1
        counts = counts.set(snapshot, remaining) if remaining else counts.delete(snapshot)
    for snapshot in new_snapshots - old_snapshots:
        counts = counts.set(snapshot, counts.get(snapshot, 0) + 1)
    return replace(service, replica_counts=counts)
