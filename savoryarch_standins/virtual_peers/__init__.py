"""Simulates the membership decisions of many entry instances in virtual time.

For tests and benchmarks. The simulation delivers the messages, fires the timers and reads the
instance list; it can lose messages, cut links, freeze instances and delay the list.
"""

from savoryarch_standins.virtual_peers._network import Instance, NetworkConditions, VirtualPeers

__all__ = ["Instance", "NetworkConditions", "VirtualPeers"]
