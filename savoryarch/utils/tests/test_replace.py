"""Results of `replace` are compared with those of `dataclasses.replace`."""

import dataclasses

import pytest

from savoryarch.forwarding import ForwardingSettings, make_forwarding_state
from savoryarch.forwarding._state import SubRequest
from savoryarch.model import StopRequested
from savoryarch.targets._state import TargetUsage
from savoryarch.utils import Budget, replace


@dataclasses.dataclass(frozen=True)
class Empty:
    pass


@dataclasses.dataclass(frozen=True)
class OrderedPair:
    low: int
    high: int = 3

    def __post_init__(self):
        if self.low > self.high:
            raise ValueError("low is above high")


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeywordOnly:
    name: str = ""


@pytest.mark.parametrize(
    ("item", "changes"),
    [
        (Empty(), {}),
        (Budget(1.0), {}),
        (Budget(1.0), {"tokens": 2.0}),
        (StopRequested(), {"urgent": True}),
        (OrderedPair(1), {"low": 2}),
        (
            SubRequest("shop", attempted_target_ids=frozenset({"t"})),
            {"delivered_attempts": 3, "chart_state": "in_flight"},
        ),
        (TargetUsage(in_flight=2), {"in_flight": 1, "failure_share": 0.5}),
        (make_forwarding_state(ForwardingSettings()), {"attempts_sent": 7}),
    ],
)
def test_copies_equal_those_of_the_standard_library(item, changes):
    copied = replace(item, **changes)
    assert copied == dataclasses.replace(item, **changes)
    assert type(copied) is type(item)


@pytest.mark.parametrize(
    ("item", "changes", "error"),
    [
        (Budget(1.0), {"coins": 2.0}, TypeError),
        (OrderedPair(1), {"low": 4}, ValueError),
        (KeywordOnly(), {"name": "x"}, TypeError),
    ],
)
def test_invalid_changes_raise(item, changes, error):
    with pytest.raises(error):
        replace(item, **changes)
