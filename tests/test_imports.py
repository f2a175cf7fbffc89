"""The decisions and their replay load no network library, so that they run without a network."""

import subprocess
import sys

import pytest

NETWORK_MODULES = ("twisted", "klein", "treq", "pynng", "socket", "ssl", "httptools")


@pytest.mark.parametrize(
    ("module", "allowed"),
    [
        ("savoryarch.tier", ()),
        ("savoryarch.search", ()),
        ("savoryarch.orders", ()),
        ("savoryarch.configuration", ()),
        ("savoryarch.membership", ()),
        # The codec parses the HTTP replies of targets, for which it needs no socket.
        ("savoryarch.replay", ("httptools",)),
    ],
)
def test_no_network_library_is_imported(module, allowed):
    forbidden = [name for name in NETWORK_MODULES if name not in allowed]
    program = f"import sys, {module}; print([n for n in {forbidden} if n in sys.modules])"
    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True, timeout=60
    )
    assert process.stdout.strip() == "[]"
