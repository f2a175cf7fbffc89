"""Admission, fair shares, expiry and adaptive limits of admission control."""

from collections import Counter
from dataclasses import replace

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from savoryarch.admission import (
    AdmissionSettings,
    Admitted,
    FixedLimit,
    NoLimit,
    Queued,
    Rejected,
    Ticket,
    admit_waiting,
    finish_request,
    make_admission_state,
    request_admission,
    withdraw_ticket,
)
from savoryarch.model import Priority, RefusalReason

TICKET = Ticket("r", "p", "c", "s", Priority.NORMAL, 1000.0, 10.0, 1.0)
PRIORITIES = {"u": Priority.URGENT, "n": Priority.NORMAL, "b": Priority.BATCH}


def make_state(limit=1.0, **changes):
    changes = {"urgent_headroom": 0.0, "max_wait_share": 1.0, **changes}
    return make_admission_state(AdmissionSettings(policy=FixedLimit(limit), **changes))


def request_all(state, tickets, now_ms=0.0):
    outcomes = []
    for ticket in tickets:
        result = request_admission(state, ticket, now_ms)
        state = result.state
        outcomes.append(result.outcome)
    return state, outcomes


def drain(state, first, count, now_ms=1.0):
    """End running requests one by one, and return the tickets in the order of admission."""
    order, running = [], [first]
    while running and len(order) < count:
        state = finish_request(state, running.pop(0), now_ms)
        result = admit_waiting(state, now_ms)
        state = result.state
        order += result.admitted
        running += [ticket.request_id for ticket in result.admitted]
    return state, order


def tickets_of(names, **changes):
    """Make tickets from names of the form priority.caller.search, for example ``u.a.x``."""
    tickets = []
    for number, name in enumerate(names):
        priority, caller, search = name.split(".")
        tickets.append(
            replace(
                TICKET,
                request_id=f"{name}.{number}",
                priority=PRIORITIES[priority],
                caller=caller,
                search=search,
                **changes,
            )
        )
    return tickets


@pytest.mark.parametrize(
    ("changes", "setting", "outcome"),
    [
        ({}, {}, Queued(0.0)),
        ({"pool": "other"}, {}, Admitted()),
        ({"deadline_at_ms": 9.0}, {}, Rejected(RefusalReason.DEADLINE_TOO_SHORT, None)),
        ({}, {"max_waiting_per_caller": 1}, Rejected(RefusalReason.OVERLOADED, 1.0)),
        ({}, {"max_waiting": 1}, Rejected(RefusalReason.OVERLOADED, 1.0)),
        ({"caller": "d"}, {"max_waiting_per_caller": 1}, Queued(0.0)),
        ({"pool": "other"}, {"instance_limit": 1}, Queued(0.0)),
    ],
)
def test_outcomes_of_requests_to_a_full_pool(changes, setting, outcome):
    state, _ = request_all(make_state(**setting), tickets_of(["n.c.s", "n.c.s"]))
    assert request_admission(state, replace(TICKET, **changes), 0.0).outcome == outcome


@pytest.mark.parametrize(
    ("ahead", "deadline_at_ms", "outcome"),
    [
        (0, 131.0, Queued(100.0)),
        (0, 129.0, Rejected(RefusalReason.OVERLOADED, 100.0)),
        (4, 531.0, Queued(500.0)),
        (4, 500.0, Rejected(RefusalReason.OVERLOADED, 110.0)),
    ],
)
def test_a_request_that_cannot_meet_its_deadline_is_rejected_immediately(
    ahead, deadline_at_ms, outcome
):
    state, _ = request_all(make_state(), tickets_of(["n.c.s"]))
    state = finish_request(state, "n.c.s.0", 100.0)
    state, _ = request_all(state, tickets_of(["n.c.s"] * (ahead + 1)), 100.0)
    ticket = replace(TICKET, deadline_at_ms=deadline_at_ms + 80.0, expected_duration_ms=90.0)
    result = request_admission(state, replace(ticket, expected_duration_ms=10.0), 100.0)
    match outcome:
        case Queued():
            assert result.outcome == outcome
        case Rejected(reason=reason):
            assert result.outcome.reason == reason
            assert result.outcome.retry_after_ms > 0


@pytest.mark.parametrize(
    ("names", "weights", "count", "expected"),
    [
        (["n.a.x"] * 9 + ["n.b.x"] * 9, {}, 8, {"a": 4, "b": 4}),
        (["n.a.x"] * 9 + ["n.b.x"] * 9, {"a": 3.0}, 8, {"a": 6, "b": 2}),
        (["n.a.x"] * 90 + ["n.b.x"], {}, 3, {"a": 2, "b": 1}),
        (["n.a.x"] * 9 + ["n.a.y"] * 9 + ["n.b.x"] * 9, {}, 8, {"a": 4, "b": 4}),
    ],
)
def test_callers_share_by_weight(names, weights, count, expected):
    tickets = [
        replace(ticket, weight=weights.get(ticket.caller, 1.0)) for ticket in tickets_of(names)
    ]
    state, _ = request_all(make_state(), [replace(TICKET, request_id="first"), *tickets])
    _, order = drain(state, "first", count)
    assert Counter(ticket.caller for ticket in order[:count]) == expected


def test_searches_of_a_caller_share_evenly():
    tickets = tickets_of(["n.a.x"] * 9 + ["n.a.y"] * 9)
    state, _ = request_all(make_state(), [replace(TICKET, request_id="first"), *tickets])
    _, order = drain(state, "first", 8)
    assert Counter(ticket.search for ticket in order) == {"x": 4, "y": 4}


@pytest.mark.parametrize(
    ("setting", "count", "expected"),
    [
        ({"normal_floor": 0.0, "batch_floor": 0.0}, 20, {Priority.URGENT: 20}),
        (
            {"normal_floor": 0.25, "batch_floor": 0.0},
            50,
            {Priority.URGENT: 37, Priority.NORMAL: 13},
        ),
    ],
)
def test_urgent_requests_are_first_and_lower_classes_keep_their_share(setting, count, expected):
    tickets = tickets_of(["n.a.x"] * 60 + ["u.a.x"] * 60)
    state, _ = request_all(make_state(**setting), [replace(TICKET, request_id="first"), *tickets])
    _, order = drain(state, "first", count)
    assert Counter(ticket.priority for ticket in order) == expected


def test_urgent_requests_may_use_more_than_the_limit():
    state = make_state(limit=4.0, urgent_headroom=0.25)
    state, outcomes = request_all(state, tickets_of(["n.a.x"] * 5 + ["u.a.x"] * 2))
    assert [type(outcome) for outcome in outcomes] == [Admitted] * 4 + [Queued, Admitted, Queued]


@pytest.mark.parametrize(
    ("now_ms", "expired", "wake_at_ms"),
    [(990.0, 0, 990.0), (990.1, 2, None)],
)
def test_waiting_requests_expire(now_ms, expired, wake_at_ms):
    state, _ = request_all(make_state(), tickets_of(["n.a.x"] * 3))
    result = admit_waiting(state, now_ms)
    assert (len(result.expired), result.wake_at_ms) == (expired, wake_at_ms)
    assert len(result.state.waiting) == 2 - expired


def test_a_withdrawn_request_is_not_admitted():
    state, _ = request_all(make_state(), tickets_of(["n.a.x"] * 3))
    state = withdraw_ticket(state, "n.a.x.1")
    _, order = drain(state, "n.a.x.0", 2)
    assert [ticket.request_id for ticket in order] == ["n.a.x.2"]


def test_without_a_limit_everything_is_admitted():
    state = make_admission_state(AdmissionSettings(policy=NoLimit()))
    _, outcomes = request_all(state, tickets_of(["n.a.x"] * 500))
    assert set(outcomes) == {Admitted()}


@pytest.mark.parametrize(
    ("latency_ms", "sheds", "low", "high"),
    [(10.0, 0, 101, 4000), (40.0, 0, 10, 99), (10.0, 1, 10, 99)],
)
def test_the_limit_grows_without_overload_and_shrinks_with_it(latency_ms, sheds, low, high):
    state = make_admission_state(AdmissionSettings(initial_limit=100.0, window=10))
    for number in range(40):  # samples of an idle pool
        state = request_admission(state, replace(TICKET, request_id=f"i{number}"), 0.0).state
        state = finish_request(state, f"i{number}", 10.0)
    now_ms = 10.0
    for batch in range(5):
        tickets = [replace(TICKET, request_id=f"{batch}.{number}") for number in range(110)]
        state, _ = request_all(state, tickets, now_ms)
        now_ms += latency_ms
        for ticket in tickets:
            state = finish_request(state, ticket.request_id, now_ms, sheds=sheds)
        while (result := admit_waiting(state, now_ms)).admitted:
            state = result.state
            for ticket in result.admitted:
                state = finish_request(state, ticket.request_id, now_ms + latency_ms, sheds=sheds)
        now_ms += latency_ms
    assert low <= state.pools["p"].limit.value <= high


WITHOUT_SHRINKING = (Phase.explicit, Phase.generate)  # shrinking takes minutes here
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["request", "finish", "withdraw", "wait"]),
        st.integers(0, 30),
        st.sampled_from(["u.a.x", "n.a.y", "n.b.x", "b.c.x"]),
        st.floats(1.0, 60.0),
    ),
    min_size=30,
    max_size=80,
)


def perform(state, action, now_ms, number):
    """Perform an action, and return the state and the id of the request that it ended, if any."""
    kind, index, name, remaining_ms = action
    if kind == "request":
        (ticket,) = tickets_of(
            [name], deadline_at_ms=now_ms + remaining_ms, expected_duration_ms=0.0
        )
        ticket = replace(ticket, request_id=str(number), cost=1.0 + index % 2)
        result = request_admission(state, ticket, now_ms)
        is_rejected = isinstance(result.outcome, Rejected)
        return result.state, str(number) if is_rejected else None
    candidates = {"finish": state.running, "withdraw": state.waiting}.get(kind)
    if not candidates:
        return state, None
    request_id = sorted(candidates)[index % len(candidates)]
    if kind == "finish":
        return finish_request(state, request_id, now_ms), request_id
    return withdraw_ticket(state, request_id), request_id


@given(ACTIONS)
@settings(derandomize=True, max_examples=100, deadline=None, phases=WITHOUT_SHRINKING)
def test_every_request_gets_one_outcome_and_limits_hold(actions):
    state, now_ms = make_state(limit=3.0), 0.0
    requested, ended = [], []
    for number, action in enumerate(actions):
        if action[0] == "request":
            requested.append(str(number))
        if action[0] == "wait":
            now_ms += action[3]
        state, request_id = perform(state, action, now_ms, number)
        ended += [request_id] if request_id else []
        result = admit_waiting(state, now_ms)
        state = result.state
        ended += [ticket.request_id for ticket in result.expired]
        assert all(ticket.latest_start_at_ms >= now_ms for ticket in result.admitted)
        check_invariants(state)
    assert sorted([*ended, *state.waiting, *state.running]) == sorted(requested)


def check_invariants(state):
    pool = state.pools.get("p")
    if pool is None:
        return
    assert pool.in_flight == sum(running.ticket.cost for running in state.running.values())
    assert pool.in_flight < 3.0 + 2.0  # the last request may exceed the limit
    waiting = sum(ticket.cost for ticket in state.waiting.values())
    assert sum(queue.cost for queue in pool.classes) == pytest.approx(waiting)
    assert not (state.waiting and pool.in_flight < 3.0)  # no request waits while there is capacity
