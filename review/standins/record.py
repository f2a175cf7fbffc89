"""The record of a run: what was sent, answered and run, with times."""

import time
from pathlib import Path


class Record:
    """Writes one line per event to a file.

    Parameters
    ----------
    path : Path
        The file, which is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the run in seconds."""
        return time.monotonic() - self._started_at

    def write(self, text: str) -> None:
        """Write a line with the current time."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()
