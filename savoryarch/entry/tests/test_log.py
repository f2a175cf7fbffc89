"""A slow or closed reader of the log must not block the process.

A blocking write would stop the event loop, and with it all requests, until the reader continues.
Lines are buffered instead, and dropped when the buffer is full.
"""

import contextlib
import os

import pytest
from logbook import TestHandler as LogRecorder
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from savoryarch.entry._log import log_failure
from savoryarch.entry._log_writer import BUFFER_BYTES, ROUTINE_LINES_PER_S, LogWriter

LINE = "x" * 1023 + "\n"


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    for descriptor in (reader, writer):
        with contextlib.suppress(OSError):
            os.close(descriptor)


def read_all(reader):
    os.set_blocking(reader, False)
    text = b""
    try:
        while chunk := os.read(reader, 1 << 20):
            text += chunk
    except BlockingIOError:
        pass
    return text


@pytest.mark.parametrize("lines", [1, 50, 1000])
def test_lines_beyond_the_buffer_are_dropped_and_counted(pipe, lines):
    reader, descriptor = pipe
    clock = Clock()
    writer = LogWriter(descriptor, clock)
    for _ in range(lines):
        writer.write(LINE)
    received = read_all(reader)
    for _ in range(20):
        clock.advance(0.1)
        received += read_all(reader)
    assert received.count(b"\n") + writer.dropped == lines
    assert len(received) == 1024 * received.count(b"\n")
    # An unread pipe holds 64 KiB in addition to the buffer.
    assert (writer.dropped > 0) == (lines * 1024 > BUFFER_BYTES + 65_536)


def test_routine_lines_are_dropped_before_others(pipe):
    _, descriptor = pipe
    writer = LogWriter(descriptor, Clock())
    while writer.accepts_routine_line():
        writer.write(LINE)
    assert writer.dropped == 1
    for _ in range(20):
        writer.write(LINE)
    assert writer.dropped == 1


def test_routine_lines_are_limited_per_second(pipe):
    reader, descriptor = pipe
    clock = Clock()
    writer = LogWriter(descriptor, clock)
    accepted = [sum(writer.accepts_routine_line() for _ in range(500)) for _ in range(2)]
    clock.advance(1.0)
    accepted.append(sum(writer.accepts_routine_line() for _ in range(500)))
    assert accepted == [ROUTINE_LINES_PER_S, 0, ROUTINE_LINES_PER_S]


def test_lines_for_a_closed_reader_are_dropped(pipe):
    reader, descriptor = pipe
    os.close(reader)
    writer = LogWriter(descriptor, Clock())
    writer.write(LINE)
    assert writer.dropped == 1


@pytest.mark.parametrize(
    ("error", "detail"),
    [(KeyError("gone"), "'gone'"), (ValueError("two\nlines"), '"two\\nlines"')],
)
def test_an_exception_that_reaches_the_loop_is_logged_as_one_line(error, detail):
    with LogRecorder() as handler:
        try:
            raise error
        except Exception:
            log_failure({"log_failure": Failure()})
        log_failure({"log_format": "not a failure"})
    (record,) = handler.records
    start = f"event=unhandled_error kind={type(error).__name__} detail={detail} place="
    assert record.message.startswith(start)
    assert "test_log.py:" in record.message
