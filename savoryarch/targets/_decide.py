"""Decides on targets: their probes, connections, states and limits."""

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
    LogEvent,
    OpenConnections,
    PeerMessageReceived,
    PeersChanged,
    ProbeTarget,
    ReturnUnsent,
    Service,
    SetTimer,
    SnapshotId,
    Target,
    TargetAdvised,
    TargetEvidence,
    TargetEvidenceReceived,
    TimerFired,
)
from savoryarch.targets._advice import apply_advice, apply_leaving, may_probe
from savoryarch.targets._limits import connection_share, initial_limit, ready_connections
from savoryarch.targets._messages import TargetLeaving
from savoryarch.targets._state import ServiceRecord, TargetRecord, TargetsState, TargetUsage
from savoryarch.targets._target_chart import (
    DRAINING,
    LEAVING,
    LIVE,
    SteppedTargets,
    may_serve,
    put_record,
    step_target,
)
from savoryarch.utils import replace, sorted_items

PROBE_TIMER = "targets/probe"


def decide_targets(state: TargetsState, event: object, now_ms: float) -> Decided[TargetsState]:
    """Decide on one event that concerns the targets.

    The starts and ends of attempts are not events here: searches, routes and forwarded requests
    report them by `start_attempt` and `end_attempt`.

    Parameters
    ----------
    state : TargetsState
        State before the event.
    event : object
        Any event. One that does not concern the targets has no effect.
    now_ms : float
        Time of the event, on the clock of the process.

    Returns
    -------
    decided : Decided
        The state after the event, and the effects: probes, limits on connections, idle connections
        to keep open, and the probe timer.
    """
    match event:
        case DeclarationsInForce(declarations=declarations):
            return _apply_declarations(state, declarations, now_ms)
        case TargetEvidenceReceived():
            return _apply_evidence(state, event, now_ms)
        case TargetAdvised(target_id=target_id, advice=advice):
            return apply_advice(state, target_id, advice, now_ms)
        case PeerMessageReceived(message=TargetLeaving(target_id=target_id)) if (
            target_id not in state.leaving
        ):
            return _apply_leaving_message(state, target_id, now_ms)
        case InstancesListed(instances=instances):
            return _apply_instance_list(state, instances, now_ms)
        case PeersChanged(live=live):
            return Decided(replace(state, live_instances=len(live) + 1))
        case TimerFired(timer_id=timer_id) if timer_id == PROBE_TIMER:
            return _probe_targets(state, now_ms)
        case _:
            return Decided(state)


def _apply_declarations(
    state: TargetsState, declarations: Declarations, now_ms: float
) -> Decided[TargetsState]:
    """Replace the declared targets, and retain what is known of those that stay.

    Targets that are not declared any more keep no connection.
    """
    effects: list[object] = []
    records: Map[str, TargetRecord] = Map()
    usages: Map[str, TargetUsage] = Map()
    services: Map[str, ServiceRecord] = Map()
    for _, service in sorted_items(declarations.services):
        for target in service.targets:
            record = _declared_record(state, service, target)
            records = records.set(target.target_id, record)
            usages = usages.set(target.target_id, _declared_usage(state, service, target))
            if state.records.get(target.target_id) != record:
                effects += _connection_effects(state, record, now_ms)
        services = services.set(service.name, _declared_service(state, service, records))
    removed = sorted(target_id for target_id in state.records if target_id not in records)
    effects += [LimitConnections(target_id, 0) for target_id in removed]
    effects.append(SetTimer(PROBE_TIMER, now_ms + state.settings.probe_retry_ms))
    state = replace(
        state,
        records=records,
        usages=usages,
        services=services,
        declared_services=declarations.services,
        snapshots_revision=state.snapshots_revision + 1,
    )
    return Decided(state, tuple(effects))


def _declared_record(state: TargetsState, service: Service, target: Target) -> TargetRecord:
    """Return the record of a declared target; a new or changed target has no evidence yet."""
    max_connections = _connection_share(state, service)
    previous = state.records.get(target.target_id)
    if previous is None or previous.target != target:
        return TargetRecord(
            target=target,
            slots=service.slots,
            max_connections=max_connections,
            chart_state=LEAVING if target.target_id in state.leaving else "unproven",
        )
    return replace(previous, slots=service.slots, max_connections=max_connections)


def _connection_share(state: TargetsState, service: Service) -> int:
    """Return the connections that this instance may hold to each target of a service."""
    return connection_share(service.connection_limit, state.settings, state.max_listed_instances)


def _declared_usage(state: TargetsState, service: Service, target: Target) -> TargetUsage:
    """Return the usage of a declared target; attempts in flight count even if it has changed."""
    previous = state.usages.get(target.target_id)
    if previous is None or state.records[target.target_id].target != target:
        limit = initial_limit(service.slots, state.live_instances)
        return TargetUsage(in_flight=previous.in_flight if previous else 0, limit=limit)
    return replace(previous, limit=min(previous.limit, float(service.slots)))


def _declared_service(
    state: TargetsState, service: Service, records: Map[str, TargetRecord]
) -> ServiceRecord:
    """Return the record of a declared service, with recounted replicas of each snapshot."""
    replica_counts: dict[SnapshotId, int] = {}
    for target in service.targets:
        record = records[target.target_id]
        for snapshot in record.snapshots if may_serve(record) else ():
            replica_counts[snapshot] = replica_counts.get(snapshot, 0) + 1
    previous = state.services.get(service.name, ServiceRecord(()))
    target_ids = tuple(target.target_id for target in service.targets)
    return replace(previous, target_ids=target_ids, replica_counts=Map(replica_counts))


def _connection_effects(
    state: TargetsState, record: TargetRecord, now_ms: float
) -> tuple[object, ...]:
    """Return the effects that limit and open the connections to a target, and probe it."""
    target_id = record.target.target_id
    if not may_probe(record, now_ms):
        limit = 0 if record.chart_state == LEAVING else record.max_connections
        return (LimitConnections(target_id, limit),)
    ready_count = ready_connections(record.max_connections, state.settings)
    return (
        LimitConnections(target_id, record.max_connections),
        OpenConnections(target_id, ready_count),
        ProbeTarget(target_id),
    )


def _apply_leaving_message(
    state: TargetsState, target_id: str, now_ms: float
) -> Decided[TargetsState]:
    """Apply the message of a peer that a target leaves."""
    left = apply_leaving(state, target_id, now_ms)
    log = LogEvent("target_leaving", (("target", target_id), ("source", "peer")))
    return Decided(left.state, (log, *left.effects))


def _apply_evidence(
    state: TargetsState, event: TargetEvidenceReceived, now_ms: float
) -> Decided[TargetsState]:
    """Step a target by evidence of its state; evidence of an undeclared target is ignored."""
    record = state.records.get(event.target_id)
    if record is None:
        return Decided(state)
    stepped = SteppedTargets(state)
    match event.evidence:
        case TargetEvidence.PROBE_ANSWERED:
            state = _apply_probed_snapshots(state, record, event, now_ms)
            stepped = step_target(state, event.target_id, "proved", now_ms)
        case TargetEvidence.CONNECTED if record.chart_state != DRAINING:
            # A draining target may still accept connections.
            stepped = step_target(state, event.target_id, "proved", now_ms)
        case TargetEvidence.PROBE_DRAINING | TargetEvidence.LISTED_LEAVING:
            stepped = step_target(state, event.target_id, "draining", now_ms)
        case TargetEvidence.REGISTERED:
            stepped = step_target(state, event.target_id, "registered", now_ms)
        case TargetEvidence.CONNECTION_REFUSED:
            stepped = step_target(state, event.target_id, "lost", now_ms)
        case TargetEvidence.CONNECTION_CLOSED:
            stepped = step_target(state, event.target_id, "closed", now_ms)
        # A reply within the lag is newer evidence than the failed probe.
        case TargetEvidence.PROBE_FAILED if (
            _since_reply_ms(state, event, now_ms) >= state.settings.health_lag_ms
        ):
            stepped = step_target(state, event.target_id, "probe_failed", now_ms)
        case _:
            pass
    effects = stepped.effects + _reconnection_effects(record, stepped.state)
    return Decided(stepped.state, effects)


def _since_reply_ms(state: TargetsState, event: TargetEvidenceReceived, now_ms: float) -> float:
    """Return the time since the target last replied to an attempt, in ms."""
    return now_ms - state.usages[event.target_id].last_replied_at_ms


def _reconnection_effects(previous: TargetRecord, state: TargetsState) -> tuple[object, ...]:
    """Return the effects on the connections to a target whose state has changed.

    For a target that has begun to drain, no idle connections are kept open, and the attempts that
    wait for a connection end. They would be sent as soon as one is free, until their deadlines. For
    a target that has become live, idle connections are opened again.
    """
    record = state.records[previous.target.target_id]
    if record.chart_state == previous.chart_state:
        return ()
    target_id = record.target.target_id
    if record.chart_state == DRAINING:
        return (OpenConnections(target_id, 0), ReturnUnsent(target_id))
    if record.chart_state == LIVE:
        ready_count = ready_connections(record.max_connections, state.settings)
        return (OpenConnections(target_id, ready_count),)
    return ()


def _apply_probed_snapshots(
    state: TargetsState, record: TargetRecord, event: TargetEvidenceReceived, now_ms: float
) -> TargetsState:
    """Replace the snapshots of a target by those that its health endpoint lists.

    The endpoint lags. It is ignored if a reply came within the lag, and cannot restore a snapshot
    that the target has denied by a reply.
    """
    lag_ms = state.settings.health_lag_ms
    if not event.snapshots or _since_reply_ms(state, event, now_ms) < lag_ms:
        return state
    snapshots = frozenset(event.snapshots) - {record.unserved_snapshot}
    return put_record(state, replace(record, snapshots=snapshots))


def _apply_instance_list(
    state: TargetsState, instances: tuple[ListedInstance, ...], now_ms: float
) -> Decided[TargetsState]:
    """Apply the platform's instance list, which lags and may be incomplete.

    A listed target that leaves starts to drain. A target that is missing from the list for the
    first time is probed, and is not removed.
    """
    state, effects = _update_connection_shares(state, instances)
    rows = {row.instance_id: row for row in instances if row.role is InstanceRole.TARGET}
    for target_id, record in sorted_items(state.records):
        row = rows.get(target_id)
        if row is not None and row.state is ListedState.LEAVING:
            decided = _apply_evidence(
                state, TargetEvidenceReceived(target_id, TargetEvidence.LISTED_LEAVING), now_ms
            )
            state = decided.state
            effects += decided.effects
        elif row is None and record.listed and may_probe(record, now_ms):
            effects.append(ProbeTarget(target_id))
        if (row is not None) != record.listed:
            record = replace(state.records[target_id], listed=row is not None)
            state = replace(state, records=state.records.set(target_id, record))
    return Decided(state, tuple(effects))


def _update_connection_shares(
    state: TargetsState, instances: tuple[ListedInstance, ...]
) -> tuple[TargetsState, list[object]]:
    """Lower the limits on connections when a list names more entry instances than any before."""
    effects: list[object] = []
    count = sum(1 for row in instances if row.role is InstanceRole.ENTRY)
    if count <= state.max_listed_instances:
        return state, effects
    state = replace(state, max_listed_instances=count)
    for target_id, record in sorted_items(state.records):
        max_connections = _connection_share(state, state.declared_services[record.target.service])
        if max_connections != record.max_connections and record.chart_state != LEAVING:
            record = replace(record, max_connections=max_connections)
            state = replace(state, records=state.records.set(target_id, record))
            effects.append(LimitConnections(target_id, max_connections))
    return state, effects


def _probe_targets(state: TargetsState, now_ms: float) -> Decided[TargetsState]:
    """Probe the targets whose state is uncertain, and set the probe timer.

    Targets that are unproven, suspected or lost are probed each time, since they may be live
    again. Live and draining targets are probed only if there has been neither a reply nor other
    positive evidence for the probe interval.
    """
    settings = state.settings
    effects: list[object] = []
    for target_id, record in sorted_items(state.records):
        if not may_probe(record, now_ms):
            continue
        silent_ms = now_ms - max(
            state.usages[target_id].last_replied_at_ms, record.last_positive_evidence_at_ms
        )
        if record.chart_state not in (LIVE, DRAINING) or silent_ms >= settings.probe_interval_ms:
            effects.append(ProbeTarget(target_id))
    effects.append(SetTimer(PROBE_TIMER, now_ms + settings.probe_retry_ms))
    return Decided(state, tuple(effects))
