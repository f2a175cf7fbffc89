"""Values and sections are parsed, or rejected with messages that state the value and its place.

Guards against a wrong value that is accepted, and against an error that hides the others in a file.
"""

from dataclasses import dataclass

import pytest

from savoryarch.model import Preference
from savoryarch.utils import (
    Boolean,
    IpAddress,
    Number,
    OneOf,
    Text,
    WordList,
    parse_ini,
    parse_section,
    parse_value,
    setting,
)


@dataclass(frozen=True, slots=True)
class Sample:
    instance_id: str = setting(Text("[a-z]+", "a"), "name of the instance")
    wait_ms: float = setting(Number(1, 10), "how long to wait", 5.0)


@pytest.mark.parametrize(
    ("text", "constraint", "value", "expected_message"),
    [
        ("5", Number(1, 10, integer=True), 5, ""),
        ("5.5", Number(1, 10), 5.5, ""),
        ("5.5", Number(1, 10, integer=True), None, "expected a whole number from 1 to 10"),
        ("11", Number(1, 10), None, "got 11, expected a number from 1 to 10"),
        ("nan", Number(1, 10), None, "got nan"),
        ("latency", OneOf(Preference), Preference.LATENCY, ""),
        ("latncy", OneOf(Preference), None, "did you mean 'latency'?"),
        ("a b,c", WordList("[a-z]", "a"), ("a", "b", "c"), ""),
        ("a B", WordList("[a-z]", "a"), None, "got 'B'"),
        ("127.0.0.1", IpAddress(), "127.0.0.1", ""),
        ("localhost", IpAddress(), None, "expected an IP number"),
        ("yes", Boolean(), True, ""),
        ("maybe", Boolean(), None, "expected 'yes' or 'no'"),
    ],
)
def test_parse_value_returns_the_value_or_a_message(text, constraint, value, expected_message):
    parsed, message = parse_value(text, constraint)
    assert parsed == value
    assert expected_message in message and bool(expected_message) == bool(message)


@pytest.mark.parametrize(
    ("text", "value", "findings"),
    [
        ("[s]\ninstance_id = ab", Sample("ab", 5.0), []),
        ("[s]\ninstance_id = ab\nwait_ms = 2", Sample("ab", 2.0), []),
        (
            "[s]\nwait_mss = 2\nwait_ms = 0",
            None,
            [
                "s.ini:2 s.wait_mss: key 'wait_mss' is unknown; did you mean 'wait_ms'?",
                "s.ini:3 s.wait_ms: got 0, expected a number from 1 to 10",
                "s.ini:1 s: key 'instance_id' is missing: name of the instance",
            ],
        ),
    ],
)
def test_parse_section_returns_an_instance_or_findings(text, value, findings):
    document, _ = parse_ini(text, "s.ini")
    read, found = parse_section(document.sections[0], Sample)
    assert read == value
    assert [str(finding) for finding in found] == findings
