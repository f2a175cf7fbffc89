"""Target stand-in: slots, connection limit, sheds, draining, snapshots, crashes.

Run ``python -m savoryarch_standins.target --settings FILE``; one process serves every declared
target on a port of its own and prints ``ready host=HOST ports=TARGET_ID:PORT,... control=PORT``.
On a target's port, ``POST /switches`` changes it and ``GET /counts`` reads what it counted. The
same paths on the control port concern every target, or those of ``?target=ID``; they use up no
connection of a target and work while it is down or frozen.

Keys of the switches are the fields of `Behaviour`, ``drive`` (``drain``, ``restore``, ``freeze``,
``thaw``, ``crash``) and ``advance_index`` (index versions to go forward).
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
