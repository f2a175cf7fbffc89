"""State charts: INI files that the code interprets.

A chart file has one ``[chart]`` section and one ``[state NAME]`` section per state::

    [chart]
    name = attempt
    summary = One sub-request to one target.
    initial = planned
    events = sent, answered

    [state planned]
    sent = in_flight / start_timer

    [state in_flight]
    answered = done

    [state done]
    final = yes

``event = next_state / action, action`` is a transition. The actions are names that the
decision which owns the chart carries out.
"""

from savoryarch.charts._chart import Chart, Transition
from savoryarch.charts._load import CHART_NAMES, load_chart, parse_chart
from savoryarch.charts._machine import make_machine

__all__ = ["CHART_NAMES", "Chart", "Transition", "load_chart", "make_machine", "parse_chart"]
