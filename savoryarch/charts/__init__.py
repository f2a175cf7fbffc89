"""State charts, declared in INI files and interpreted at run time.

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

A line ``event = next_state / action, action`` declares a transition. The code that uses the chart
performs the named actions. A state may have a ``summary``.
"""

from savoryarch.charts._chart import Chart, Transition
from savoryarch.charts._load import CHART_NAMES, load_chart, parse_chart
from savoryarch.charts._machine import make_machine

__all__ = ["CHART_NAMES", "Chart", "Transition", "load_chart", "make_machine", "parse_chart"]
