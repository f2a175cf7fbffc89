"""The configuration: committed to the store, followed by a few, spread to every instance.

An operator's change is accepted once it is committed in the store by compare-and-swap. The whole
configuration is one value of the store, so that the changes of one request come into force
together. Instances take a configuration only if it is newer than the one in force.
"""

from savoryarch.configuration._checks import check_declarations
from savoryarch.configuration._decide import decide_configuration
from savoryarch.configuration._draw import draw, draw_some, rank
from savoryarch.configuration._record import (
    WatchedChanges,
    apply_changes,
    changes_since,
    find_resource,
    make_next_record,
    resources_of_kind,
)
from savoryarch.configuration._settings import ConfigurationSettings
from savoryarch.configuration._state import (
    CONFIGURATION_KEY,
    ConfigurationState,
    make_configuration_state,
)
from savoryarch.configuration._status import make_status

__all__ = [
    "CONFIGURATION_KEY",
    "ConfigurationSettings",
    "ConfigurationState",
    "WatchedChanges",
    "apply_changes",
    "changes_since",
    "check_declarations",
    "make_next_record",
    "decide_configuration",
    "draw",
    "draw_some",
    "find_resource",
    "make_configuration_state",
    "make_status",
    "rank",
    "resources_of_kind",
]
