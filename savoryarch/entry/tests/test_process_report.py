"""What a process logs of its start and end, and its gauges."""

import faulthandler
import signal
import sys

import pytest
from logbook import TestHandler as LogRecorder
from twisted.internet.task import Clock as VirtualTime

from savoryarch.entry._metrics import Metrics
from savoryarch.entry._process_report import ProcessReport
from savoryarch.lifetime import StartSteps
from savoryarch.model import Exit, ExitReason
from savoryarch.settings import parse_settings
from savoryarch.utils import Clock

SETTINGS = parse_settings(
    "[instance]\ninstance_id = entry-1\navailability_zone = zone-a\nmemory_mb = 560\n", "boot.ini"
)[0]
TERM, INT = signal.SIGTERM, signal.SIGINT


@pytest.fixture
def virtual_time():
    return VirtualTime()


@pytest.fixture
def report(virtual_time):
    return ProcessReport(SETTINGS, "boot.ini", StartSteps(Clock(virtual_time.seconds), 60.0))


@pytest.mark.parametrize(
    ("signals", "decided", "level", "expected", "exit_code"),
    [
        ([TERM], Exit(0), "INFO", "reason=stop_finished signal=SIGTERM exit_code=0 cut=0", 0),
        ([INT, TERM], Exit(0), "INFO", "reason=stop_finished signal=SIGINT exit_code=0 cut=0", 0),
        (
            [TERM, TERM],
            Exit(1, ("r1", "r2"), ExitReason.DEADLINE_REACHED),
            "ERROR",
            "reason=deadline_reached signal=SIGTERM exit_code=1 cut=2",
            1,
        ),
        (
            [INT, INT],
            Exit(0, (), ExitReason.URGENT_STOP),
            "INFO",
            "reason=urgent_stop signal=SIGINT exit_code=0 cut=0",
            0,
        ),
        ([], None, "ERROR", "reason=loop_stopped signal=none exit_code=1", 1),
        ([TERM], None, "ERROR", "reason=loop_stopped signal=SIGTERM exit_code=1", 1),
    ],
)
def test_the_ending_has_the_decision_and_the_first_signal(
    report, virtual_time, signals, decided, level, expected, exit_code
):
    for number in signals:
        report.record_signal(number)
    if decided is not None:
        report.record_exit(decided)
    virtual_time.advance(5.0)
    with LogRecorder() as handler:
        assert report.log_ending() == exit_code
    (record,) = handler.records
    assert record.message.startswith(f"event=process_ending {expected}")
    assert record.message.endswith("uptime_ms=5060")
    assert record.level_name == level


def test_a_step_of_the_start_is_logged_once(report, virtual_time):
    with LogRecorder() as handler:
        for step in ("store_replied", "store_replied", "front_open"):
            virtual_time.advance(0.25)
            report.end_step(step)
    assert [record.message for record in handler.records] == [
        "event=start_step step=store_replied took_ms=250 age_ms=310",
        "event=start_step step=front_open took_ms=500 age_ms=810",
    ]


def test_the_start_has_the_limits_and_the_earlier_steps(report, monkeypatch):
    monkeypatch.setattr(sys, "excepthook", sys.excepthook)
    monkeypatch.setattr(faulthandler, "enable", lambda **_: None)
    with LogRecorder() as handler:
        report.log_started()
    started, step = (record.message for record in handler.records)
    assert started.startswith("event=process_started pid=")
    assert "age_ms=60 " in started
    assert started.endswith("memory_limit_mb=560 settings_path=boot.ini")
    assert step == "event=start_step step=interpreter took_ms=60 age_ms=60"


def test_the_gauges_of_the_process_are_on_the_page_of_metrics(report, virtual_time):
    virtual_time.advance(2.0)
    metrics = Metrics()
    report.update_gauges(metrics)
    try:
        lines = metrics.render().decode().splitlines()
    finally:
        metrics.close()
    values = {
        reason: float(line.split()[-1])
        for line in lines
        for reason in ("peak_memory_bytes", "open_descriptors", "uptime_ms")
        if line.startswith("savoryarch_process{") and f'reason="{reason}"' in line
    }
    assert values["uptime_ms"] == 2060.0
    assert values["peak_memory_bytes"] > 10_000_000.0
    assert values["open_descriptors"] >= 3.0
