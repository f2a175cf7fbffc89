"""Target stand-in with slots, a connection limit, load shedding, draining, snapshots and crashes.

Run ``python -m savoryarch_standins.target --settings FILE``. One process serves every declared
target, each on its own port, and prints ``ready host=HOST ports=TARGET_ID:PORT,... control=PORT``.
On the port of a target, ``POST /switches`` changes its behaviour and ``GET /counts`` returns its
counters. On the control port, the same paths apply to every target, or to those that
``?target=ID`` names; requests to the control port do not count against the connection limit of a
target and are answered while the target is down or frozen.

The body of ``POST /switches`` is a JSON object. Its keys are the fields of `Behaviour`, ``drive``
(one of ``drain``, ``restore``, ``freeze``, ``thaw``, ``crash``) and ``advance_index`` (the number
of index versions by which the served snapshots advance).
"""

from savoryarch_standins.target._decide import decide_target, make_target
from savoryarch_standins.target._model import (
    Behaviour,
    BehaviourChanged,
    CancelRequested,
    ChartEventTriggered,
    Counts,
    DropConnections,
    HealthReport,
    LoadReport,
    Reply,
    RequestReceived,
    RouteWork,
    RunExpired,
    RunFinished,
    ScheduleEvent,
    SearchWork,
    TargetSpec,
    TargetStandinState,
)
from savoryarch_standins.target._reports import report_health, report_load
from savoryarch_standins.target._settings import GroupSettings, make_target_specs, read_settings
from savoryarch_standins.target._switches import read_switches

__all__ = [
    "Behaviour",
    "BehaviourChanged",
    "CancelRequested",
    "ChartEventTriggered",
    "Counts",
    "DropConnections",
    "GroupSettings",
    "HealthReport",
    "LoadReport",
    "Reply",
    "RequestReceived",
    "RouteWork",
    "RunExpired",
    "RunFinished",
    "ScheduleEvent",
    "SearchWork",
    "TargetSpec",
    "TargetStandinState",
    "decide_target",
    "make_target",
    "make_target_specs",
    "read_settings",
    "read_switches",
    "report_health",
    "report_load",
]
