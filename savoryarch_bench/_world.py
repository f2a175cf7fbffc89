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
from savoryarch_bench._declare import declare
from savoryarch_bench._instance import Instance
from savoryarch_bench._model import (
    AdvanceIndex,
    Crash,
    CutZone,
    Fault,
    Freeze,
    Limits,
    LoseInstance,
    Run,
    Scenario,
    Stream,
    Work,
)
from savoryarch_bench._record import Asked, Recorder
from savoryarch_bench._targets import FakeTarget, ServiceTimes, draw_spells_ms
from savoryarch_bench._transport import Transport

_SETTLE_MS = 50.0  # for the first probes
_TAIL_MS = 2000.0


class World:
    """Everything in one run; `run` plays it and returns what came of it."""

    def __init__(self, scenario: Scenario) -> None:
        self.now_ms = 0.0
        self._scenario = scenario
        self._rng = np.random.default_rng(scenario.seed)
        self._declarations = declare(scenario)
        self._targets = self._make_targets()
        self._connections = Connections(scenario.shape.connect_ms)
        self._recorder = Recorder(scenario)
        self._transport = Transport(
            self,
            self._targets,
            {
                target.target_id: target.availability_zone
                for service in self._declarations.services.values()
                for target in service.targets
            },
            scenario.shape.zone_distance_ms,
            self._connections,
            self._recorder,
        )
        self._instances: list[Instance] = []
        self._counters: Counter[str] = Counter()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._serial = 0
        self._asked = 0
        self._decide_ns = 0

    def run(self) -> Run:
        """Play the scenario."""
        self._instances = [self._start(number) for number in range(self._scenario.instances)]
        for instance in self._instances:
            self.feed(instance, DeclarationsInForce(self._declarations))
        self._tell_peers()
        for stream in self._scenario.streams:
            self._arrange(stream, max(stream.from_ms, _SETTLE_MS))
        for fault in self._scenario.faults:
            self._schedule(fault)
        self._advance(self._scenario.duration_ms + _TAIL_MS)
        return self._result()

    def at(self, at_ms: float, act: Callable[[], None]) -> int:
        """Have `act` called at a time; returns its order."""
        self._order += 1
        heappush(self._due, (max(at_ms, self.now_ms), self._order, act))
        return self._order

    def feed(self, instance: Instance, event: object) -> None:
        """Let an instance decide on an event."""
        if instance.is_gone:
            return
        for effect in instance.decide(event, self.now_ms):
            self._perform(instance, effect)

    def _advance(self, until_ms: float) -> None:
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, act = heappop(self._due)
            act()

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
                instance.allowed[target_id] = count
            case OpenConnections(target_id=target_id, count=count):
                self._transport.open_connections(instance, target_id, count)
            case AnswerSearch(request_id=request_id, outcome=outcome):
                instance.request_ids.discard(request_id)
                self._recorder.answer(request_id, outcome, self.now_ms)
            case Count(counter=counter, reason=reason, by=by):
                self._counters[f"{counter}.{reason}"] += by

    def _set_timer(self, instance: Instance, timer_id: str, at_ms: float) -> None:
        def fire() -> None:
            if instance.timers.get(timer_id) == order:
                del instance.timers[timer_id]
                self.feed(instance, TimerFired(timer_id))

        order = self.at(at_ms, fire)
        instance.timers[timer_id] = order

    def _arrange(self, stream: Stream, at_ms: float) -> None:
        """Schedule the next query of a stream."""
        if stream.rate_per_s <= 0:
            return
        at_ms += float(self._rng.exponential(1000.0 / stream.rate_per_s))
        if at_ms >= min(stream.until_ms, self._scenario.duration_ms):
            return

        def arrive() -> None:
            self._ask(stream)
            self._arrange(stream, at_ms)

        self.at(at_ms, arrive)

    def _ask(self, stream: Stream) -> None:
        live = [instance for instance in self._instances if not instance.is_gone]
        instance = live[int(self._rng.integers(len(live)))]
        request_id = f"q{self._asked}"
        self._asked += 1
        urgent = stream.priority.value == "urgent"
        self._recorder.asked(request_id, Asked(self.now_ms, stream.caller, urgent))
        instance.request_ids.add(request_id)
        search = self._scenario.shape.group
        asked = SearchRequested(
            request_id, search, stream.caller, request_id.encode(), priority=stream.priority
        )
        self.feed(instance, asked)

    def _schedule(self, fault: Fault) -> None:
        match fault:
            case Freeze(target_id=target_id, from_ms=from_ms, until_ms=until_ms):
                target = self._targets[target_id]
                self.at(from_ms, lambda: setattr(target, "is_frozen", True))
                self.at(until_ms, lambda: self._thaw(target))
            case Crash(target_id=target_id, from_ms=from_ms, until_ms=until_ms):
                target = self._targets[target_id]
                self.at(from_ms, lambda: self._crash(target))
                self.at(until_ms, lambda: setattr(target, "is_down", False))
            case CutZone(availability_zone=zone, from_ms=from_ms, until_ms=until_ms):
                self.at(from_ms, lambda: setattr(self._transport, "cut_zone", zone))
                self.at(until_ms, lambda: setattr(self._transport, "cut_zone", ""))
            case LoseInstance(number=number, from_ms=from_ms, until_ms=until_ms):
                self.at(from_ms, lambda: self._lose_instance(number))
                self.at(until_ms, lambda: self._replace_instance(number))
            case AdvanceIndex(from_ms=from_ms, step_ms=step_ms):
                for place, target in enumerate(self._targets.values()):
                    self._schedule_advance(target, from_ms + place * step_ms)

    def _schedule_advance(self, target: FakeTarget, at_ms: float) -> None:
        def advance() -> None:
            newest = target.snapshots[-1]
            target.snapshots = (newest, SnapshotId(newest.shard_map, newest.index + 1))

        self.at(at_ms, advance)

    def _crash(self, target: FakeTarget) -> None:
        target.is_down = True
        for instance in self._instances:
            self._connections.drop_target(instance, target)
        for job in target.drop_all():
            self._transport.lose(job)

    def _thaw(self, target: FakeTarget) -> None:
        target.is_frozen = False
        finished, target.finished_frozen = target.finished_frozen, []
        for job in finished:
            self._transport.finish(target, job)

    def _lose_instance(self, number: int) -> None:
        instance = self._instances[number]
        instance.is_gone = True
        self._decide_ns += instance.decide_ns
        self._recorder.lost(sorted(instance.request_ids))
        self._connections.drop_instance(instance, self._targets)
        self._tell_peers()

    def _replace_instance(self, number: int) -> None:
        self._instances[number] = self._start(number)
        self.feed(self._instances[number], DeclarationsInForce(self._declarations))
        self._tell_peers()

    def _start(self, number: int) -> Instance:
        self._serial += 1
        return Instance(number, self._serial, self._scenario)

    def _tell_peers(self) -> None:
        names = [f"entry-{item.number}" for item in self._instances if not item.is_gone]
        for instance in self._instances:
            own = f"entry-{instance.number}"
            self.feed(instance, PeersChanged(tuple(name for name in names if name != own)))

    def _make_targets(self) -> dict[str, FakeTarget]:
        spec, made = self._scenario.service_time, {}
        times = ServiceTimes(spec, np.random.default_rng(self._scenario.seed + 1))
        for service in sorted(self._declarations.services.values(), key=lambda item: item.name):
            for target in service.targets:
                spells = draw_spells_ms(spec, self._rng, self._scenario.duration_ms)
                made[target.target_id] = FakeTarget(target.target_id, service, times, spec, spells)
        return made

    def _result(self) -> Run:
        targets = self._targets.values()
        limits = Limits(
            max(target.max_in_flight / target.service.slots for target in targets),
            sum(target.connections_refused for target in targets),
            max(target.max_connections / target.service.connection_limit for target in targets),
        )
        seconds = range(int(self.now_ms / 1000.0) + 1)
        work = tuple(self._recorder.work.get(second, Work()) for second in seconds)
        decide_ns = self._decide_ns + sum(
            instance.decide_ns for instance in self._instances if not instance.is_gone
        )
        return Run(
            self._scenario,
            tuple(self._recorder.answers),
            work,
            limits,
            tuple(self._recorder.violations),
            decide_ns / 1000.0 / max(1, sum(item.sent for item in work)),
            len(self._recorder.open),
            tuple(sorted(self._counters.items())),
        )


def run_scenario(scenario: Scenario) -> Run:
    """Play a scenario."""
    return World(scenario).run()
