"""Targets: which are live, which snapshots they serve, and how much of each may be used."""

from savoryarch.targets._advice import may_probe
from savoryarch.targets._attempts import (
    end_attempt,
    record_overdue,
    record_unserved_snapshot,
    start_attempt,
)
from savoryarch.targets._choose import (
    ServiceLoad,
    choose_target,
    choose_trial_target,
    has_capacity,
    has_serving_target,
    measure_load,
    pause_ends_at_ms,
)
from savoryarch.targets._decide import decide_targets
from savoryarch.targets._limits import (
    connection_share,
    in_flight_limit,
    is_slow,
    ready_connections,
)
from savoryarch.targets._messages import TargetLeaving
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
from savoryarch.targets._target_chart import SUSPECTED

__all__ = [
    "SUSPECTED",
    "ChoicePolicy",
    "LeastExpectedLatency",
    "RoundRobin",
    "ServiceLoad",
    "ServiceRecord",
    "TargetLeaving",
    "TargetRecord",
    "TargetUsage",
    "TargetsSettings",
    "TargetsState",
    "choose_target",
    "choose_trial_target",
    "connection_share",
    "decide_targets",
    "end_attempt",
    "has_capacity",
    "has_serving_target",
    "in_flight_limit",
    "is_slow",
    "make_targets_state",
    "may_probe",
    "measure_load",
    "pause_ends_at_ms",
    "ready_connections",
    "record_overdue",
    "record_unserved_snapshot",
    "start_attempt",
]
