"""Decides what to do about targets: probes, connections and where new work may go."""

from immutables import Map

from savoryarch.model import (
    Decided,
    Declarations,
    DeclarationsInForce,
    InstanceRole,
    InstancesListed,
    LimitConnections,
    ListedInstance,
    ListedState,
    OpenConnections,
    PeersChanged,
    ProbeTarget,
    Service,
    SetTimer,
    SnapshotId,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
    TimerFired,
)
from savoryarch.targets._life import DRAINING, LIVE, Lived, apply_sign, may_serve, put_record
from savoryarch.targets._limits import connection_share, first_limit, ready_connections
from savoryarch.targets._state import ServiceRecord, TargetRecord, TargetsState, TargetUsage
from savoryarch.utils import replace, sorted_items

PROBE_TIMER = "targets/probe"


def decide_targets(state: TargetsState, event: object, now_ms: float) -> Decided[TargetsState]:
    """Decide on signs of the targets' state.

    Parameters
    ----------
    state : TargetsState
        Before the event.
    event : object
        Any event; those that do not concern the targets change nothing.
    now_ms : float
        Time of the event.
    """
    match event:
        case DeclarationsInForce(declarations=declarations):
            return _declare(state, declarations, now_ms)
        case TargetEvidenceReceived():
            return _sign(state, event, now_ms)
        case InstancesListed(instances=instances):
            return _list(state, instances, now_ms)
        case PeersChanged(live=live):
            return Decided(replace(state, live_instances=len(live) + 1))
        case TimerFired(timer_id=timer_id) if timer_id == PROBE_TIMER:
            return _probe(state, now_ms)
        case _:
            return Decided(state)


def _declare(
    state: TargetsState, declarations: Declarations, now_ms: float
) -> Decided[TargetsState]:
    """Take over the declared targets and keep what is known of those that stay."""
    effects: list[object] = []
    records: Map[str, TargetRecord] = Map()
    uses: Map[str, TargetUsage] = Map()
    services: Map[str, ServiceRecord] = Map()
    for _, service in sorted_items(declarations.services):
        for target in service.targets:
            record = _declared_record(state, service, target)
            records = records.set(target.target_id, record)
            uses = uses.set(target.target_id, _declared_use(state, service, target))
            if state.records.get(target.target_id) != record:
                effects += _connections(state, record)
        services = services.set(service.name, _declared_service(state, service, records))
    gone = sorted(target_id for target_id in state.records if target_id not in records)
    effects += [LimitConnections(target_id, 0) for target_id in gone]
    effects.append(SetTimer(PROBE_TIMER, now_ms + state.settings.probe_retry_ms))
    state = replace(
        state,
        records=records,
        usages=uses,
        services=services,
        declared_services=declarations.services,
        snapshots_revision=state.snapshots_revision + 1,
    )
    return Decided(state, tuple(effects))


def _declared_record(state: TargetsState, service: Service, target: Target) -> TargetRecord:
    max_connections = _connection_share(state, service)
    old = state.records.get(target.target_id)
    if old is None or old.target != target:
        return TargetRecord(
            target=target,
            slots=service.slots,
            max_connections=max_connections,
            chart_state="unproven",
        )
    return replace(old, slots=service.slots, max_connections=max_connections)


def _connection_share(state: TargetsState, service: Service) -> int:
    return connection_share(service.connection_limit, state.settings, state.max_listed_instances)


def _declared_use(state: TargetsState, service: Service, target: Target) -> TargetUsage:
    old = state.usages.get(target.target_id)
    if old is None or state.records[target.target_id].target != target:
        limit = first_limit(service.slots, state.live_instances)
        return TargetUsage(in_flight=old.in_flight if old else 0, limit=limit)
    return replace(old, limit=min(old.limit, float(service.slots)))


def _declared_service(
    state: TargetsState, service: Service, records: Map[str, TargetRecord]
) -> ServiceRecord:
    served: dict[SnapshotId, int] = {}
    for target in service.targets:
        record = records[target.target_id]
        for snapshot in record.snapshots if may_serve(record) else ():
            served[snapshot] = served.get(snapshot, 0) + 1
    old = state.services.get(service.name, ServiceRecord(()))
    target_ids = tuple(target.target_id for target in service.targets)
    return replace(old, target_ids=target_ids, served=Map(served))


def _connections(state: TargetsState, record: TargetRecord) -> tuple[object, ...]:
    target_id = record.target.target_id
    ready = ready_connections(record.max_connections, state.settings)
    return (
        LimitConnections(target_id, record.max_connections),
        OpenConnections(target_id, ready),
        ProbeTarget(target_id),
    )


def _sign(
    state: TargetsState, signed: TargetEvidenceReceived, now_ms: float
) -> Decided[TargetsState]:
    record = state.records.get(signed.target_id)
    if record is None:
        return Decided(state)
    lived = Lived(state)
    match signed.evidence:
        case TargetEvidence.PROBE_ANSWERED:
            state = _hint_snapshots(state, record, signed, now_ms)
            lived = apply_sign(state, signed.target_id, "proved", now_ms)
        case TargetEvidence.CONNECTED if record.chart_state != DRAINING:
            # a draining target may still accept connections
            lived = apply_sign(state, signed.target_id, "proved", now_ms)
        case TargetEvidence.PROBE_DRAINING | TargetEvidence.LISTED_LEAVING:
            lived = apply_sign(state, signed.target_id, "draining", now_ms)
        case TargetEvidence.REGISTERED:
            lived = apply_sign(state, signed.target_id, "registered", now_ms)
        case TargetEvidence.CONNECTION_REFUSED:
            lived = apply_sign(state, signed.target_id, "lost", now_ms)
        case TargetEvidence.CONNECTION_CLOSED:
            lived = apply_sign(state, signed.target_id, "closed", now_ms)
        case TargetEvidence.PROBE_FAILED if (
            _unheard_ms(state, signed, now_ms) >= state.settings.health_lag_ms
        ):
            lived = apply_sign(state, signed.target_id, "unheard", now_ms)
        case _:
            pass
    effects = lived.effects + _reconnect(record, lived.state)
    return Decided(lived.state, effects)


def _unheard_ms(state: TargetsState, signed: TargetEvidenceReceived, now_ms: float) -> float:
    """Return the time since the target last replied to an attempt."""
    return now_ms - state.usages[signed.target_id].replied_at_ms


def _reconnect(old: TargetRecord, state: TargetsState) -> tuple[object, ...]:
    """Hold no connection to a draining target, and hold some again when it returns."""
    record = state.records[old.target.target_id]
    if record.chart_state == old.chart_state:
        return ()
    target_id = record.target.target_id
    if record.chart_state == DRAINING:
        return (OpenConnections(target_id, 0),)
    if record.chart_state == LIVE:
        ready = ready_connections(record.max_connections, state.settings)
        return (OpenConnections(target_id, ready),)
    return ()


def _hint_snapshots(
    state: TargetsState, record: TargetRecord, signed: TargetEvidenceReceived, now_ms: float
) -> TargetsState:
    """Take over what a probe says, unless a reply said something newer."""
    lag_ms = state.settings.health_lag_ms
    if not signed.snapshots or _unheard_ms(state, signed, now_ms) < lag_ms:
        return state
    snapshots = frozenset(signed.snapshots) - {record.denied}
    return put_record(state, replace(record, snapshots=snapshots))


def _list(
    state: TargetsState, instances: tuple[ListedInstance, ...], now_ms: float
) -> Decided[TargetsState]:
    """Read the signs in the platform's list; a target that is missing is probed, not dropped."""
    state, effects = _share_connections(state, instances)
    rows = {row.instance_id: row for row in instances if row.role is InstanceRole.TARGET}
    for target_id, record in sorted_items(state.records):
        row = rows.get(target_id)
        if row is not None and row.state is ListedState.LEAVING:
            decided = _sign(
                state, TargetEvidenceReceived(target_id, TargetEvidence.LISTED_LEAVING), now_ms
            )
            state = decided.state
            effects += decided.effects
        elif row is None and record.listed:
            effects.append(ProbeTarget(target_id))
        if (row is not None) != record.listed:
            record = replace(state.records[target_id], listed=row is not None)
            state = replace(state, records=state.records.set(target_id, record))
    return Decided(state, tuple(effects))


def _share_connections(
    state: TargetsState, instances: tuple[ListedInstance, ...]
) -> tuple[TargetsState, list[object]]:
    """Use fewer connections to each target when more instances are listed than ever before."""
    effects: list[object] = []
    count = sum(1 for row in instances if row.role is InstanceRole.ENTRY)
    if count <= state.max_listed_instances:
        return state, effects
    state = replace(state, max_listed_instances=count)
    for target_id, record in sorted_items(state.records):
        most = _connection_share(state, state.declared_services[record.target.service])
        if most != record.max_connections:
            record = replace(record, max_connections=most)
            state = replace(state, records=state.records.set(target_id, record))
            effects.append(LimitConnections(target_id, most))
    return state, effects


def _probe(state: TargetsState, now_ms: float) -> Decided[TargetsState]:
    """Probe targets that get no work, and more often those in doubt, which may be back."""
    settings = state.settings
    effects: list[object] = []
    for target_id, record in sorted_items(state.records):
        quiet_ms = now_ms - max(state.usages[target_id].replied_at_ms, record.heard_at_ms)
        if record.chart_state not in (LIVE, DRAINING) or quiet_ms >= settings.probe_interval_ms:
            effects.append(ProbeTarget(target_id))
    effects.append(SetTimer(PROBE_TIMER, now_ms + settings.probe_retry_ms))
    return Decided(state, tuple(effects))
