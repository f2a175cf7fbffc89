"""Drives the decisions on forwarded requests in virtual time, without input or output."""

from dataclasses import dataclass, field, replace

from immutables import Map

from savoryarch.forwarding import ForwardingSettings, decide_forwarding, make_forwarding_state
from savoryarch.model import (
    AttemptEnded,
    CallerDisconnected,
    CancelAttempt,
    Declarations,
    DeclarationsInForce,
    InstanceRole,
    InstancesListed,
    ListedInstance,
    ListedState,
    ResponseReturned,
    SendAttempt,
    Service,
    SetTimer,
    Target,
    TargetEvidence,
    TargetEvidenceReceived,
    TimerFired,
)
from savoryarch.model.forwarding import (
    AnswerForward,
    ForwardedRequest,
    ForwardedRoute,
    ForwardingTable,
    ForwardRequested,
    TableInForce,
    ToService,
    ToShards,
    ToSplit,
    WeightedService,
)
from savoryarch.targets import TargetsSettings, decide_targets, make_targets_state

SHARDS = tuple(f"shard-{number}" for number in range(10))
SETTINGS = ForwardingSettings(enabled=True, extra_requests=40.0)  # extra attempts per window


def make_route(name, destination, **fields):
    values = {
        "host": "h.example",
        "path_prefix": f"/{name}/",
        "idempotent": True,
        "timeout_ms": 1500.0,
        "objective_ms": 100.0,
        "max_attempts": 2,
        "priority": 1,
    }
    return ForwardedRoute(name=name, destination=destination, **(values | fields))


ROUTES = (
    make_route("read", ToService("shop")),
    make_route("order", ToService("shop"), idempotent=False),
    make_route("split", ToSplit((WeightedService("shop", 3), WeightedService("depot", 1)))),
    make_route("find", ToShards(SHARDS, 2, 0.89)),
    make_route("deep", ToService("depot"), path_prefix="/read/deep/"),
    make_route("slow", ToService("shop"), priority=5),
)


def request(path="/read/1", request_id="r1", body=b""):
    return ForwardedRequest(request_id, b"GET", path.encode(), "h.example", (), body)


def returned(status=200, body=b"ok", digest="d"):
    return ResponseReturned(status, (), body, digest)


@dataclass
class Driver:
    """The state of one instance and the effects of its decisions.

    The forwarding table is `table_age_ms` old at the start, since the extra attempts that a service
    may get build up from the first table on.
    """

    replicas: int = 3
    slots: int = 2
    settings: ForwardingSettings = SETTINGS
    table_age_ms: float = 10_000.0
    now_ms: float = 1000.0
    effects: list = field(default_factory=list)
    request_count: int = 0

    def __post_init__(self):
        self.state = make_forwarding_state(self.settings)
        self.targets = make_targets_state(TargetsSettings("zone-a"))
        names = ("shop", "depot", *SHARDS)
        services = {
            name: Service(
                name,
                name,
                self.slots,
                1000,
                tuple(
                    Target(f"{name}-{number}", name, "zone-a", "127.0.0.1", 1)
                    for number in range(self.replicas)
                ),
            )
            for name in names
        }
        self.feed(DeclarationsInForce(Declarations(1, services=Map(services))))
        for service in services.values():
            for target in service.targets:
                self.report_evidence(target.target_id, TargetEvidence.CONNECTED)
        started_at_ms = self.now_ms
        self.now_ms -= self.table_age_ms
        self.feed(TableInForce(ForwardingTable(1, ROUTES)))
        self.now_ms = started_at_ms
        self.effects.clear()

    def feed(self, event):
        """Decide on an event, and return the effects of forwarding."""
        decided = decide_targets(self.targets, event, self.now_ms)
        self.targets = decided.state
        decided = decide_forwarding(self.state, self.targets, event, self.now_ms)
        self.state, self.targets = decided.state, decided.targets
        self.effects += decided.effects
        return decided.effects

    def report_evidence(self, target_id, evidence):
        self.feed(TargetEvidenceReceived(target_id, evidence))

    def list_instances(self, count):
        """Feed a list of `count` live entry instances."""
        rows = [
            ListedInstance(
                f"entry-{number}", InstanceRole.ENTRY, "zone-a", "127.0.0.1", 1, ListedState.LIVE
            )
            for number in range(count)
        ]
        self.feed(InstancesListed(tuple(rows)))

    def refuse_connections(self, *services):
        """Feed a refused connection to every target of the services."""
        for service in services:
            for target_id in self.targets.services[service].target_ids:
                self.report_evidence(target_id, TargetEvidence.CONNECTION_REFUSED)

    def send_request(self, path="/read/1", remaining_ms=1500.0, request_id=None, body=b""):
        """Feed a request for a path, and return its id in this instance.

        `request_id` is the id that the client gives.
        """
        self.request_count += 1
        name = f"q{self.request_count}"
        forwarded = request(path, request_id or f"r{self.request_count}", body)
        self.feed(ForwardRequested(name, forwarded, remaining_ms))
        return name

    def end_attempt(self, send, reply):
        """Feed the reply of an attempt, and return the effects of forwarding."""
        return self.feed(AttemptEnded(send.attempt_id, send.target_id, reply))

    def sends(self):
        return [effect for effect in self.effects if isinstance(effect, SendAttempt)]

    def pop_sends(self):
        """Return the attempts sent since the last call, and remove them from the effects."""
        sends = self.sends()
        self.effects = [item for item in self.effects if not isinstance(item, SendAttempt)]
        return sends

    def service_of(self, send):
        return self.targets.records[send.target_id].target.service

    def cancelled(self):
        return [item.attempt_id for item in self.effects if isinstance(item, CancelAttempt)]

    def outcome(self, name="q1"):
        """Return the outcome of a request; None if it has not been answered."""
        found = [
            item.outcome
            for item in self.effects
            if isinstance(item, AnswerForward) and item.request_id == name
        ]
        assert len(found) <= 1
        return found[0] if found else None

    def disconnect_client(self, name="q1"):
        self.feed(CallerDisconnected(name))

    def advance(self, to_ms):
        """Advance to `to_ms` after the start at 1,000 ms, and feed the timers that expire."""
        until_ms = 1000.0 + to_ms
        while True:
            timers = {item.timer_id: item for item in self.effects if isinstance(item, SetTimer)}
            due = [item for item in timers.values() if item.at_ms <= until_ms]
            if not due:
                break
            first = min(due, key=lambda item: item.at_ms)
            self.effects = [
                item
                for item in self.effects
                if not (isinstance(item, SetTimer) and item.timer_id == first.timer_id)
            ]
            self.now_ms = max(self.now_ms, first.at_ms)
            self.feed(TimerFired(first.timer_id))
        self.now_ms = until_ms

    def with_settings(self, **fields):
        self.state = replace(self.state, settings=replace(self.state.settings, **fields))
        return self
