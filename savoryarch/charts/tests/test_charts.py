"""Charts are interpreted as they are written, and invalid charts are rejected when they are loaded.

Guards against a transition to a state, or an action, that does not exist. It would otherwise be
found only when the event occurs.
"""

import pytest
from automat import NoTransition

from savoryarch.charts import CHART_NAMES, load_chart, make_machine, parse_chart
from savoryarch.exceptions import FindingsError, NoTransitionError

CHART = """[chart]
name = attempt
summary = One sub-request to one target.
initial = planned
events = sent, answered

[state planned]
sent = in_flight / start_timer

[state in_flight]
answered = done / clear_timer, deliver

[state done]
final = yes
"""


@pytest.mark.parametrize(
    ("old", "new", "findings"),
    [
        ("initial = planned", "initial = plan", ["a.ini:1 chart: initial state 'plan'"]),
        ("answered = done", "answered = don", ["next state 'don' does not exist", "'done' cannot"]),
        ("events = sent, answered", "events = sent", ["event 'answered' is not listed"]),
        ("events = sent", "events = sent, lost", ["event 'lost' has no transition"]),
        ("final = yes\n", "", ["a.ini:13 state done: state 'done' has no transition"]),
        ("final = yes", "final = yes\nsent = done", ["must not have transitions"]),
        ("[state done]", "[done]", ["expected [chart] or [state NAME]"]),
        ("name = attempt", "", ["key 'name' is missing"]),
        ("sent = in_flight", "sent in_flight", ["a.ini:8: got", "expected 'key = value'"]),
        ("[state in_flight]", "[state planned]", ["section is given twice"]),
    ],
)
def test_all_findings_of_an_invalid_chart_are_reported_together(old, new, findings):
    assert old in CHART
    with pytest.raises(FindingsError) as error:
        parse_chart(CHART.replace(old, new), "a.ini")
    for finding in findings:
        assert finding in str(error.value)


@pytest.mark.parametrize(
    ("actions", "finding"),
    [
        ({"start_timer", "clear_timer"}, "action 'deliver' is not implemented"),
        ({"start_timer", "clear_timer", "deliver", "spare"}, "no transition names it"),
    ],
)
def test_actions_of_the_chart_must_equal_the_implemented_ones(actions, finding):
    with pytest.raises(FindingsError, match=finding):
        parse_chart(CHART, "a.ini", frozenset(actions))


@pytest.mark.parametrize(
    ("state", "event", "next_state", "actions"),
    [
        ("planned", "sent", "in_flight", ("start_timer",)),
        ("in_flight", "answered", "done", ("clear_timer", "deliver")),
    ],
)
def test_step_returns_the_next_state_and_the_actions(state, event, next_state, actions):
    transition = parse_chart(CHART, "a.ini").step(state, event)
    assert (transition.next_state, transition.actions) == (next_state, actions)


@pytest.mark.parametrize(("state", "event"), [("planned", "answered"), ("done", "sent")])
def test_step_without_transition_raises(state, event):
    with pytest.raises(NoTransitionError, match=event):
        parse_chart(CHART, "a.ini").step(state, event)


def test_machine_performs_the_actions_of_the_chart():
    performed = []
    machine = make_machine(parse_chart(CHART, "a.ini"), performed.append)
    machine.sent()
    machine.answered()
    assert performed == ["start_timer", "clear_timer", "deliver"]
    with pytest.raises(NoTransition):
        machine.sent()


@pytest.mark.parametrize("name", CHART_NAMES)
def test_every_chart_file_is_valid(name):
    assert load_chart(name).name == name
