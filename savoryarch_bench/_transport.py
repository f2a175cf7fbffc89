"""Carries attempts, cancellations and probes between entry instances and fake targets."""

from collections.abc import Callable
from typing import Protocol

from savoryarch.model import (
    AttemptEnded,
    AttemptReply,
    CancelAttempt,
    Cancelled,
    ConnectionLost,
    NotSent,
    ProbeTarget,
    SendAttempt,
    TargetEvidence,
    TargetEvidenceReceived,
    TimedOut,
)
from savoryarch_bench._connections import Connections
from savoryarch_bench._instance import Instance
from savoryarch_bench._record import Recorder
from savoryarch_bench._targets import Accepted, FakeTarget, Job

LOCAL_MS = 0.1
_PROBE_TIMEOUT_MS = 500.0


class Loop(Protocol):
    """What the transport needs of the world."""

    now_ms: float

    def at(self, at_ms: float, act: Callable[[], None]) -> int:
        """Have `act` called at a time."""

    def feed(self, instance: Instance, event: object) -> None:
        """Let an instance decide on an event."""


class Transport:
    """The network between the entry instances and the targets of one run."""

    def __init__(
        self,
        loop: Loop,
        targets: dict[str, FakeTarget],
        zones: dict[str, str],
        zone_distance_ms: float,
        connections: Connections,
        recorder: Recorder,
    ) -> None:
        self.cut_zone = ""
        self._loop = loop
        self._targets = targets
        self._zones = zones
        self._zone_distance_ms = zone_distance_ms
        self._connections = connections
        self._recorder = recorder

    def send(self, instance: Instance, send: SendAttempt) -> None:
        """Carry an attempt to its target."""
        target, now_ms = self._targets[send.target_id], self._loop.now_ms
        job = Job(instance, send)
        self._recorder.sent(send, now_ms)
        instance.open_attempts.add(send.attempt_id)
        self._loop.at(send.deadline_at_ms, lambda: self._end(job, TimedOut()))
        if not self.reaches(instance, target):
            return
        if target.is_down:
            self._end_later(job, NotSent("connection refused"))
            return
        wait_ms = self._connections.acquire(instance, target)
        if wait_ms is None:
            self._end_later(job, NotSent("no connection within the share"))
            return
        instance.connected.add(send.attempt_id)
        at_ms = now_ms + wait_ms + self._one_way_ms(instance, target)
        self._loop.at(at_ms, lambda: self._arrive(job))

    def cancel(self, instance: Instance, cancel: CancelAttempt) -> None:
        """Carry a cancellation; the attempt ends when the target has replied to it."""
        target = self._targets[cancel.target_id]
        one_way_ms = self._one_way_ms(instance, target)

        def release() -> None:
            job = target.in_flight.get((instance.serial, cancel.attempt_id))
            if job is not None and not target.is_frozen and self.reaches(instance, target):
                target.drop(job)
                self._end_later(job, Cancelled())

        self._loop.at(self._loop.now_ms + one_way_ms, release)

    def probe(self, instance: Instance, probe: ProbeTarget) -> None:
        """Ask a target's health endpoint."""
        target = self._targets[probe.target_id]
        target_id = target.target_id

        def answer() -> None:
            if target.is_down:
                self._loop.feed(
                    instance, TargetEvidenceReceived(target_id, TargetEvidence.CONNECTION_REFUSED)
                )
            elif target.is_frozen or not self.reaches(instance, target):
                failed = TargetEvidenceReceived(target_id, TargetEvidence.PROBE_FAILED)
                at_ms = self._loop.now_ms + _PROBE_TIMEOUT_MS
                self._loop.at(at_ms, lambda: self._loop.feed(instance, failed))
            else:
                sign = TargetEvidenceReceived(
                    target_id, TargetEvidence.PROBE_ANSWERED, target.snapshots
                )
                self._loop.feed(instance, sign)

        self._loop.at(self._loop.now_ms + 2 * self._one_way_ms(instance, target), answer)

    def open_connections(self, instance: Instance, target_id: str, count: int) -> None:
        """Open connections ahead of need."""
        target = self._targets[target_id]
        if self.reaches(instance, target):
            self._connections.open_ahead(instance, target, count)

    def lose(self, job: Job) -> None:
        """End an attempt whose connection was lost."""
        self._end(job, ConnectionLost("connection reset"))

    def finish(self, target: FakeTarget, job: Job) -> None:
        """Reply to a request that has been worked on, unless it was dropped meanwhile."""
        if target.in_flight.get(job.key) is not job:
            return
        if target.is_frozen:
            target.finished_frozen.append(job)
            return
        target.drop(job)
        self._end_later(job, target.reply(job.send))

    def reaches(self, instance: Instance, target: FakeTarget) -> bool:
        """Return whether both are on the same side of a cut."""
        if not self.cut_zone:
            return True
        here, there = instance.zone, self._zones[target.target_id]
        return (here == self.cut_zone) == (there == self.cut_zone)

    def _arrive(self, job: Job) -> None:
        target, send = self._targets[job.send.target_id], job.send
        if target.is_down or send.attempt_id not in job.instance.open_attempts:
            return
        taken = target.take(job, self._loop.now_ms)
        match taken:
            case Accepted(until_ms=until_ms):
                self._recorder.ran(send)
                self._loop.at(until_ms, lambda: self.finish(target, job))
            case _:
                self._recorder.not_run(self._loop.now_ms)
                if not target.is_frozen:
                    self._end_later(job, taken)

    def _end_later(self, job: Job, reply: AttemptReply) -> None:
        target = self._targets[job.send.target_id]
        if self.reaches(job.instance, target):
            at_ms = self._loop.now_ms + self._one_way_ms(job.instance, target)
            self._loop.at(at_ms, lambda: self._end(job, reply))

    def _end(self, job: Job, reply: AttemptReply) -> None:
        instance, attempt_id = job.instance, job.send.attempt_id
        if attempt_id not in instance.open_attempts:
            return
        instance.open_attempts.discard(attempt_id)
        target = self._targets[job.send.target_id]
        if attempt_id in instance.connected:
            instance.connected.discard(attempt_id)
            self._connections.release(instance, target, reply)
        silent = isinstance(reply, TimedOut | ConnectionLost | NotSent)
        ended = AttemptEnded(
            attempt_id, target.target_id, reply, () if silent else target.snapshots
        )
        self._loop.feed(instance, ended)

    def _one_way_ms(self, instance: Instance, target: FakeTarget) -> float:
        if instance.zone == self._zones[target.target_id]:
            return LOCAL_MS / 2
        return (LOCAL_MS + self._zone_distance_ms) / 2
