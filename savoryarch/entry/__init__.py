"""The process of an entry instance: feeds events to the decisions and performs their effects."""

from savoryarch.entry._instance import EntryInstance
from savoryarch.entry._leave import leave_process
from savoryarch.entry._metrics import Metrics
from savoryarch.entry._run import run_entry
from savoryarch.entry._target_client import TargetClient

__all__ = ["EntryInstance", "Metrics", "TargetClient", "leave_process", "run_entry"]
