"""Invariants of forwarded requests that hold in any order of events."""

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryarch.forwarding.tests.driver import ROUTES, Driver, returned
from savoryarch.model import (
    CancelAttempt,
    Cancelled,
    ConnectionLost,
    Draining,
    MalformedReply,
    Misdirected,
    NotSent,
    Refused,
    ResponseReturned,
    SendAttempt,
    Shed,
    TimedOut,
)
from savoryarch.model.forwarding import AnswerForward, ShardsAnswered, TargetAnswered

NOT_RUN = (NotSent, Shed, Draining, Misdirected)
REPLIES = (
    returned(),
    returned(500),
    Shed(),
    Draining(),
    Misdirected(),
    NotSent("refused"),
    ConnectionLost("reset"),
    MalformedReply("garbled"),
    TimedOut(),
)
PATHS = ("/read/1", "/order/1", "/find/1", "/split/1")
EVENTS = st.one_of(
    st.tuples(st.just("request"), st.sampled_from(PATHS)),
    st.tuples(st.just("end"), st.tuples(st.integers(0, 1000), st.sampled_from(REPLIES))),
    st.tuples(st.just("disconnect"), st.integers(0, 1000)),
    st.tuples(st.just("wait"), st.sampled_from((1.0, 20.0, 200.0, 2000.0))),
)


class RecordingDriver(Driver):
    """Driver that ends cancelled attempts, as connections do, and records each reply."""

    def __post_init__(self):
        super().__post_init__()
        self.open = {}
        self.ended = {}
        self.requests = {}
        self.outcomes = {}
        self.sent = {}
        self.budget_spent = {}

    def feed(self, event):
        effects = super().feed(event)
        for effect in effects:
            match effect:
                case SendAttempt(attempt_id=attempt_id, request=request):
                    self.open[attempt_id] = effect
                    self.sent.setdefault(request.client_request_id, []).append(effect)
                case CancelAttempt(attempt_id=attempt_id) if attempt_id in self.open:
                    self.end_open_attempt(attempt_id, Cancelled())
                case AnswerForward(request_id=request_id, outcome=outcome):
                    assert request_id not in self.outcomes
                    self.outcomes[request_id] = outcome
        return effects

    def end_open_attempt(self, attempt_id, reply):
        send = self.open.pop(attempt_id)
        self.ended[attempt_id] = reply
        self.end_attempt(send, reply)


def apply_events(driver, events):
    for kind, value in events:
        match kind:
            case "request":
                name = driver.send_request(value)
                driver.requests[name] = (value, f"r{driver.request_count}")
            case "end" if driver.open:
                number, reply = value
                names = sorted(driver.open)
                driver.end_open_attempt(names[number % len(names)], reply)
            case "disconnect" if driver.requests:
                names = sorted(driver.requests)
                driver.disconnect_client(names[value % len(names)])
            case "wait":
                driver.advance(driver.now_ms - 1000.0 + value)


def route_of(path):
    return next(route for route in ROUTES if path.startswith(route.path_prefix))


@settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.lists(EVENTS, max_size=60))
def test_invariants_hold_in_any_order_of_events(events):
    driver = RecordingDriver()
    apply_events(driver, events)
    for name, (path, client_id) in driver.requests.items():
        sends = driver.sent.get(client_id, [])
        check_retries(driver, route_of(path), sends)
        if name in driver.outcomes:
            check_outcome(driver, route_of(path), sends, driver.outcomes[name])


def check_retries(driver, route, sends):
    reached = {}
    for send in sends:
        reply = driver.ended.get(send.attempt_id)
        if not isinstance(reply, NotSent):
            service = driver.targets.records[send.target_id].target.service
            reached.setdefault(service, set()).add(send.target_id)
    assert all(len(targets) <= route.max_attempts for targets in reached.values())
    if not route.idempotent:
        replies = [driver.ended.get(send.attempt_id) for send in sends]
        assert all(isinstance(reply, NOT_RUN) for reply in replies[:-1]), replies


def check_outcome(driver, route, sends, outcome):
    replies = [driver.ended.get(send.attempt_id) for send in sends]
    match outcome:
        case Refused():
            assert outcome.not_run
            assert all(isinstance(reply, NOT_RUN) for reply in replies), replies
        case TargetAnswered(status=status):
            assert status in {r.status for r in replies if isinstance(r, ResponseReturned)}
        case ShardsAnswered(digests=digests, missing_shards=missing):
            count = len(route.destination.services)
            assert len(digests) + missing == count
            assert len(digests) >= route.destination.minimum_coverage * count - 1e-9


@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(st.lists(EVENTS, max_size=60))
def test_every_request_ends_by_its_deadline(events):
    driver = RecordingDriver()
    apply_events(driver, events)
    driver.advance(driver.now_ms - 1000.0 + 1600.0)
    assert not driver.state.forwards
    for attempt_id in sorted(driver.open):
        driver.end_open_attempt(attempt_id, TimedOut())
    assert not driver.state.attempts
    assert not driver.state.waiting
    assert all(use.in_flight == 0 for use in driver.targets.usages.values())
