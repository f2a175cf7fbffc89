"""Runs a scenario in virtual time: arrivals, entry instances, timers and faults."""

from collections import Counter
from collections.abc import Callable
from heapq import heappop, heappush

import numpy as np

from savoryarch.model import (
    AnswerSearch,
    CancelAttempt,
    ClearTimer,
    Count,
    DeclarationsInForce,
    LimitConnections,
    OpenConnections,
    PeersChanged,
    ProbeTarget,
    SearchRequested,
    SendAttempt,
    SetTimer,
    SnapshotId,
    TimerFired,
)
from savoryarch_bench._connections import Connections
from savoryarch_bench._declarations import make_declarations
from savoryarch_bench._instance import Instance
from savoryarch_bench._model import (
    AdvanceIndex,
    AttemptCounts,
    CrashInstance,
    CrashTarget,
    Fault,
    FreezeTarget,
    LimitUsage,
    PartitionZone,
    QueryStream,
    Run,
    Scenario,
)
from savoryarch_bench._recorder import OpenQuery, Recorder
from savoryarch_bench._targets import FakeTarget, ServiceTimes, sample_slow_periods_ms
from savoryarch_bench._transport import Transport

_FIRST_QUERY_MS = 50.0  # for the first probes
_DRAIN_MS = 2000.0


class Simulation:
    """Everything in one run; `run` plays it and returns what came of it."""

    def __init__(self, scenario: Scenario) -> None:
        self.now_ms = 0.0
        self._scenario = scenario
        self._rng = np.random.default_rng(scenario.seed)
        self._declarations = make_declarations(scenario)
        self._targets = self._make_targets()
        self._connections = Connections(scenario.group.connect_ms)
        self._recorder = Recorder(scenario)
        self._transport = Transport(
            self,
            self._targets,
            {
                target.target_id: target.availability_zone
                for service in self._declarations.services.values()
                for target in service.targets
            },
            scenario.group.zone_distance_ms,
            self._connections,
            self._recorder,
        )
        self._instances: list[Instance] = []
        self._counters: Counter[str] = Counter()
        self._event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._last_serial = 0
        self._query_count = 0
        self._replaced_decision_ns = 0

    def run(self) -> Run:
        """Play the scenario."""
        self._instances = [
            self._make_instance(number) for number in range(self._scenario.instance_count)
        ]
        for instance in self._instances:
            self.feed(instance, DeclarationsInForce(self._declarations))
        self._update_peers()
        for stream in self._scenario.streams:
            self._schedule_next_query(stream, max(stream.from_ms, _FIRST_QUERY_MS))
        for fault in self._scenario.faults:
            self._schedule_fault(fault)
        self._run_until(self._scenario.duration_ms + _DRAIN_MS)
        return self._make_run()

    def schedule(self, at_ms: float, action: Callable[[], None]) -> int:
        """Have `act` called at a time; returns its order."""
        self._event_count += 1
        heappush(self._event_queue, (max(at_ms, self.now_ms), self._event_count, action))
        return self._event_count

    def feed(self, instance: Instance, event: object) -> None:
        """Let an instance decide on an event."""
        if instance.has_failed:
            return
        for effect in instance.decide(event, self.now_ms):
            self._perform(instance, effect)

    def _run_until(self, until_ms: float) -> None:
        while self._event_queue and self._event_queue[0][0] <= until_ms:
            self.now_ms, _, action = heappop(self._event_queue)
            action()

    def _perform(self, instance: Instance, effect: object) -> None:
        match effect:
            case SendAttempt():
                self._transport.send(instance, effect)
            case CancelAttempt():
                self._transport.cancel(instance, effect)
            case SetTimer(timer_id=timer_id, at_ms=at_ms):
                self._set_timer(instance, timer_id, at_ms)
            case ClearTimer(timer_id=timer_id):
                instance.timers.pop(timer_id, None)
            case ProbeTarget():
                self._transport.probe(instance, effect)
            case LimitConnections(target_id=target_id, count=count):
                instance.connection_shares[target_id] = count
            case OpenConnections(target_id=target_id, count=count):
                self._transport.open_connections(instance, target_id, count)
            case AnswerSearch(request_id=request_id, outcome=outcome):
                instance.open_request_ids.discard(request_id)
                self._recorder.record_outcome(request_id, outcome, self.now_ms)
            case Count(counter=counter, reason=reason, by=by):
                self._counters[f"{counter}.{reason}"] += by

    def _set_timer(self, instance: Instance, timer_id: str, at_ms: float) -> None:
        def fire() -> None:
            if instance.timers.get(timer_id) == order:
                del instance.timers[timer_id]
                self.feed(instance, TimerFired(timer_id))

        order = self.schedule(at_ms, fire)
        instance.timers[timer_id] = order

    def _schedule_next_query(self, stream: QueryStream, at_ms: float) -> None:
        """Schedule the next query of a stream."""
        if stream.rate_per_s <= 0:
            return
        at_ms += float(self._rng.exponential(1000.0 / stream.rate_per_s))
        if at_ms >= min(stream.until_ms, self._scenario.duration_ms):
            return

        def arrive() -> None:
            self._send_query(stream)
            self._schedule_next_query(stream, at_ms)

        self.schedule(at_ms, arrive)

    def _send_query(self, stream: QueryStream) -> None:
        live = [instance for instance in self._instances if not instance.has_failed]
        instance = live[int(self._rng.integers(len(live)))]
        request_id = f"q{self._query_count}"
        self._query_count += 1
        urgent = stream.priority.value == "urgent"
        self._recorder.record_query(request_id, OpenQuery(self.now_ms, stream.caller, urgent))
        instance.open_request_ids.add(request_id)
        search = self._scenario.group.name
        asked = SearchRequested(
            request_id, search, stream.caller, request_id.encode(), priority=stream.priority
        )
        self.feed(instance, asked)

    def _schedule_fault(self, fault: Fault) -> None:
        match fault:
            case FreezeTarget(target_id=target_id, from_ms=from_ms, until_ms=until_ms):
                target = self._targets[target_id]
                self.schedule(from_ms, lambda: setattr(target, "is_frozen", True))
                self.schedule(until_ms, lambda: self._unfreeze_target(target))
            case CrashTarget(target_id=target_id, from_ms=from_ms, until_ms=until_ms):
                target = self._targets[target_id]
                self.schedule(from_ms, lambda: self._crash_target(target))
                self.schedule(until_ms, lambda: setattr(target, "is_down", False))
            case PartitionZone(availability_zone=zone, from_ms=from_ms, until_ms=until_ms):
                self.schedule(from_ms, lambda: setattr(self._transport, "cut_zone", zone))
                self.schedule(until_ms, lambda: setattr(self._transport, "cut_zone", ""))
            case CrashInstance(number=number, from_ms=from_ms, until_ms=until_ms):
                self.schedule(from_ms, lambda: self._fail_instance(number))
                self.schedule(until_ms, lambda: self._replace_instance(number))
            case AdvanceIndex(from_ms=from_ms, step_ms=step_ms):
                for place, target in enumerate(self._targets.values()):
                    self._schedule_index_advance(target, from_ms + place * step_ms)

    def _schedule_index_advance(self, target: FakeTarget, at_ms: float) -> None:
        def advance() -> None:
            newest = target.snapshots[-1]
            target.snapshots = (newest, SnapshotId(newest.shard_map, newest.index + 1))

        self.schedule(at_ms, advance)

    def _crash_target(self, target: FakeTarget) -> None:
        target.is_down = True
        for instance in self._instances:
            self._connections.drop_connections(instance, target)
        for job in target.release_all():
            self._transport.end_lost(job)

    def _unfreeze_target(self, target: FakeTarget) -> None:
        target.is_frozen = False
        finished, target.finished_while_frozen = target.finished_while_frozen, []
        for job in finished:
            self._transport.finish_job(target, job)

    def _fail_instance(self, number: int) -> None:
        instance = self._instances[number]
        instance.has_failed = True
        self._replaced_decision_ns += instance.decision_ns
        self._recorder.drop_queries(sorted(instance.open_request_ids))
        self._connections.drop_all_connections(instance, self._targets)
        self._update_peers()

    def _replace_instance(self, number: int) -> None:
        self._instances[number] = self._make_instance(number)
        self.feed(self._instances[number], DeclarationsInForce(self._declarations))
        self._update_peers()

    def _make_instance(self, number: int) -> Instance:
        self._last_serial += 1
        return Instance(number, self._last_serial, self._scenario)

    def _update_peers(self) -> None:
        names = [f"entry-{item.number}" for item in self._instances if not item.has_failed]
        for instance in self._instances:
            own = f"entry-{instance.number}"
            self.feed(instance, PeersChanged(tuple(name for name in names if name != own)))

    def _make_targets(self) -> dict[str, FakeTarget]:
        spec, made = self._scenario.service_time, {}
        times = ServiceTimes(spec, np.random.default_rng(self._scenario.seed + 1))
        for service in sorted(self._declarations.services.values(), key=lambda item: item.name):
            for target in service.targets:
                spells = sample_slow_periods_ms(spec, self._rng, self._scenario.duration_ms)
                made[target.target_id] = FakeTarget(target.target_id, service, times, spec, spells)
        return made

    def _make_run(self) -> Run:
        targets = self._targets.values()
        limits = LimitUsage(
            max(target.max_in_flight / target.service.slots for target in targets),
            sum(target.connections_refused for target in targets),
            max(target.max_connections / target.service.connection_limit for target in targets),
        )
        seconds = range(int(self.now_ms / 1000.0) + 1)
        work = tuple(
            self._recorder.attempts_by_s.get(second, AttemptCounts()) for second in seconds
        )
        decide_ns = self._replaced_decision_ns + sum(
            instance.decision_ns for instance in self._instances if not instance.has_failed
        )
        return Run(
            self._scenario,
            tuple(self._recorder.results),
            work,
            limits,
            tuple(self._recorder.violations),
            decide_ns / 1000.0 / max(1, sum(item.attempts for item in work)),
            len(self._recorder.open_queries),
            tuple(sorted(self._counters.items())),
        )


def run_scenario(scenario: Scenario) -> Run:
    """Play a scenario."""
    return Simulation(scenario).run()
