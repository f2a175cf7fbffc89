import pytest

from savoryarch import model
from savoryarch.codec import make_message_codec
from savoryarch.exceptions import FindingsError
from savoryarch.model import Count, Decided, SetTimer, TimerFired
from savoryarch.replay import match_pattern, play_trace, read_trace

CODEC = make_message_codec(model)
HEADER = '{"trace": "t", "promise": "p"}\n'


def decide_echo(state, event, now_ms):
    """Count each event and set a timer 10 ms after the first."""
    effects = [Count("events", f"{type(event).__name__}@{now_ms:g}")]
    if not state:
        effects.append(SetTimer("echo/1", now_ms + 10.0))
    return Decided(state + 1, tuple(effects))


@pytest.mark.parametrize(
    ("pattern", "value", "bindings"),
    [
        ({"a": 1}, {"a": 1, "b": 2}, {}),
        ({"a": "$x"}, {"a": 1}, {"$x": 1}),
        ({"a": "$x", "b": "$x"}, {"a": 1, "b": 2}, None),
        ({"a": "$"}, {"a": [1]}, {}),
        ({"a": 1}, {}, None),
        (["$x", 2], [1, 2], {"$x": 1}),
        ([1], [1, 2], None),
        ({"a": 1}, 3, None),
    ],
)
def test_a_pattern_matches_equal_values_and_binds_names(pattern, value, bindings):
    assert match_pattern(pattern, value, {}) == bindings


START = '{"at_ms": 5, "event": {"type": "TimerFired", "timer_id": "x"}}\n'


@pytest.mark.parametrize(
    ("lines", "differences"),
    [
        ('{"expect": {"type": "Count", "reason": "TimerFired@5"}}', 0),
        ('{"expect": {"type": "Count", "reason": "TimerFired@6"}}', 1),
        ('{"expect": {"type": "Count"}}\n{"expect": {"type": "Count"}}', 1),
        ('{"forbid": {"type": "Count", "reason": "TimerFired@6"}}', 0),
        ('{"forbid": {"type": "Count"}}', 1),
        ('{"advance_to_ms": 14}\n{"expect": {"reason": "TimerFired@15"}}', 1),
        ('{"advance_to_ms": 15}\n{"expect": {"reason": "TimerFired@15"}}', 0),
        (
            '{"expect": {"type": "SetTimer", "timer_id": "$t"}}\n'
            '{"at_ms": 6, "event": {"type": "TimerFired", "timer_id": "$t"}}\n'
            '{"expect": {"reason": "TimerFired@6"}}',
            0,
        ),
        ('{"at_ms": 6, "event": {"type": "TimerFired", "timer_id": "$unbound"}}', 1),
        ('{"at_ms": 6, "event": {"type": "Nothing"}}', 1),
    ],
)
def test_play_trace_counts_differences(lines, differences):
    result = play_trace(read_trace(HEADER + START + lines, "a.trace"), 0, decide_echo, CODEC)
    assert len(result.differences) == differences, result.differences


def test_never_patterns_of_the_header_apply_to_the_whole_trace():
    header = '{"trace": "t", "promise": "p", "never": [{"reason": "TimerFired@15"}]}\n'
    trace = read_trace(header + START + '{"advance_to_ms": 20}', "a.trace")
    result = play_trace(trace, 0, decide_echo, CODEC)
    assert [str(difference.place) for difference in result.differences] == ["a.trace:3"]
    assert TimerFired.__name__ in str(result.differences[0])


@pytest.mark.parametrize(
    ("text", "findings"),
    [
        ("", ["a.trace: expected a first line"]),
        ("{}", ["a.trace:1: Object missing required field `trace`"]),
        (HEADER + "{\n[1]\n", ["a.trace:2: ", "a.trace:3: got [1], expected at_ms with event"]),
        (HEADER + '{"expect": {}, "extra": 1}', ["a.trace:2: got"]),
    ],
)
def test_findings_of_an_invalid_trace(text, findings):
    with pytest.raises(FindingsError) as error:
        read_trace(text, "a.trace")
    for finding in findings:
        assert finding in str(error.value)
