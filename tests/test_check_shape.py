from pathlib import Path

import pytest

from tests.check_shape import check_source

DECISION = Path("savoryarch/search/_x.py")
DRIVER = Path("savoryarch/entry/_x.py")


@pytest.mark.parametrize(
    ("path", "source", "message"),
    [
        (DECISION, "from twisted.internet import reactor", "decisions stay apart"),
        (DECISION, "import socket", "decisions stay apart"),
        (DRIVER, "import threading", "one loop on one thread"),
        (DRIVER, "import savoryarch.model", "import names"),
        (DRIVER, "import time\ntime.monotonic()", "reads a clock"),
        (DRIVER, "@dataclass\nclass A:\n    a: int", "is not frozen"),
        (DRIVER, "@dataclass(frozen=False)\nclass A:\n    a: int", "is not frozen"),
        (DRIVER, "class A:\n    deadline: float", "carries no unit"),
        (DRIVER, "async def f(): ...", "one loop"),
        (DRIVER, "def f():\n" + "    a = 1\n" * 51, "has 51 lines"),
        (DRIVER, "a = 1\n" * 401, "got 401 lines"),
    ],
)
def test_departures_are_found(path, source, message):
    assert any(message in finding.message for finding in check_source(source, path))


@pytest.mark.parametrize(
    ("path", "source"),
    [
        (DRIVER, "from twisted.internet import reactor"),
        (DECISION, "@dataclass(frozen=True)\nclass A:\n    deadline_ms: float"),
    ],
)
def test_sound_sources_pass(path, source):
    assert not list(check_source(source, path))
