"""Passes over the tests that ``KNOWN-RED.txt`` lists, and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
FIELDS = 4


def read_known_red(text):
    """Return the entries ``test | command and seed | seen | issue``; raises on a wrong line."""
    entries = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"KNOWN-RED.txt:{number}: got {len(fields)} fields, expected {FIELDS}")
        entries[fields[0]] = " | ".join(fields[1:])
    return entries


def pytest_collection_modifyitems(items):
    known = read_known_red(KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {known[item.nodeid]}"))


def pytest_terminal_summary(terminalreporter):
    known = read_known_red(KNOWN_RED.read_text(encoding="utf-8"))
    for test, seen in known.items():
        terminalreporter.write_line(f"known red: {test} | {seen}")
    for report in terminalreporter.stats.get("xfailed", []):
        # Passed over, and yet what was seen is needed to find the cause.
        terminalreporter.write_line(f"failed as known: {report.nodeid}")
        terminalreporter.write_line(f"{report.longreprtext}\n{report.capstdout}")
