"""Replay of recorded traces against the decisions; see ``docs/TRACES.md``."""

from savoryarch.replay._files import replay_file, replay_files
from savoryarch.replay._pattern import match_pattern, substitute
from savoryarch.replay._player import Difference, TraceResult, play_trace
from savoryarch.replay._trace import (
    AdvanceStep,
    EventStep,
    ExpectStep,
    ForbidStep,
    Step,
    Trace,
    TraceHeader,
    read_trace,
)

__all__ = [
    "AdvanceStep",
    "Difference",
    "EventStep",
    "ExpectStep",
    "ForbidStep",
    "Step",
    "Trace",
    "TraceHeader",
    "TraceResult",
    "match_pattern",
    "play_trace",
    "read_trace",
    "replay_file",
    "replay_files",
    "substitute",
]
