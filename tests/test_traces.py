"""Each trace holds, and its replay gives the same effects in every process.

An iteration over a set or a use of the built-in hash would make decisions depend on the hash seed
of the process.
"""

import subprocess
import sys
from pathlib import Path

import pytest

from savoryarch.replay import replay_file

TRACE_FOLDER = Path(__file__).parent.parent / "traces"
TRACE_FILES = sorted(TRACE_FOLDER.glob("*.trace"))
PRINT_EFFECTS = """
import sys
from pathlib import Path
from savoryarch.replay import _player, replay_file

feed = _player._Player.feed

def feed_and_print(self, replay_state, event, at_ms, place):
    after = feed(self, replay_state, event, at_ms, place)
    print(at_ms, type(event).__name__, after.recent)
    return after

_player._Player.feed = feed_and_print
for path in sys.argv[1:]:
    replay_file(Path(path))
"""


@pytest.mark.parametrize("path", TRACE_FILES, ids=lambda path: path.stem)
def test_trace_holds(path):
    assert replay_file(path).differences == ()


def print_effects(hash_seed):
    return subprocess.run(
        [sys.executable, "-c", PRINT_EFFECTS, *map(str, TRACE_FILES)],
        env={"PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(TRACE_FOLDER.parent)},
        capture_output=True,
        check=True,
        timeout=60,
    ).stdout


def test_replay_is_the_same_in_every_process():
    first = print_effects("1")
    assert first
    assert print_effects("2") == first == print_effects("3")
