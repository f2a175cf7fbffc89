"""Starts the stand-ins and entry instances as processes of their own, and stops them by id."""

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
