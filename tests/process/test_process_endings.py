"""Each way in which a process ends writes its reason and its exit code as the last line.

Guards against ends that leave nothing in the log by which their cause could be told.
"""

import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from savoryarch_soak._instances import find_free_addresses, render_settings
from savoryarch_standins.harness import Address

ROOT = Path(__file__).parent.parent.parent
TIMEOUT_S = 30.0
NO_STORE = Address("127.0.0.1", 1)
RUN_STATEMENTS = {
    "deploy": "sys.path.insert(0, 'deploy'); runpy.run_path('deploy/main.py', run_name='__main__')",
    "module": "runpy.run_module('savoryarch', run_name='__main__')",
}
REFUSE_LOADING = """
import savoryarch.settings
def fail(*_): raise LookupError("not a finding")
savoryarch.settings.load_settings = savoryarch.settings.await_settings = fail
"""
FAIL_IN_PROCESS = """
from savoryarch.entry._run import EntryProcess
def fail(process): raise LookupError("no loop")
EntryProcess.run = fail
"""
STOP_LOOP = """
from twisted.internet import reactor
reactor.callWhenRunning(reactor.callLater, 0.1, reactor.stop)
"""
CRASH_IN_NATIVE_THREAD = """
import ctypes
from twisted.internet import reactor
library = ctypes.CDLL(None)
library.abort.restype = None
def crash():
    library.pthread_create(ctypes.byref(ctypes.c_ulong()), None, library.abort, None)
reactor.callWhenRunning(reactor.callLater, 0.1, crash)
"""
FAIL_IN_THREAD = """
import threading
from twisted.internet import reactor
def fail(): raise LookupError("in a thread")
reactor.callWhenRunning(threading.Thread(target=fail).start)
"""


def run_program(tmp_path, program, prelude="", signals=(), arguments=None, settings=None):
    """Run a program, send it the signals once it has started, and return its code and output."""
    path = tmp_path / "boot.ini"
    default_settings = render_settings(0, 1, find_free_addresses(3), NO_STORE)
    path.write_text(default_settings if settings is None else settings, encoding="utf-8")
    code = f"import runpy, sys\n{prelude}\n{RUN_STATEMENTS[program]}"
    words = ["serve", "--settings", str(path)] if arguments is None else arguments
    process = subprocess.Popen(
        [sys.executable, "-c", code, *words],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    lines = []
    try:
        while signals and "event=started" not in (lines or [""])[-1]:
            lines.append(process.stdout.readline())
            assert lines[-1], "".join(lines)
        for number in signals:
            process.send_signal(number)
        rest, _ = process.communicate(timeout=TIMEOUT_S)
    finally:
        process.kill()
        process.wait()
    return process.returncode, "".join(lines) + rest


@pytest.mark.process
@pytest.mark.parametrize("program", RUN_STATEMENTS)
@pytest.mark.parametrize(
    ("run", "exit_code", "reason", "signal_name", "details"),
    [
        ({"signals": [signal.SIGTERM]}, 0, "stop_finished", "SIGTERM", "cut=0"),
        ({"signals": [signal.SIGTERM] * 3}, 0, "stop_finished", "SIGTERM", "cut=0"),
        ({"signals": [signal.SIGINT]}, 0, "stop_finished", "SIGINT", "cut=0"),
        ({"prelude": STOP_LOOP}, 1, "loop_stopped", "none", ""),
        (
            {"prelude": FAIL_IN_PROCESS},
            1,
            "unexpected_error",
            "none",
            'kind=LookupError detail="no',
        ),
        ({"prelude": REFUSE_LOADING}, 1, "unexpected_error", "none", "kind=LookupError detail="),
    ],
)
def test_the_last_line_names_the_reason_of_the_end(
    tmp_path, program, run, exit_code, reason, signal_name, details
):
    code, output = run_program(tmp_path, program, **run)
    expected = f"event=process_ending reason={reason} signal={signal_name} exit_code={exit_code}"
    last = output.splitlines()[-1]
    assert (code, f"{expected} {details}" in last) == (exit_code, True), output
    used = r"peak_memory_bytes=\d{8,} descriptors=\d+ processor_ms=\d+ uptime_ms=(\d+|unknown)"
    assert re.search(used, last), last


@pytest.mark.process
@pytest.mark.parametrize(
    ("program", "run", "exit_code", "reason"),
    [
        ("module", {"settings": "[instance]\nwrong = 1\n"}, 1, "settings_refused"),
        ("module", {"arguments": ["serve", "--settings", "missing.ini"]}, 1, "settings_refused"),
        ("deploy", {"arguments": ["serve"]}, 2, "usage_error"),
    ],
)
def test_the_last_line_names_why_a_start_was_refused(tmp_path, program, run, exit_code, reason):
    code, output = run_program(tmp_path, program, **run)
    expected = f"event=process_ending reason={reason} signal=none exit_code={exit_code}"
    assert (code, expected in output.splitlines()[-1]) == (exit_code, True), output


@pytest.mark.process
@pytest.mark.parametrize(
    "number", [signal.SIGSEGV, signal.SIGABRT, signal.SIGBUS, signal.SIGFPE, signal.SIGILL]
)
def test_a_crash_leaves_the_stack_of_its_thread_in_the_log(tmp_path, number):
    """Guards also against a second crash while the report is written."""
    code, output = run_program(tmp_path, "deploy", signals=[number])
    assert code == -number, output
    assert "Fatal Python error: " in output
    assert "most recent call first" in output
    assert "_run.py" in output
    assert "process_ending" not in output


@pytest.mark.process
def test_a_crash_in_a_native_thread_is_told_by_a_report_without_a_stack(tmp_path):
    code, output = run_program(tmp_path, "deploy", prelude=CRASH_IN_NATIVE_THREAD)
    assert code == -signal.SIGABRT, output
    _, report = output.split("Fatal Python error: Aborted\n")
    assert "File " not in report


@pytest.mark.process
def test_an_exception_in_a_thread_is_reported_and_ends_nothing(tmp_path):
    code, output = run_program(tmp_path, "deploy", prelude=FAIL_IN_THREAD, signals=[signal.SIGTERM])
    assert "Exception in thread" in output
    assert "LookupError: in a thread" in output
    assert (code, "reason=stop_finished" in output.splitlines()[-1]) == (0, True), output


@pytest.mark.process
@pytest.mark.parametrize(
    ("program", "steps"),
    [
        ("deploy", ["interpreter", "imports", "settings", "ready_open"]),
        ("module", ["interpreter", "settings", "imports", "ready_open"]),
    ],
)
def test_a_start_logs_its_limits_and_its_steps(tmp_path, program, steps):
    _, output = run_program(tmp_path, program, signals=[signal.SIGTERM])
    started = next(line for line in output.splitlines() if "event=process_started" in line)
    limits = r"descriptor_limit=\d+ address_space_limit_bytes=(none|\d+) memory_limit_mb=0"
    assert re.search(rf"pid=\d+ version=\S+ age_ms=\d+ {limits} settings_path=\S+boot.ini", started)
    pattern = r"event=start_step step=(\w+) took_ms=\d+ age_ms=\d+"
    assert re.findall(pattern, output)[: len(steps)] == steps
