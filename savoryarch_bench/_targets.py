"""Small fake targets in virtual time: slots, service times, freezes and crashes."""

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
    """The target works until a time, unless it is frozen then."""

    finishes_at_ms: float


class ServiceTimes:
    """Draws service times in blocks, because single draws are slow."""

    def __init__(self, spec: ServiceTime, rng: np.random.Generator) -> None:
        self._spec = spec
        self._rng = rng
        self._block: list[float] = []

    def sample_ms(self) -> float:
        """Return the next service time."""
        if not self._block:
            self._block = sample_service_times_ms(self._spec, self._rng, (_BLOCK_SAMPLES,)).tolist()
        return self._block.pop()


def sample_service_times_ms(
    spec: ServiceTime, rng: np.random.Generator, size: tuple[int, ...]
) -> np.ndarray:
    """Draw service times of a target that is not in a slow spell."""
    times = spec.median_ms * np.exp(spec.sigma * rng.standard_normal(size))
    slow = rng.random(size) < spec.straggler_share
    return np.where(slow, times * spec.straggler_factor, times)


@dataclass(frozen=True, slots=True, eq=False)
class Job:
    """An attempt and the instance that sent it."""

    instance: Instance
    attempt: SendAttempt

    @property
    def key(self) -> tuple[int, str]:
        """Tell it apart from the attempts of other instances."""
        return self.instance.serial, self.attempt.attempt_id


class FakeTarget:
    """One target.

    Parameters
    ----------
    target_id, service
        As declared.
    times : ServiceTimes
        Shared by the targets of a run.
    spells_ms : list of (float, float)
        When it is slow.
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
        """Take a request, or refuse it."""
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
        """Give the slot of a request free."""
        self.in_flight.pop(job.key, None)

    def release_all(self) -> list[Job]:
        """Give every slot free and return what was in flight."""
        jobs = list(self.in_flight.values())
        self.in_flight.clear()
        self.finished_while_frozen.clear()
        return jobs

    def make_reply(self, attempt: SendAttempt) -> PartReturned:
        """Return the part; its records name where they are from."""
        request = attempt.request
        assert isinstance(request, PartRequest)
        records = f'["{request.snapshot} {self.service.name} {request.query.decode()}"]'
        return PartReturned(request.snapshot, records.encode(), True)

    def open_connection(self) -> bool:
        """Open a connection; False if it is above the limit."""
        if self.connections >= self.service.connection_limit:
            self.connections_refused += 1
            return False
        self.connections += 1
        self.max_connections = max(self.max_connections, self.connections)
        return True

    def _slowdown_factor(self, now_ms: float) -> float:
        slow = any(start <= now_ms < end for start, end in self._slow_periods_ms)
        return self._spec.straggler_factor if slow else 1.0


def sample_slow_periods_ms(
    spec: ServiceTime, rng: np.random.Generator, duration_ms: float
) -> list[tuple[float, float]]:
    """Draw when a target is slow."""
    if spec.sticky_share == 0.0:
        return []
    spells, at_ms = [], 0.0
    calm_ms = spec.sticky_ms * (1.0 - spec.sticky_share) / spec.sticky_share
    while at_ms < duration_ms:
        start_ms = at_ms + rng.exponential(calm_ms)
        at_ms = start_ms + rng.exponential(spec.sticky_ms)
        spells.append((start_ms, at_ms))
    return spells
