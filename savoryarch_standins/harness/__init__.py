"""Starts the stand-ins and entry instances as processes of their own, and stops them by id."""

from savoryarch_standins.harness._cluster import Cluster, switch
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
    "start_process",
    "switch",
]
