"""Starts stand-ins and entry instances as separate processes, and stops them by process id."""

from savoryarch_standins.harness._cluster import Cluster, set_switches
from savoryarch_standins.harness._plans import ClusterPlan, EntryPlan
from savoryarch_standins.harness._process import (
    Address,
    ManagedProcess,
    StartError,
    start_process,
)

__all__ = [
    "Address",
    "Cluster",
    "ClusterPlan",
    "EntryPlan",
    "ManagedProcess",
    "StartError",
    "set_switches",
    "start_process",
]
