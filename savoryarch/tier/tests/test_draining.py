"""No new work reaches a target that drains, in any order of evidence.

Guards against requests to a target that has reported that it drains and is live again for this
instance: because of evidence that is older than the report, or because an attempt has waited for a
connection since before it. A target returns only by a newer registration, or by an answer of its
health endpoint that is certain to be newer than the report.
"""

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from immutables import Map

from savoryarch.discovery import DiscoverySettings, StoreEntryCodec, UnrelatedEntry
from savoryarch.forwarding import ForwardingSettings
from savoryarch.forwarding.tests.driver import make_route, request, returned
from savoryarch.model import (
    AttemptEnded,
    CancelAttempt,
    Cancelled,
    ClearTimer,
    ConnectionLost,
    DeclarationsInForce,
    Draining,
    InstanceRole,
    InstancesListed,
    KeyChange,
    KeyRead,
    KeysChanged,
    KeysListed,
    ListedInstance,
    ListedState,
    ListKeys,
    Misdirected,
    NotSent,
    PeerMessageReceived,
    ReturnUnsent,
    SendAttempt,
    SetTimer,
    Shed,
    Started,
    StoreReplied,
    StoreUnreachable,
    Target,
    TargetAdvice,
    TargetAdvised,
    TargetEvidence,
    TargetEvidenceReceived,
    TimedOut,
    TimerFired,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.model.forwarding import (
    ForwardingTable,
    ForwardRequested,
    RegisteredTarget,
    ToService,
)
from savoryarch.resources import RECORD_CODEC
from savoryarch.targets import TargetLeaving, TargetsSettings, choose_target
from savoryarch.tier import TierSettings, decide_tier, make_tier_state

HEALTH_LAG_MS = 5000.0
POLL_TIMER = "discovery/poll"
FIRED_TIMERS = ("targets/", "discovery/", "forwarding/")
ROUTES = (
    make_route("read", ToService("shop"), timeout_ms=6000.0),
    make_route("order", ToService("shop"), timeout_ms=6000.0, idempotent=False),
)
KEY = "t/a"


@dataclass(frozen=True)
class Registration:
    """An entry of a target as it is written to the store."""

    start: int
    sequence: int
    draining: bool
    late: bool = False

    @property
    def target_id(self):
        return f"{KEY}@{self.start}"

    def encode(self):
        state = "draining" if self.draining else "ready"
        return f"{self.start} {self.sequence} {state}".encode()


def parse_registration(value):
    start, sequence, state = value.decode().split()
    return Registration(int(start), int(sequence), state == "draining")


def decode(key, value):
    if key == "table":
        return ForwardingTable(1, ROUTES, Map({"shop": 100}))
    if key != KEY:
        return UnrelatedEntry()
    registration = parse_registration(value)
    target = Target(registration.target_id, "shop", "zone-a", "127.0.0.1", 1)
    return RegisteredTarget(target, key, 2, registration.draining, registration.sequence)


def make_instance():
    tier_settings = TierSettings(
        "me",
        "zone-a",
        1,
        TargetsSettings("zone-a", health_lag_ms=HEALTH_LAG_MS),
        forwarding=ForwardingSettings(enabled=True, extra_requests=1000.0),
        discovery=DiscoverySettings(enabled=True),
    )
    return make_tier_state(tier_settings, RECORD_CODEC, StoreEntryCodec(decode, lambda _: b""))


@dataclass
class World:
    """An instance, the store, and the connections to the targets, in virtual time.

    Attributes
    ----------
    draining : dict of str to float
        When the instance read that a target drains, by target id; without those that may return.
    """

    now_ms: float = 0.0
    revision: int = 1
    history: list = field(default_factory=list)
    entries: dict = field(default_factory=dict)
    latest: Registration = Registration(1, 1, False)
    written: list = field(default_factory=list)
    read: dict = field(default_factory=dict)
    draining: dict = field(default_factory=dict)
    left: set = field(default_factory=set)
    timers: dict = field(default_factory=dict)
    waiting: dict = field(default_factory=dict)
    running: dict = field(default_factory=dict)
    declared: set = field(default_factory=set)
    is_busy: bool = False
    request_count: int = 0

    def __post_init__(self):
        self.state = make_instance()
        self.entries["table"] = b""
        self.write(self.latest)
        self.feed(Started("me", "zone-a", 1))
        self.reply_to_list()
        self.receive_evidence(TargetEvidence.CONNECTED)

    def write(self, registration):
        """Execute a write of the target; None removes its entry."""
        self.revision += 1
        value = registration.encode() if registration else None
        self.history.append(KeyChange(KEY, value, self.revision))
        if registration is None:
            self.entries.pop(KEY, None)
            return
        self.entries[KEY] = value
        if not registration.late:
            self.latest = registration
            self.written.append(registration)

    def execute_late_write(self, age):
        """Execute an earlier write of the same start once more."""
        written = [item for item in self.written if item.start == self.latest.start]
        self.write(replace(written[-min(age + 1, len(written))], late=True))

    def record_read(self, key, value):
        """Note what a registration that the instance reads says, unless it is an older one."""
        if value is None or key != KEY:
            return
        registration = parse_registration(value)
        target_id = registration.target_id
        if registration.sequence < self.read.get(target_id, registration).sequence:
            return
        self.read[target_id] = registration
        if registration.draining:
            self.draining.setdefault(target_id, self.now_ms)
        else:
            self.draining.pop(target_id, None)

    def reply_to_list(self):
        rows = tuple(KeyRead(key, value, 1) for key, value in sorted(self.entries.items()))
        for row in rows:
            self.record_read(row.key, row.value)
        self.feed(StoreReplied("discovery/list", KeysListed(rows, self.revision)))

    def poll(self, outcome):
        """Poll the store, which replies, has forgotten its history or does not reply."""
        for effect in self.feed(TimerFired(POLL_TIMER)):
            match effect:
                case ListKeys():
                    self.reply_to_list()
                case WatchKeys() if outcome == "lost":
                    lost = StoreUnreachable("connection lost")
                    self.feed(StoreReplied("discovery/changes", lost))
                case WatchKeys() if outcome == "compacted":
                    compacted = WatchCompacted(self.revision)
                    for listing in self.feed(StoreReplied("discovery/changes", compacted)):
                        if isinstance(listing, ListKeys):
                            self.reply_to_list()
                case WatchKeys(since_revision=since):
                    changes = tuple(item for item in self.history if item.revision > since)
                    for change in changes:
                        self.record_read(change.key, change.value)
                    reply = KeysChanged(changes, self.revision)
                    self.feed(StoreReplied("discovery/changes", reply))

    def feed(self, event):
        decided = decide_tier(self.state, event, self.now_ms)
        self.state = decided.state
        for effect in decided.effects:
            self.perform(effect)
        return decided.effects

    def perform(self, effect):
        match effect:
            case SetTimer(timer_id=timer_id, at_ms=at_ms) if timer_id.startswith(FIRED_TIMERS):
                self.timers[timer_id] = at_ms
            case ClearTimer(timer_id=timer_id):
                self.timers.pop(timer_id, None)
            case SendAttempt(target_id=target_id):
                self.check_may_get_work(target_id)
                self.waiting[effect.attempt_id] = effect
                if not self.is_busy:
                    self.send_waiting()
            case ReturnUnsent(target_id=target_id):
                self.return_unsent({target_id})
            case DeclarationsInForce(declarations=declarations):
                services = declarations.services.values()
                declared = {item.target_id for service in services for item in service.targets}
                self.return_unsent(self.declared - declared)
                self.declared = declared
            case CancelAttempt(attempt_id=attempt_id):
                reply = NotSent("cancelled") if attempt_id in self.waiting else Cancelled()
                self.end(attempt_id, reply)

    def return_unsent(self, target_ids):
        for attempt_id, send in list(self.waiting.items()):
            if send.target_id in target_ids:
                self.end(attempt_id, NotSent("returned"))

    def send_waiting(self):
        """Connections become free, and what waits for them is sent."""
        for attempt_id, send in list(self.waiting.items()):
            self.check_may_get_work(send.target_id)
            self.running[attempt_id] = self.waiting.pop(attempt_id)

    def check_may_get_work(self, target_id):
        assert target_id not in self.draining, f"new work for {target_id} at {self.now_ms}"
        assert target_id not in self.left, f"new work for {target_id}, which leaves"

    def end(self, attempt_id, reply):
        send = self.waiting.pop(attempt_id, None) or self.running.pop(attempt_id, None)
        if send is not None:
            self.feed(AttemptEnded(attempt_id, send.target_id, reply))

    def advance(self, duration_ms):
        until_ms = self.now_ms + duration_ms
        while due := [item for item in self.timers.items() if item[1] <= until_ms]:
            timer_id, at_ms = min(due, key=lambda item: (item[1], item[0]))
            del self.timers[timer_id]
            self.now_ms = max(self.now_ms, at_ms)
            if timer_id != POLL_TIMER:
                self.feed(TimerFired(timer_id))
        self.now_ms = until_ms

    def receive_evidence(self, evidence):
        target_id = self.latest.target_id
        since_ms = self.draining.get(target_id)
        is_newer = since_ms is not None and self.now_ms - since_ms >= HEALTH_LAG_MS
        if evidence is TargetEvidence.PROBE_ANSWERED and is_newer:
            del self.draining[target_id]
        self.feed(TargetEvidenceReceived(target_id, evidence))


def apply_write(world, event):
    latest = world.latest
    match event:
        case ("register", draining):
            world.write(Registration(latest.start, latest.sequence + 1, draining))
        case ("late", age):
            world.execute_late_write(age)
        case ("late_and_polled", age):
            world.execute_late_write(age)
            world.poll("replied")
        case ("restart",):
            world.write(Registration(latest.start + 1, 1, False))
        case ("remove",):
            world.write(None)


def apply_event(world, event):
    latest = world.latest
    match event:
        case ("register" | "late" | "late_and_polled" | "restart" | "remove", *_):
            apply_write(world, event)
        case ("poll", outcome):
            world.poll(outcome)
        case ("evidence", evidence):
            world.receive_evidence(evidence)
        case ("listed", listed_state):
            row = ListedInstance(
                latest.target_id, InstanceRole.TARGET, "zone-a", "127.0.0.1", 1, listed_state
            )
            world.feed(InstancesListed((row,)))
        case ("leaves", source):
            world.left.add(latest.target_id)
            if source == "peer":
                world.feed(PeerMessageReceived("other", TargetLeaving(latest.target_id)))
            else:
                world.feed(TargetAdvised(latest.target_id, TargetAdvice(True, None, "")))
        case ("request", path):
            world.request_count += 1
            request_id = f"r{world.request_count}"
            forwarded = request(path, request_id)
            world.feed(ForwardRequested(f"q{world.request_count}", forwarded, 6000.0))
        case ("end", number, reply) if world.running:
            attempt_ids = sorted(world.running)
            world.end(attempt_ids[number % len(attempt_ids)], reply)
        case ("busy", is_busy):
            world.is_busy = is_busy
            if not is_busy:
                world.send_waiting()
        case ("wait", duration_ms):
            world.advance(duration_ms)


# Discovery alone publishes registrations, from the entries that it reads.
EVIDENCE = [item for item in TargetEvidence if item is not TargetEvidence.REGISTERED]
REPLIES = (
    returned(),
    returned(500),
    Shed(),
    Draining(),
    Misdirected(),
    ConnectionLost("reset"),
    TimedOut(),
)
EVENTS = st.one_of(
    st.tuples(st.just("register"), st.booleans()),
    st.tuples(st.just("late"), st.integers(1, 3)),
    st.tuples(st.just("late_and_polled"), st.integers(1, 3)),
    st.tuples(st.sampled_from(("restart", "remove"))),
    st.tuples(st.just("poll"), st.sampled_from(("replied", "replied", "compacted", "lost"))),
    st.tuples(st.just("evidence"), st.sampled_from(EVIDENCE)),
    st.tuples(st.just("evidence"), st.just(TargetEvidence.CONNECTED)),
    st.tuples(st.just("listed"), st.sampled_from(list(ListedState))),
    st.tuples(st.just("leaves"), st.sampled_from(("peer", "reply"))),
    st.tuples(st.just("request"), st.sampled_from(("/read/1", "/order/1"))),
    st.tuples(st.just("request"), st.just("/order/1")),
    st.tuples(st.just("end"), st.integers(0, 100), st.sampled_from(REPLIES)),
    st.tuples(st.just("busy"), st.booleans()),
    st.tuples(st.just("wait"), st.sampled_from((1.0, 300.0, 2000.0, HEALTH_LAG_MS))),
)


DRAINS = (("register", True), ("poll", "replied"))
ORDER = ("request", "/order/1")


def check_choice(world):
    """Check that the next request would not be sent to a target that drains or leaves."""
    chosen = choose_target(
        world.state.targets, "shop", exclude=frozenset(), snapshot=None, now_ms=world.now_ms
    )
    if chosen is not None:
        world.check_may_get_work(chosen)


@settings(
    max_examples=500,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(st.lists(EVENTS, max_size=10), st.booleans(), st.lists(EVENTS, min_size=5, max_size=30))
def test_a_draining_target_gets_no_new_work_whatever_the_order_of_evidence(before, is_busy, after):
    world = World()
    for event in (*before, ("busy", is_busy), ORDER, *DRAINS, *after):
        apply_event(world, event)
        check_choice(world)


REFUSED = ("evidence", TargetEvidence.CONNECTION_REFUSED)
CONNECTED = ("evidence", TargetEvidence.CONNECTED)


@pytest.mark.parametrize(
    ("events", "gets_work"),
    [
        ((ORDER,), True),
        # A connection that fails while the target drains, and one that is accepted afterwards.
        ((*DRAINS, REFUSED, CONNECTED, ORDER), False),
        ((REFUSED, *DRAINS, REFUSED, CONNECTED, ORDER), False),
        # An order that waits for a connection since before the report.
        ((("busy", True), ORDER, *DRAINS, ("busy", False)), False),
        # A write that the store executes after the report, although it is older.
        ((*DRAINS, ("late", 1), ("poll", "replied"), CONNECTED, ORDER), False),
        ((*DRAINS, ("late", 1), ("poll", "compacted"), CONNECTED, ORDER), False),
        (
            (
                *DRAINS,
                ("remove",),
                ("poll", "replied"),
                ("late", 1),
                ("poll", "replied"),
                CONNECTED,
                ORDER,
            ),
            False,
        ),
        # A newer registration, or a new start.
        ((*DRAINS, ("register", False), ("poll", "replied"), CONNECTED, ORDER), True),
        ((*DRAINS, ("restart",), ("poll", "replied"), CONNECTED, ORDER), True),
    ],
)
def test_evidence_lets_a_drained_target_return_only_if_it_is_newer(events, gets_work):
    world = World()
    for event in events:
        apply_event(world, event)
    assert bool(world.running) is gets_work
