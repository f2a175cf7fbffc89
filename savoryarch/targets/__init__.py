"""Targets: whether they are live, what they serve, and how much of each may be used."""

from savoryarch.targets._attempts import deny_snapshot, end_attempt, record_overdue, start_attempt
from savoryarch.targets._choose import choose_target, has_capacity, has_serving_target, trial_target
from savoryarch.targets._decide import decide_targets
from savoryarch.targets._life import SUSPECTED
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
    TargetUsage,
    make_targets_state,
)

__all__ = [
    "SUSPECTED",
    "ChoicePolicy",
    "LeastExpectedLatency",
    "RoundRobin",
    "ServiceRecord",
    "TargetRecord",
    "TargetUsage",
    "TargetsSettings",
    "TargetsState",
    "start_attempt",
    "has_serving_target",
    "choose_target",
    "connection_share",
    "decide_targets",
    "deny_snapshot",
    "end_attempt",
    "has_capacity",
    "in_flight_limit",
    "is_suspect",
    "make_targets_state",
    "record_overdue",
    "ready_connections",
    "trial_target",
]
