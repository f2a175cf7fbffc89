"""Records the outcome of each query and checks the invariants that every answer has to keep."""

from dataclasses import dataclass, replace

from savoryarch.model import (
    PartRequest,
    Refused,
    SearchAnswered,
    SearchOutcome,
    SendAttempt,
)
from savoryarch_bench._declarations import make_declarations
from savoryarch_bench._model import AttemptCounts, QueryResult, Scenario

_MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class OpenQuery:
    """A query that has no outcome yet."""

    sent_at_ms: float
    caller: str
    is_urgent: bool


class Recorder:
    """Collects the results of queries and counts the attempts at targets.

    The text of each query is its request id, so that an attempt and the records of an answer
    show which query they belong to.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.results: list[QueryResult] = []
        self.violations: list[str] = []
        self.open_queries: dict[str, OpenQuery] = {}
        self.attempts_by_s: dict[int, AttemptCounts] = {}
        self._shard_count = scenario.group.service_count
        self._service_names = tuple(make_declarations(scenario).services)
        self._attempted_shards: set[tuple[str, str]] = set()
        self._run_query_ids: set[str] = set()

    def record_query(self, request_id: str, query: OpenQuery) -> None:
        """Record that a query was sent to an instance."""
        self.open_queries[request_id] = query

    def drop_queries(self, request_ids: list[str]) -> None:
        """Drop the open queries of a crashed instance: their callers' connections are closed."""
        for request_id in request_ids:
            self.open_queries.pop(request_id, None)

    def record_attempt(self, attempt: SendAttempt, now_ms: float) -> None:
        """Count an attempt that an instance sends."""
        assert isinstance(attempt.request, PartRequest)
        shard = (attempt.request.query.decode(), attempt.target_id.rpartition("-")[0])
        is_first = shard not in self._attempted_shards
        self._attempted_shards.add(shard)
        second, counts = self._counts_at(now_ms)
        self.attempts_by_s[second] = replace(
            counts,
            attempts=counts.attempts + 1,
            first_attempts=counts.first_attempts + is_first,
        )

    def record_run(self, attempt: SendAttempt) -> None:
        """Record that a target started to work on an attempt."""
        assert isinstance(attempt.request, PartRequest)
        self._run_query_ids.add(attempt.request.query.decode())

    def record_shed(self, now_ms: float) -> None:
        """Count an attempt that a target refused."""
        second, counts = self._counts_at(now_ms)
        self.attempts_by_s[second] = replace(counts, sheds=counts.sheds + 1)

    def record_outcome(self, request_id: str, outcome: SearchOutcome, now_ms: float) -> None:
        """Record the outcome of a query and add the invariants that it breaks to `violations`."""
        query = self.open_queries.pop(request_id, None)
        if query is None:
            self.violations.append(f"{request_id}: got an outcome, but no such query is open")
            return
        answered_count, refusal = 0, ""
        match outcome:
            case SearchAnswered():
                answered_count = outcome.coverage.answered
                self._check_answer(request_id, outcome)
            case Refused(reason=reason, not_run=not_run):
                refusal = reason.value
                if not_run and request_id in self._run_query_ids:
                    self.violations.append(f"{request_id}: refused as not run, but a target ran it")
        latency_ms = now_ms - query.sent_at_ms
        self.results.append(
            QueryResult(
                query.sent_at_ms,
                latency_ms,
                query.caller,
                query.is_urgent,
                self._shard_count,
                answered_count,
                refusal,
            )
        )
        self._attempted_shards -= {(request_id, service) for service in self._service_names}
        self._run_query_ids.discard(request_id)

    def _check_answer(self, request_id: str, outcome: SearchAnswered) -> None:
        coverage = outcome.coverage
        services = {part.service for part in outcome.parts}
        if len(services) != len(outcome.parts) or len(services) != coverage.answered:
            self.violations.append(
                f"{request_id}: got {len(outcome.parts)} parts of {len(services)} shards,"
                f" expected {coverage.answered} by the coverage"
            )
        if coverage.asked != self._shard_count or coverage.asked != coverage.answered + len(
            coverage.left_out
        ):
            self.violations.append(
                f"{request_id}: got a coverage of {coverage.answered} answered and"
                f" {len(coverage.left_out)} omitted of {coverage.asked} shards,"
                f" expected {self._shard_count} shards in all"
            )
        for part in outcome.parts:
            expected = f'["{outcome.snapshot} {part.service} {request_id}"]'
            if part.records.decode() != expected:
                self.violations.append(f"{request_id}: got {part.records!r}, expected {expected}")

    def _counts_at(self, now_ms: float) -> tuple[int, AttemptCounts]:
        second = int(now_ms / _MS_PER_S)
        return second, self.attempts_by_s.get(second, AttemptCounts())
