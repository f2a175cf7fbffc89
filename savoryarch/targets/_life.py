"""Follows the chart ``target`` for each target."""

from dataclasses import dataclass

from immutables import Map

from savoryarch.charts import load_chart
from savoryarch.model import ProbeTarget, SnapshotId
from savoryarch.targets._limits import MIN_LIMIT
from savoryarch.targets._state import ServiceRecord, TargetRecord, TargetsState
from savoryarch.utils import replace

LIVE = "live"
SUSPECTED = "suspected"
DRAINING = "draining"

CHART = load_chart("target", frozenset({"start_warm_up", "note_negative", "probe"}))


@dataclass(frozen=True, slots=True)
class Lived:
    """The targets after a sign, and what has to be done."""

    state: TargetsState
    effects: tuple[object, ...] = ()


def apply_sign(state: TargetsState, target_id: str, event: str, now_ms: float) -> Lived:
    """Step one target through the chart.

    Parameters
    ----------
    state : TargetsState
        Before the sign.
    target_id : str
        The target that was heard of.
    event : str
        An event of the chart ``target``.
    now_ms : float
        Time of the sign.
    """
    record = state.records[target_id]
    if event == "proved" and not _is_fresh(state, record, now_ms):
        return Lived(state)
    step = CHART.step(record.chart_state, event)
    if event == "proved":
        record = replace(record, heard_at_ms=now_ms)
    effects: list[object] = []
    for action in step.actions:
        record = _act(state, record, action, now_ms)
        if action == "probe":
            effects.append(ProbeTarget(target_id))
        if action == "start_warm_up":
            use = replace(state.usages[target_id], limit=MIN_LIMIT)
            state = replace(state, usages=state.usages.set(target_id, use))
    record = replace(record, chart_state=step.next_state)
    return Lived(put_record(state, record), tuple(effects))


def _is_fresh(state: TargetsState, record: TargetRecord, now_ms: float) -> bool:
    """Return whether a positive sign is newer than any lagging endpoint can be."""
    if record.chart_state != DRAINING:
        return True
    return now_ms - record.negative_at_ms >= state.settings.health_lag_ms


def _act(state: TargetsState, record: TargetRecord, action: str, now_ms: float) -> TargetRecord:
    match action:
        case "start_warm_up":
            warm_at_ms = now_ms + state.settings.warm_up_ms
            return replace(record, warm_at_ms=warm_at_ms)
        case "note_negative":
            return replace(record, negative_at_ms=now_ms)
        case _:
            return record


def put_record(state: TargetsState, record: TargetRecord) -> TargetsState:
    """Put a changed record back and keep the counts of served snapshots right."""
    target_id = record.target.target_id
    old = state.records.get(target_id)
    records = state.records.set(target_id, record)
    before = _serves(old) if old else frozenset()
    after = _serves(record)
    if before == after:
        return replace(state, records=records)
    service = state.services[record.target.service]
    services = state.services.set(record.target.service, _recount(service, before, after))
    return replace(
        state,
        records=records,
        services=services,
        snapshots_revision=state.snapshots_revision + 1,
    )


def _serves(record: TargetRecord) -> frozenset[SnapshotId]:
    return record.snapshots if may_serve(record) else frozenset()


def may_serve(record: TargetRecord) -> bool:
    """Return whether work may wait for the target: it is live, or it will soon be known."""
    return record.chart_state in (LIVE, SUSPECTED)


def _recount(
    service: ServiceRecord, before: frozenset[SnapshotId], after: frozenset[SnapshotId]
) -> ServiceRecord:
    served: Map[SnapshotId, int] = service.served
    for snapshot in before - after:
        left = served[snapshot] - 1
        served = served.set(snapshot, left) if left else served.delete(snapshot)
    for snapshot in after - before:
        served = served.set(snapshot, served.get(snapshot, 0) + 1)
    return replace(service, served=served)
