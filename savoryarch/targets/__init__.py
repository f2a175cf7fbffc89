"""Targets: whether they are live, what they serve, and how much of each may be used."""

from savoryarch.targets._attempts import begin_attempt, deny_snapshot, end_attempt, note_overdue
from savoryarch.targets._choose import can_serve, choose_target, has_room, trial_target
from savoryarch.targets._decide import decide_targets
from savoryarch.targets._life import DOUBTED
from savoryarch.targets._limits import (
    connection_share,
    in_flight_limit,
    is_suspect,
    ready_connections,
)
from savoryarch.targets._settings import (
    ChoicePolicy,
    LeastExpectedLatency,
    RoundRobin,
    TargetsSettings,
)
from savoryarch.targets._state import (
    ServiceRecord,
    TargetRecord,
    TargetsState,
    TargetUse,
    make_targets_state,
)

__all__ = [
    "DOUBTED",
    "ChoicePolicy",
    "LeastExpectedLatency",
    "RoundRobin",
    "ServiceRecord",
    "TargetRecord",
    "TargetUse",
    "TargetsSettings",
    "TargetsState",
    "begin_attempt",
    "can_serve",
    "choose_target",
    "connection_share",
    "decide_targets",
    "deny_snapshot",
    "end_attempt",
    "has_room",
    "in_flight_limit",
    "is_suspect",
    "make_targets_state",
    "note_overdue",
    "ready_connections",
    "trial_target",
]
