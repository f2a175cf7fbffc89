"""Fake targets in virtual time: slots, service times, connections, freezes and crashes."""

from dataclasses import dataclass

import numpy as np

from savoryarch.model import (
    PartRequest,
    PartReturned,
    SendAttempt,
    Service,
    Shed,
    SnapshotId,
    SnapshotNotServed,
)
from savoryarch_bench._instance import Instance
from savoryarch_bench._model import ServiceTime

RETRY_AFTER_MS = 20.0
_BLOCK_SAMPLES = 4096


@dataclass(frozen=True, slots=True)
class Accepted:
    """A target started to run a request; it replies at `finishes_at_ms`, unless it is frozen."""

    finishes_at_ms: float


class ServiceTimes:
    """Random service times, sampled in blocks because numpy is slow at single samples.

    Parameters
    ----------
    spec : ServiceTime
        Distribution of the service times.
    rng : numpy.random.Generator
        Source of the samples.
    """

    def __init__(self, spec: ServiceTime, rng: np.random.Generator) -> None:
        self._spec = spec
        self._rng = rng
        self._block: list[float] = []

    def sample_ms(self) -> float:
        """Return the next service time in milliseconds."""
        if not self._block:
            self._block = sample_service_times_ms(self._spec, self._rng, (_BLOCK_SAMPLES,)).tolist()
        return self._block.pop()


def sample_service_times_ms(
    spec: ServiceTime, rng: np.random.Generator, size: tuple[int, ...]
) -> np.ndarray:
    """Return random service times in ms, with stragglers, of a target outside a slow period."""
    times = spec.median_ms * np.exp(spec.sigma * rng.standard_normal(size))
    is_straggler = rng.random(size) < spec.straggler_share
    return np.where(is_straggler, times * spec.straggler_factor, times)


@dataclass(frozen=True, slots=True, eq=False)
class Job:
    """An attempt and the instance that sent it; jobs are compared by identity."""

    instance: Instance
    attempt: SendAttempt

    @property
    def key(self) -> tuple[int, str]:
        """Return a key that is unique in the run: attempt ids are unique only per instance."""
        return self.instance.serial, self.attempt.attempt_id


class FakeTarget:
    """One target, which runs as many requests at a time as it has slots and refuses the others.

    Parameters
    ----------
    target_id : str
        Id under which the target is declared.
    service : Service
        Declared service of the target, which gives its slots and its connection limit.
    times : ServiceTimes
        Source of service times, shared by the targets of a run.
    spec : ServiceTime
        Distribution of the service times, which gives the slowdown of a slow period.
    slow_periods_ms : list of (float, float)
        Start and end of each period in which every request is slow.
    """

    def __init__(
        self,
        target_id: str,
        service: Service,
        times: ServiceTimes,
        spec: ServiceTime,
        slow_periods_ms: list[tuple[float, float]],
    ) -> None:
        self.target_id = target_id
        self.service = service
        self.snapshots: tuple[SnapshotId, ...] = (SnapshotId(1, 1), SnapshotId(1, 2))
        self.is_frozen = False
        self.is_down = False
        self.in_flight: dict[tuple[int, str], Job] = {}
        self.finished_while_frozen: list[Job] = []
        self.connections = 0
        self.max_in_flight = 0
        self.max_connections = 0
        self.connections_refused = 0
        self._times = times
        self._spec = spec
        self._slow_periods_ms = slow_periods_ms

    def start_job(self, job: Job, now_ms: float) -> Accepted | Shed | SnapshotNotServed:
        """Start to run a request, or refuse it.

        Parameters
        ----------
        job : Job
            The request.
        now_ms : float
            Virtual time.

        Returns
        -------
        Accepted, Shed or SnapshotNotServed
            The time at which it finishes, or why it is refused: no slot is free, or the target
            does not serve the requested snapshot.
        """
        request = job.attempt.request
        assert isinstance(request, PartRequest)
        if request.snapshot not in self.snapshots:
            return SnapshotNotServed()
        if len(self.in_flight) >= self.service.slots:
            return Shed(RETRY_AFTER_MS)
        self.in_flight[job.key] = job
        self.max_in_flight = max(self.max_in_flight, len(self.in_flight))
        return Accepted(now_ms + self._times.sample_ms() * self._slowdown_factor(now_ms))

    def release(self, job: Job) -> None:
        """Free the slot of a request."""
        self.in_flight.pop(job.key, None)

    def release_all(self) -> list[Job]:
        """Free all slots and return the requests that were in flight."""
        jobs = list(self.in_flight.values())
        self.in_flight.clear()
        self.finished_while_frozen.clear()
        return jobs

    def make_reply(self, attempt: SendAttempt) -> PartReturned:
        """Return the part of the answer.

        Its record names the snapshot, the service and the query, so that an answer with the part
        of another query, service or snapshot is found.
        """
        request = attempt.request
        assert isinstance(request, PartRequest)
        records = f'["{request.snapshot} {self.service.name} {request.query.decode()}"]'
        return PartReturned(request.snapshot, records.encode(), True)

    def open_connection(self) -> bool:
        """Count a new connection; return False, without it, if the limit is reached."""
        if self.connections >= self.service.connection_limit:
            self.connections_refused += 1
            return False
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)
        return True

    def _slowdown_factor(self, now_ms: float) -> float:
        is_slow = any(start <= now_ms < end for start, end in self._slow_periods_ms)
        return self._spec.straggler_factor if is_slow else 1.0


def sample_slow_periods_ms(
    spec: ServiceTime, rng: np.random.Generator, duration_ms: float
) -> list[tuple[float, float]]:
    """Return the random start and end times in ms of a target's slow periods."""
    if spec.sticky_share == 0.0:
        return []
    slow_periods_ms, at_ms = [], 0.0
    normal_ms = spec.sticky_ms * (1.0 - spec.sticky_share) / spec.sticky_share
    while at_ms < duration_ms:
        start_ms = at_ms + rng.exponential(normal_ms)
        at_ms = start_ms + rng.exponential(spec.sticky_ms)
        slow_periods_ms.append((start_ms, at_ms))
    return slow_periods_ms
