"""An entry instance that samples its own stack: ``python -m benchmarks._profiled_entry FILE ...``.

The samples are written to FILE when the process exits.
The other arguments are those of the program.
"""

import atexit
import json
import signal
import sys
from collections import Counter
from types import FrameType

from savoryarch.cli import main

SAMPLE_INTERVAL_S = 0.002  # of processor time

_own: Counter[str] = Counter()
_total: Counter[str] = Counter()


def _sample(_: int, frame: FrameType | None) -> None:
    seen: set[str] = set()
    is_leaf = True
    while frame is not None:
        name = f"{frame.f_globals.get('__name__', '?')}.{frame.f_code.co_qualname}"
        if is_leaf:
            _own[name] += 1
            is_leaf = False
        if name not in seen:
            seen.add(name)
            _total[name] += 1
        frame = frame.f_back


def _write(path: str) -> None:
    signal.setitimer(signal.ITIMER_PROF, 0.0)
    with open(path, "w", encoding="utf-8") as file:
        json.dump({"own": _own, "total": _total}, file)


if __name__ == "__main__":
    output = sys.argv.pop(1)
    atexit.register(_write, output)
    signal.signal(signal.SIGPROF, _sample)
    signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL_S, SAMPLE_INTERVAL_S)
    sys.exit(main())
