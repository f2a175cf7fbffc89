"""Drives the decisions on targets and searches in virtual time, with scripted targets."""

from collections.abc import Callable
from heapq import heappop, heappush

from immutables import Map

from savoryarch.admission import AdmissionSettings
from savoryarch.model import (
    AnswerSearch,
    AttemptEnded,
    CancelAttempt,
    Cancelled,
    ClearTimer,
    DeadlinePassed,
    Declarations,
    DeclarationsInForce,
    Draining,
    NotSent,
    PartReturned,
    ProbeTarget,
    Search,
    SearchRequested,
    SendAttempt,
    Service,
    SetTimer,
    ShardMap,
    Shed,
    SnapshotId,
    SnapshotNotServed,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
    TimedOut,
    TimerFired,
)
from savoryarch.quarantine import QuarantineSettings
from savoryarch.search import SearchSettings, decide_search, make_search_state
from savoryarch.targets import TargetsSettings, decide_targets, make_targets_state

OLD, NEW = SnapshotId(1, 1), SnapshotId(1, 2)
ZONES = ("zone-a", "zone-b", "zone-c")

Reply = tuple[float, object]  # after how many ms, and what
Script = Callable[[SendAttempt, float], Reply]


def returned(send: SendAttempt, after_ms: float = 5.0) -> Reply:
    return after_ms, PartReturned(send.request.snapshot, b"[]", True)


def declare(shards=3, replicas=3, slots=2, connection_limit=25, **search) -> Declarations:
    names = [f"balcao-{number:02}" for number in range(shards)]
    services = {
        name: Service(
            name,
            "balcao",
            slots,
            connection_limit,
            tuple(
                Target(f"{name}-{zone[-1]}", name, zone, "127.0.0.1", 1)
                for zone in ZONES[:replicas]
            ),
        )
        for name in names
    }
    shard_maps = search.pop("shard_maps", (ShardMap(1, tuple(names)),))
    declared = Search("catalogue", shard_maps, **{"deadline_ms": 500.0, **search})
    return Declarations(1, Map(services), Map({"catalogue": declared}))


class Driver:
    """Feeds events in order of time; replies come from a script per attempt."""

    def __init__(
        self,
        declarations=None,
        script: Script | None = None,
        search=None,
        targets=None,
        admission=None,
        quarantine=None,
        probed=lambda target_id: (OLD, NEW),
    ):
        self.now_ms = 0.0
        self.script = script or (lambda send, now_ms: returned(send))
        self.probe_snapshots = probed
        self.search = make_search_state(
            search or SearchSettings(),
            admission or AdmissionSettings(),
            quarantine or QuarantineSettings(),
        )
        self.targets = make_targets_state(targets or TargetsSettings("zone-a"))
        self.answers: dict[str, list] = {}
        self.answered_at_ms: dict[str, float] = {}
        self.asked_at_ms: dict[str, float] = {}
        self.sends: list[SendAttempt] = []
        self.cancelled: list[str] = []
        self.replies: dict[str, object] = {}
        self.asked_for: dict[str, str] = {}  # request id by attempt id
        self.effects: list[object] = []
        self._due: list = []
        self._order = 0
        self._timers: dict[str, int] = {}
        self._open: dict[str, str] = {}
        self.offer(DeclarationsInForce(declarations or declare()))
        self.run(until_ms=1.0)

    def at(self, at_ms: float, event: object) -> None:
        self._order += 1
        heappush(self._due, (at_ms, self._order, event))

    def offer(self, event: object) -> None:
        decided = decide_targets(self.targets, event, self.now_ms)
        self.targets = decided.state
        self._perform(decided.effects)
        decided = decide_search(self.search, self.targets, event, self.now_ms)
        self.search, self.targets = decided.state, decided.targets
        self._perform(decided.effects)

    def ask(self, request_id="r1", query=b"{}", **fields) -> None:
        self.asked_at_ms[request_id] = self.now_ms
        self.offer(SearchRequested(request_id, "catalogue", "counter", query, **fields))

    def run(self, until_ms: float = 10_000.0) -> None:
        while self._due and self._due[0][0] <= until_ms:
            at_ms, order, event = heappop(self._due)
            if isinstance(event, TimerFired) and self._timers.get(event.timer_id) != order:
                continue
            if isinstance(event, AttemptEnded) and not self._open.pop(event.attempt_id, None):
                continue
            if isinstance(event, AttemptEnded):
                self.replies[event.attempt_id] = event.reply
            self.now_ms = max(self.now_ms, at_ms)
            self.offer(event)
        self.now_ms = max(self.now_ms, until_ms)

    def outcome(self, request_id="r1"):
        (outcome,) = self.answers[request_id]
        return outcome

    def replied_not_run(self, attempt_id: str) -> bool:
        """Return whether the attempt ended with the target's word that nothing ran."""
        match self.replies.get(attempt_id):
            case SnapshotNotServed() | Shed() | Draining() | NotSent():
                return True
            case DeadlinePassed(not_run=not_run):
                return not_run
            case _:
                return False

    def in_flight(self) -> dict[str, int]:
        return {key: use.in_flight for key, use in self.targets.usages.items()}

    def _perform(self, effects) -> None:
        self.effects += effects
        for effect in effects:
            match effect:
                case SendAttempt():
                    self._send(effect)
                case CancelAttempt(attempt_id=attempt_id, target_id=target_id):
                    self.cancelled.append(attempt_id)
                    self.at(self.now_ms + 1.0, AttemptEnded(attempt_id, target_id, Cancelled()))
                case SetTimer(timer_id=timer_id, at_ms=at_ms):
                    self.at(at_ms, TimerFired(timer_id))
                    self._timers[timer_id] = self._order
                case ClearTimer(timer_id=timer_id):
                    self._timers.pop(timer_id, None)
                case ProbeTarget(target_id=target_id):
                    if snapshots := self.probe_snapshots(target_id):
                        sign = TargetEvidenceReceived(
                            target_id, TargetEvidence.PROBE_ANSWERED, snapshots
                        )
                        self.at(self.now_ms + 0.5, sign)
                case AnswerSearch(request_id=request_id, outcome=outcome):
                    self.answers.setdefault(request_id, []).append(outcome)
                    self.answered_at_ms[request_id] = self.now_ms

    def _send(self, send: SendAttempt) -> None:
        self.sends.append(send)
        if attempt := self.search.attempts.get(send.attempt_id):
            self.asked_for[send.attempt_id] = attempt.request_id
            assert attempt.request_id not in self.answers, "sent after the answer"
        self._open[send.attempt_id] = send.target_id
        after_ms, reply = self.script(send, self.now_ms)
        at_ms = min(self.now_ms + after_ms, send.deadline_at_ms)
        if at_ms < self.now_ms + after_ms:
            reply = TimedOut()
        self.at(at_ms, AttemptEnded(send.attempt_id, send.target_id, reply))
