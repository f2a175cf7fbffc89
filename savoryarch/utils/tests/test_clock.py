"""Timers of the process when the time of day steps."""

import pytest
from twisted.internet import base
from twisted.internet.selectreactor import SelectReactor

from savoryarch.utils import Clock, set_reactor_clock


@pytest.mark.parametrize("step_s", [-15.0, -1.0, 0.0, 1.0, 15.0])
@pytest.mark.parametrize(("elapsed_s", "fired"), [(0.0, False), (4.9, False), (5.1, True)])
def test_timers_follow_the_steady_clock(monkeypatch, step_s, elapsed_s, fired):
    steady_s, day_s = [100.0], [1_800_000_000.0]
    monkeypatch.setattr(base.ReactorBase, "seconds", staticmethod(lambda: day_s[0]))
    reactor = SelectReactor()
    set_reactor_clock(reactor, Clock(lambda: steady_s[0]))
    calls = []
    reactor.callLater(5.0, calls.append, "due")
    steady_s[0] += elapsed_s
    day_s[0] += elapsed_s + step_s
    reactor.runUntilCurrent()
    assert (calls == ["due"]) is fired
