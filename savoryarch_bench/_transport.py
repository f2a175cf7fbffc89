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
from savoryarch_bench._recorder import Recorder
from savoryarch_bench._targets import Accepted, FakeTarget, Job

SAME_ZONE_ROUND_TRIP_MS = 0.1
_PROBE_TIMEOUT_MS = 500.0


class Scheduler(Protocol):
    """What the transport needs of the world."""

    now_ms: float

    def schedule(self, at_ms: float, action: Callable[[], None]) -> int:
        """Have `act` called at a time."""

    def feed(self, instance: Instance, event: object) -> None:
        """Let an instance decide on an event."""


class Transport:
    """The network between the entry instances and the targets of one run."""

    def __init__(
        self,
        scheduler: Scheduler,
        targets: dict[str, FakeTarget],
        zones: dict[str, str],
        zone_distance_ms: float,
        connections: Connections,
        recorder: Recorder,
    ) -> None:
        self.partitioned_zone = ""
        self._scheduler = scheduler
        self._targets = targets
        self._zones = zones
        self._zone_distance_ms = zone_distance_ms
        self._connections = connections
        self._recorder = recorder

    def send(self, instance: Instance, send: SendAttempt) -> None:
        """Carry an attempt to its target."""
        target, now_ms = self._targets[send.target_id], self._scheduler.now_ms
        job = Job(instance, send)
        self._recorder.record_attempt(send, now_ms)
        instance.open_attempts.add(send.attempt_id)
        self._scheduler.schedule(send.deadline_at_ms, lambda: self._end_attempt(job, TimedOut()))
        if not self.is_reachable(instance, target):
            return
        if target.is_down:
            self._send_reply(job, NotSent("connection refused"))
            return
        wait_ms = self._connections.acquire(instance, target)
        if wait_ms is None:
            self._send_reply(job, NotSent("no connection within the share"))
            return
        instance.connected_attempts.add(send.attempt_id)
        at_ms = now_ms + wait_ms + self._one_way_ms(instance, target)
        self._scheduler.schedule(at_ms, lambda: self._deliver(job))

    def cancel(self, instance: Instance, cancel: CancelAttempt) -> None:
        """Carry a cancellation; the attempt ends when the target has replied to it."""
        target = self._targets[cancel.target_id]
        one_way_ms = self._one_way_ms(instance, target)

        def release() -> None:
            job = target.in_flight.get((instance.serial, cancel.attempt_id))
            if job is not None and not target.is_frozen and self.is_reachable(instance, target):
                target.release(job)
                self._send_reply(job, Cancelled())

        self._scheduler.schedule(self._scheduler.now_ms + one_way_ms, release)

    def probe(self, instance: Instance, probe: ProbeTarget) -> None:
        """Ask a target's health endpoint."""
        target = self._targets[probe.target_id]
        target_id = target.target_id

        def answer() -> None:
            if target.is_down:
                self._scheduler.feed(
                    instance, TargetEvidenceReceived(target_id, TargetEvidence.CONNECTION_REFUSED)
                )
            elif target.is_frozen or not self.is_reachable(instance, target):
                failed = TargetEvidenceReceived(target_id, TargetEvidence.PROBE_FAILED)
                at_ms = self._scheduler.now_ms + _PROBE_TIMEOUT_MS
                self._scheduler.schedule(at_ms, lambda: self._scheduler.feed(instance, failed))
            else:
                sign = TargetEvidenceReceived(
                    target_id, TargetEvidence.PROBE_ANSWERED, target.snapshots
                )
                self._scheduler.feed(instance, sign)

        self._scheduler.schedule(
            self._scheduler.now_ms + 2 * self._one_way_ms(instance, target), answer
        )

    def open_connections(self, instance: Instance, target_id: str, count: int) -> None:
        """Open connections ahead of need."""
        target = self._targets[target_id]
        if self.is_reachable(instance, target):
            self._connections.open_ahead(instance, target, count)

    def end_lost(self, job: Job) -> None:
        """End an attempt whose connection was lost."""
        self._end_attempt(job, ConnectionLost("connection reset"))

    def finish_job(self, target: FakeTarget, job: Job) -> None:
        """Reply to a request that has been worked on, unless it was dropped meanwhile."""
        if target.in_flight.get(job.key) is not job:
            return
        if target.is_frozen:
            target.finished_while_frozen.append(job)
            return
        target.release(job)
        self._send_reply(job, target.make_reply(job.attempt))

    def is_reachable(self, instance: Instance, target: FakeTarget) -> bool:
        """Return whether both are on the same side of a cut."""
        if not self.partitioned_zone:
            return True
        here, there = instance.zone, self._zones[target.target_id]
        return (here == self.partitioned_zone) == (there == self.partitioned_zone)

    def _deliver(self, job: Job) -> None:
        target, send = self._targets[job.attempt.target_id], job.attempt
        if target.is_down or send.attempt_id not in job.instance.open_attempts:
            return
        taken = target.start_job(job, self._scheduler.now_ms)
        match taken:
            case Accepted(finishes_at_ms=until_ms):
                self._recorder.record_run(send)
                self._scheduler.schedule(until_ms, lambda: self.finish_job(target, job))
            case _:
                self._recorder.record_shed(self._scheduler.now_ms)
                if not target.is_frozen:
                    self._send_reply(job, taken)

    def _send_reply(self, job: Job, reply: AttemptReply) -> None:
        target = self._targets[job.attempt.target_id]
        if self.is_reachable(job.instance, target):
            at_ms = self._scheduler.now_ms + self._one_way_ms(job.instance, target)
            self._scheduler.schedule(at_ms, lambda: self._end_attempt(job, reply))

    def _end_attempt(self, job: Job, reply: AttemptReply) -> None:
        instance, attempt_id = job.instance, job.attempt.attempt_id
        if attempt_id not in instance.open_attempts:
            return
        instance.open_attempts.discard(attempt_id)
        target = self._targets[job.attempt.target_id]
        if attempt_id in instance.connected_attempts:
            instance.connected_attempts.discard(attempt_id)
            self._connections.release(instance, target, reply)
        silent = isinstance(reply, TimedOut | ConnectionLost | NotSent)
        ended = AttemptEnded(
            attempt_id, target.target_id, reply, () if silent else target.snapshots
        )
        self._scheduler.feed(instance, ended)

    def _one_way_ms(self, instance: Instance, target: FakeTarget) -> float:
        if instance.zone == self._zones[target.target_id]:
            return SAME_ZONE_ROUND_TRIP_MS / 2
        return (SAME_ZONE_ROUND_TRIP_MS + self._zone_distance_ms) / 2
