"""Marks the tests that ``KNOWN-RED.txt`` lists as expected failures, and prints them."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
FIELD_COUNT = 4


def read_known_red(text):
    """Return the listed tests.

    Parameters
    ----------
    text : str
        Lines ``test | command and seed | seen | issue``, empty lines and ``#`` comments.

    Returns
    -------
    dict of str to str
        The last three fields of each line, by the id of the test.

    Raises
    ------
    ValueError
        If a line lacks a field.
    """
    entries = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(
                f"KNOWN-RED.txt:{number}: got {len(fields)} fields, expected {FIELD_COUNT}"
            )
        entries[fields[0]] = " | ".join(fields[1:])
    return entries


def pytest_collection_modifyitems(items):
    """Mark the listed tests as expected failures; called by pytest."""
    known = read_known_red(KNOWN_RED.read_text(encoding="utf-8"))
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=f"known red: {known[item.nodeid]}"))


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests, and the output of those that failed; called by pytest."""
    known = read_known_red(KNOWN_RED.read_text(encoding="utf-8"))
    for test, details in known.items():
        terminalreporter.write_line(f"known red: {test} | {details}")
    for report in terminalreporter.stats.get("xfailed", []):
        # The output of an expected failure is needed to find its cause.
        terminalreporter.write_line(f"failed as known: {report.nodeid}")
        terminalreporter.write_line(f"{report.longreprtext}\n{report.capstdout}")
