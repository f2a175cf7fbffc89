"""Entries of ``KNOWN-RED.txt`` are read, and incomplete ones are rejected.

An entry has the fields ``test | command and seed | seen | issue``. Without these tests, an entry
that lacks what was seen or its issue could mark a test as an expected failure.
"""

import pytest

from conftest import KNOWN_RED, read_known_red


def test_known_red_file_is_well_formed():
    read_known_red(KNOWN_RED.read_text(encoding="utf-8"))


@pytest.mark.parametrize(
    ("text", "entries"),
    [
        ("# nothing\n\n", {}),
        (
            "a.py::test_b | make test, seed 1 | 3 of 5 | 4",
            {"a.py::test_b": "make test, seed 1 | 3 of 5 | 4"},
        ),
    ],
)
def test_entries_are_read(text, entries):
    assert read_known_red(text) == entries


@pytest.mark.parametrize("text", ["a.py::test_b", "a | b | c", "a | b | | d"])
def test_incomplete_entries_are_rejected(text):
    with pytest.raises(ValueError, match=r"KNOWN-RED.txt:1"):
        read_known_red(text)
