"""The decisions and their replay run without any network library."""

import subprocess
import sys

import pytest

NETWORK = ("twisted", "klein", "treq", "pynng", "socket", "ssl", "httptools")


@pytest.mark.parametrize(
    ("module", "allowed"),
    [
        ("savoryarch.tier", ()),
        ("savoryarch.search", ()),
        ("savoryarch.orders", ()),
        ("savoryarch.configuration", ()),
        ("savoryarch.membership", ()),
        # The codec also parses replies of targets, without a socket.
        ("savoryarch.replay", ("httptools",)),
    ],
)
def test_no_network_library_is_imported(module, allowed):
    forbidden = [name for name in NETWORK if name not in allowed]
    program = f"import sys, {module}; print([n for n in {forbidden} if n in sys.modules])"
    ran = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True, timeout=60
    )
    assert ran.stdout.strip() == "[]"
