"""Each way in which a process ends has a line that names its reason and its exit code."""

import os
import subprocess
import sys
import time

import pytest
from twisted.internet.task import Clock as VirtualTime

from savoryarch.lifetime import (
    LoopStopped,
    ProcessUsage,
    SettingsRefused,
    ShutdownEnded,
    StartSteps,
    StepEnd,
    UnexpectedError,
    UsageError,
    format_early_ending,
    make_ending_fields,
    make_unexpected_error,
    read_age_ms,
    read_limits,
    read_usage,
)
from savoryarch.lifetime import _usage as usage_module
from savoryarch.model import ExitReason
from savoryarch.utils import Clock

USAGE = ProcessUsage(56_000_000, 617.4, 12)


@pytest.mark.parametrize(
    ("ending", "reason", "exit_code", "details"),
    [
        (ShutdownEnded(ExitReason.STOP_FINISHED, 0, 0), "stop_finished", "0", {"cut": "0"}),
        (ShutdownEnded(ExitReason.DEADLINE_REACHED, 1, 3), "deadline_reached", "1", {"cut": "3"}),
        (ShutdownEnded(ExitReason.URGENT_STOP, 0, 0), "urgent_stop", "0", {"cut": "0"}),
        (ShutdownEnded(ExitReason.URGENT_STOP, 1, 2), "urgent_stop", "1", {"cut": "2"}),
        (LoopStopped(), "loop_stopped", "1", {}),
        (SettingsRefused("boot.ini:3: no key"), "settings_refused", "1", None),
        (UsageError(), "usage_error", "2", {}),
        (
            UnexpectedError("KeyError", "'gone'", "a.py:7", "a.py:7 b.py:9"),
            "unexpected_error",
            "1",
            {"kind": "KeyError", "detail": "'gone'", "place": "a.py:7", "stack": "a.py:7 b.py:9"},
        ),
    ],
)
@pytest.mark.parametrize(
    ("signal_name", "uptime_ms", "uptime"), [("SIGTERM", 6035.4, "6035"), ("none", None, "unknown")]
)
def test_each_ending_has_its_reason_and_exit_code(
    ending, reason, exit_code, details, signal_name, uptime_ms, uptime
):
    details = {"findings": "boot.ini:3: no key"} if details is None else details
    assert dict(make_ending_fields(ending, USAGE, signal_name, uptime_ms)) == {
        "reason": reason,
        "signal": signal_name,
        "exit_code": exit_code,
        **details,
        "peak_memory_bytes": "56000000",
        "descriptors": "12",
        "processor_ms": "617",
        "uptime_ms": uptime,
    }


def test_an_ending_without_a_log_has_the_format_of_a_log_line():
    line = format_early_ending(SettingsRefused("one\ntwo"))
    assert line.startswith("time=")
    assert (
        "level=ERROR event=process_ending reason=settings_refused signal=none exit_code=1" in line
    )
    assert 'findings="one\\ntwo"' in line
    assert "\n" not in line


@pytest.mark.parametrize(
    ("error", "detail"), [(KeyError("gone"), "'gone'"), (ValueError("x" * 900), "x" * 500)]
)
def test_an_unexpected_error_is_described_with_its_place(error, detail):
    try:
        raise error
    except Exception as raised:
        described = make_unexpected_error(raised)
    assert (described.kind, described.detail) == (type(error).__name__, detail)
    assert "test_lifetime.py:" in described.place


@pytest.mark.parametrize(("depth", "calls"), [(0, 2), (3, 5), (20, 8)])
def test_the_stack_of_an_unexpected_error_has_the_innermost_calls(depth, calls):
    def fail(remaining):
        return fail(remaining - 1) if remaining else [][0]

    try:
        fail(depth)
    except IndexError as raised:
        described = make_unexpected_error(raised)
    assert described.stack.startswith(described.place)
    assert (
        len([place for place in described.stack.split() if "test_lifetime.py:" in place]) == calls
    )


def test_an_error_that_was_not_raised_has_no_place():
    assert make_unexpected_error(ValueError()).place == "unknown"


@pytest.mark.parametrize(
    ("first_step_ms", "first_steps"), [(None, ()), (60.0, (StepEnd("interpreter", 60.0),))]
)
def test_each_step_of_a_start_ends_once_and_lasts_since_the_one_before(first_step_ms, first_steps):
    virtual_time = VirtualTime()
    steps = StartSteps(Clock(read_s=virtual_time.seconds), first_step_ms)
    for step, after_s in (("imports", 0.35), ("store_replied", 0.02), ("store_replied", 5.0)):
        virtual_time.advance(after_s)
        steps.end(step)
    virtual_time.advance(0.5)
    assert steps.end("front_open") == StepEnd("front_open", pytest.approx(5500.0))
    assert steps.ended == (
        *first_steps,
        StepEnd("imports", pytest.approx(350.0)),
        StepEnd("store_replied", pytest.approx(20.0)),
        StepEnd("front_open", pytest.approx(5500.0)),
    )
    assert steps.elapsed_ms() == pytest.approx(5870.0 + (first_step_ms or 0.0))


def test_use_and_limits_of_this_process_are_read():
    usage = read_usage()
    with open(os.devnull, "rb"):
        assert read_usage().descriptor_count == usage.descriptor_count + 1
    assert usage.peak_memory_bytes > 10_000_000
    assert usage.processor_ms > 10.0
    assert read_limits().descriptor_count > 0


@pytest.mark.parametrize(
    ("now_s", "age_ms"),
    [(0.9, None), (1.0, 0.0), (1.06, 60.0), (61.0, 60_000.0), (62.0, None), (76_222.5, None)],
)
def test_an_age_that_no_starting_process_has_is_not_known(tmp_path, monkeypatch, now_s, age_ms):
    """A machine with a simulated clock may report a start in the future or long ago."""
    path = tmp_path / "stat"
    ticks_per_s = os.sysconf("SC_CLK_TCK")
    path.write_text(f"1 (a) S {'0 ' * 18} {ticks_per_s} 0")
    monkeypatch.setattr(usage_module, "_STAT_PATH", path)
    assert read_age_ms(Clock(read_s=lambda: now_s)) == pytest.approx(age_ms)


def test_the_age_of_a_new_process_is_read():
    program = (
        "from savoryarch.lifetime import read_age_ms\n"
        "from savoryarch.utils import make_boot_clock\n"
        "print(read_age_ms(make_boot_clock()))\n"
    )
    began_s = time.monotonic()
    output = subprocess.run([sys.executable, "-c", program], capture_output=True, check=True)
    took_ms = (time.monotonic() - began_s) * 1000.0
    assert 0.0 < float(output.stdout) < took_ms + 1000.0 / os.sysconf("SC_CLK_TCK")


@pytest.mark.parametrize(
    ("content", "is_known"),
    [
        (None, False),
        ("", False),
        ("1 (a) S 2 3", False),
        (f"1 (a b) ) S {'0 ' * 18} 100 0", True),
        (f"1 (a) S {'0 ' * 18} x 0", False),
    ],
)
def test_an_age_that_the_system_does_not_tell_is_not_known(
    tmp_path, monkeypatch, content, is_known
):
    path = tmp_path / "stat"
    if content is not None:
        path.write_text(content)
    monkeypatch.setattr(usage_module, "_STAT_PATH", path)
    assert (read_age_ms(Clock(read_s=lambda: 5.0)) is not None) == is_known


def test_descriptors_that_the_system_does_not_list_are_not_known(monkeypatch):
    monkeypatch.setattr(usage_module, "_DESCRIPTORS_PATH", "/proc/self/missing")
    assert read_usage().descriptor_count is None
    fields = dict(make_ending_fields(UsageError(), read_usage()))
    assert fields["descriptors"] == "unknown"


def test_the_hook_of_uncaught_exceptions_writes_the_ending_last(capsys):
    early = sys.modules["savoryarch.lifetime._early_ending"]
    error = ValueError("broken")
    early._report_exception(ValueError, error, None)
    lines = capsys.readouterr().err.splitlines()
    assert lines[0] == "ValueError: broken"
    assert "event=process_ending reason=unexpected_error" in lines[-1]
    assert "kind=ValueError detail=broken place=unknown" in lines[-1]
