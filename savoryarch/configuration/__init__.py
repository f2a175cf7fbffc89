"""Decisions that commit the configuration to the store and disseminate it to all instances.

A change that an operator requests is accepted once it is committed in the store by
compare-and-swap. The complete configuration is one value of the store, so that the changes of one
request come into force together. A few instances watch the store, and the others receive new
versions from their peers. An instance applies a configuration only if it is newer than the one in
force.
"""

from savoryarch.configuration._checks import check_declarations
from savoryarch.configuration._decide import decide_configuration
from savoryarch.configuration._record import (
    WatchedChanges,
    apply_changes,
    changes_since,
    find_resource,
    make_next_record,
    resources_of_kind,
)
from savoryarch.configuration._sampling import rendezvous_rank, sample, sample_some
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
    "sample",
    "sample_some",
    "find_resource",
    "make_configuration_state",
    "make_status",
    "rendezvous_rank",
    "resources_of_kind",
]
