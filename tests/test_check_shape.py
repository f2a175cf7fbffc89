"""The static checks find each violation of the coding rules and accept conforming sources."""

from pathlib import Path

import pytest

from tests.check_shape import check_source

DECISION_MODULE = Path("savoryarch/search/_x.py")
DRIVER_MODULE = Path("savoryarch/entry/_x.py")


@pytest.mark.parametrize(
    ("path", "source", "message"),
    [
        (DECISION_MODULE, "from twisted.internet import reactor", "decisions stay apart"),
        (DECISION_MODULE, "import socket", "decisions stay apart"),
        (DRIVER_MODULE, "import threading", "one loop on one thread"),
        (DRIVER_MODULE, "import savoryarch.model", "import names"),
        (DRIVER_MODULE, "import time\ntime.monotonic()", "reads a clock"),
        (DRIVER_MODULE, "@dataclass\nclass A:\n    a: int", "is not frozen"),
        (DRIVER_MODULE, "@dataclass(frozen=False)\nclass A:\n    a: int", "is not frozen"),
        (DRIVER_MODULE, "class A:\n    deadline: float", "carries no unit"),
        (DRIVER_MODULE, "async def f(): ...", "one loop"),
        (DRIVER_MODULE, "def f():\n" + "    a = 1\n" * 51, "has 51 lines"),
        (DRIVER_MODULE, "a = 1\n" * 401, "got 401 lines"),
    ],
)
def test_violations_are_found(path, source, message):
    assert any(message in finding.message for finding in check_source(source, path))


@pytest.mark.parametrize(
    ("path", "source"),
    [
        (DRIVER_MODULE, "from twisted.internet import reactor"),
        (DECISION_MODULE, "@dataclass(frozen=True)\nclass A:\n    deadline_ms: float"),
    ],
)
def test_conforming_sources_pass(path, source):
    assert not list(check_source(source, path))
