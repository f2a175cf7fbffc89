"""The reactor's timers must not depend on the time of day.

A system clock that was set back made every timer late by the size of the step.
"""

import pytest
from twisted.internet import base
from twisted.internet.selectreactor import SelectReactor

from savoryarch.utils import Clock, set_reactor_clock


@pytest.mark.parametrize("step_s", [-15.0, -1.0, 0.0, 1.0, 15.0])
@pytest.mark.parametrize(("elapsed_s", "fired"), [(0.0, False), (4.9, False), (5.1, True)])
def test_timers_use_the_monotonic_clock(monkeypatch, step_s, elapsed_s, fired):
    monotonic_s, wall_s = [100.0], [1_800_000_000.0]
    monkeypatch.setattr(base.ReactorBase, "seconds", staticmethod(lambda: wall_s[0]))
    reactor = SelectReactor()
    set_reactor_clock(reactor, Clock(lambda: monotonic_s[0]))
    calls = []
    reactor.callLater(5.0, calls.append, "due")
    monotonic_s[0] += elapsed_s
    wall_s[0] += elapsed_s + step_s
    reactor.runUntilCurrent()
    assert (calls == ["due"]) is fired
