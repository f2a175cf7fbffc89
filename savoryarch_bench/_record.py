"""Records what came of each query and checks that the answers keep their promises."""

from dataclasses import dataclass, replace

from savoryarch.model import (
    PartRequest,
    Refused,
    SearchAnswered,
    SearchOutcome,
    SendAttempt,
)
from savoryarch_bench._declare import declare
from savoryarch_bench._model import Answer, Scenario, Work

_MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Asked:
    """A query that has no outcome yet."""

    at_ms: float
    caller: str
    urgent: bool


class Recorder:
    """Collects answers and work; a query's text is its request id, so that parts can be told."""

    def __init__(self, scenario: Scenario) -> None:
        self.answers: list[Answer] = []
        self.violations: list[str] = []
        self.open: dict[str, Asked] = {}
        self.work: dict[int, Work] = {}
        self._shards = scenario.shape.services
        self._services = tuple(declare(scenario).services)
        self._first: set[tuple[str, str]] = set()
        self._ran: set[str] = set()

    def asked(self, request_id: str, asked: Asked) -> None:
        """Note a query."""
        self.open[request_id] = asked

    def lost(self, request_ids: list[str]) -> None:
        """Forget queries whose instance is gone; the caller sees its connection close."""
        for request_id in request_ids:
            self.open.pop(request_id, None)

    def sent(self, send: SendAttempt, now_ms: float) -> None:
        """Note an attempt."""
        assert isinstance(send.request, PartRequest)
        shard = (send.request.query.decode(), send.target_id.rpartition("-")[0])
        is_first = shard not in self._first
        self._first.add(shard)
        second, work = self._second(now_ms)
        self.work[second] = replace(work, sent=work.sent + 1, first=work.first + is_first)

    def ran(self, send: SendAttempt) -> None:
        """Note that a target works on an attempt."""
        assert isinstance(send.request, PartRequest)
        self._ran.add(send.request.query.decode())

    def not_run(self, now_ms: float) -> None:
        """Note that a target refused an attempt."""
        second, work = self._second(now_ms)
        self.work[second] = replace(work, sheds=work.sheds + 1)

    def answer(self, request_id: str, outcome: SearchOutcome, now_ms: float) -> None:
        """Note and check an outcome."""
        asked = self.open.pop(request_id, None)
        if asked is None:
            self.violations.append(f"{request_id}: answered twice or never asked")
            return
        answered, refusal = 0, ""
        match outcome:
            case SearchAnswered():
                answered = outcome.coverage.answered
                self._check(request_id, outcome)
            case Refused(reason=reason, not_run=not_run):
                refusal = reason.value
                if not_run and request_id in self._ran:
                    self.violations.append(f"{request_id}: not_run is untrue")
        latency_ms = now_ms - asked.at_ms
        self.answers.append(
            Answer(
                asked.at_ms, latency_ms, asked.caller, asked.urgent, self._shards, answered, refusal
            )
        )
        self._first -= {(request_id, service) for service in self._services}
        self._ran.discard(request_id)

    def _check(self, request_id: str, outcome: SearchAnswered) -> None:
        coverage = outcome.coverage
        services = {part.service for part in outcome.parts}
        if len(services) != len(outcome.parts) or len(services) != coverage.answered:
            self.violations.append(f"{request_id}: coverage is untrue")
        if coverage.asked != self._shards or coverage.asked != coverage.answered + len(
            coverage.left_out
        ):
            self.violations.append(f"{request_id}: coverage does not add up")
        for part in outcome.parts:
            expected = f'["{outcome.snapshot} {part.service} {request_id}"]'
            if part.records.decode() != expected:
                self.violations.append(f"{request_id}: got {part.records!r}, expected {expected}")

    def _second(self, now_ms: float) -> tuple[int, Work]:
        second = int(now_ms / _MS_PER_S)
        return second, self.work.get(second, Work())
