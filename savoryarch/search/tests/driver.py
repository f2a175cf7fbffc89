"""Runs the decisions on targets and searches in virtual time, against scripted targets."""

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

Reply = tuple[float, object]  # the delay in ms, and the reply
Script = Callable[[SendAttempt, float], Reply]  # from an attempt and the current time


def return_part(send: SendAttempt, after_ms: float = 5.0) -> Reply:
    return after_ms, PartReturned(send.request.snapshot, b"[]", True)


def make_declarations(shards=3, replicas=3, slots=2, connection_limit=25, **search) -> Declarations:
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
    """Applies events in order of time; a script gives the reply and the delay of each attempt."""

    def __init__(
        self,
        declarations=None,
        script: Script | None = None,
        search=None,
        targets=None,
        admission=None,
        quarantine=None,
        probe_snapshots=lambda target_id: (OLD, NEW),
    ):
        self.now_ms = 0.0
        self.script = script or (lambda send, now_ms: return_part(send))
        self.probe_snapshots = probe_snapshots
        self.search = make_search_state(
            search or SearchSettings(),
            admission or AdmissionSettings(),
            quarantine or QuarantineSettings(),
        )
        self.targets = make_targets_state(targets or TargetsSettings("zone-a"))
        self.answers: dict[str, list] = {}
        self.answered_at_ms: dict[str, float] = {}
        self.requested_at_ms: dict[str, float] = {}
        self.sends: list[SendAttempt] = []
        self.cancelled: list[str] = []
        self.replies: dict[str, object] = {}
        self.request_ids: dict[str, str] = {}  # by attempt id
        self.effects: list[object] = []
        self._event_queue: list = []
        self._last_sequence = 0
        self._timers: dict[str, int] = {}
        self._open_attempts: dict[str, str] = {}
        self.apply_event(DeclarationsInForce(declarations or make_declarations()))
        self.run(until_ms=1.0)

    def schedule(self, at_ms: float, event: object) -> None:
        self._last_sequence += 1
        heappush(self._event_queue, (at_ms, self._last_sequence, event))

    def apply_event(self, event: object) -> None:
        decided = decide_targets(self.targets, event, self.now_ms)
        self.targets = decided.state
        self._perform(decided.effects)
        decided = decide_search(self.search, self.targets, event, self.now_ms)
        self.search, self.targets = decided.state, decided.targets
        self._perform(decided.effects)

    def request_search(self, request_id="r1", query=b"{}", **fields) -> None:
        self.requested_at_ms[request_id] = self.now_ms
        self.apply_event(SearchRequested(request_id, "catalogue", "counter", query, **fields))

    def run(self, until_ms: float = 10_000.0) -> None:
        while self._event_queue and self._event_queue[0][0] <= until_ms:
            at_ms, sequence, event = heappop(self._event_queue)
            if isinstance(event, TimerFired) and self._timers.get(event.timer_id) != sequence:
                continue
            if isinstance(event, AttemptEnded) and not self._open_attempts.pop(
                event.attempt_id, None
            ):
                continue
            if isinstance(event, AttemptEnded):
                self.replies[event.attempt_id] = event.reply
            self.now_ms = max(self.now_ms, at_ms)
            self.apply_event(event)
        self.now_ms = max(self.now_ms, until_ms)

    def outcome(self, request_id="r1"):
        (outcome,) = self.answers[request_id]
        return outcome

    def is_known_not_run(self, attempt_id: str) -> bool:
        """Return whether the reply of an attempt proves that its target has run nothing."""
        match self.replies.get(attempt_id):
            case SnapshotNotServed() | Shed() | Draining() | NotSent():
                return True
            case DeadlinePassed(not_run=not_run):
                return not_run
            case _:
                return False

    def in_flight(self) -> dict[str, int]:
        return {target_id: usage.in_flight for target_id, usage in self.targets.usages.items()}

    def _perform(self, effects) -> None:
        self.effects += effects
        for effect in effects:
            match effect:
                case SendAttempt():
                    self._send(effect)
                case CancelAttempt(attempt_id=attempt_id, target_id=target_id):
                    self.cancelled.append(attempt_id)
                    self.schedule(
                        self.now_ms + 1.0, AttemptEnded(attempt_id, target_id, Cancelled())
                    )
                case SetTimer(timer_id=timer_id, at_ms=at_ms):
                    self.schedule(at_ms, TimerFired(timer_id))
                    self._timers[timer_id] = self._last_sequence
                case ClearTimer(timer_id=timer_id):
                    self._timers.pop(timer_id, None)
                case ProbeTarget(target_id=target_id):
                    if snapshots := self.probe_snapshots(target_id):
                        answered = TargetEvidenceReceived(
                            target_id, TargetEvidence.PROBE_ANSWERED, snapshots
                        )
                        self.schedule(self.now_ms + 0.5, answered)
                case AnswerSearch(request_id=request_id, outcome=outcome):
                    self.answers.setdefault(request_id, []).append(outcome)
                    self.answered_at_ms[request_id] = self.now_ms

    def _send(self, send: SendAttempt) -> None:
        self.sends.append(send)
        if attempt := self.search.attempts.get(send.attempt_id):
            self.request_ids[send.attempt_id] = attempt.request_id
            assert attempt.request_id not in self.answers, "an attempt was sent after the answer"
        self._open_attempts[send.attempt_id] = send.target_id
        after_ms, reply = self.script(send, self.now_ms)
        at_ms = min(self.now_ms + after_ms, send.deadline_at_ms)
        if at_ms < self.now_ms + after_ms:
            reply = TimedOut()
        self.schedule(at_ms, AttemptEnded(send.attempt_id, send.target_id, reply))
