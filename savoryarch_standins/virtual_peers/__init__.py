"""Entry instances that are only their membership decision, in virtual time.

A fake at the interface of the decision, for tests and measurements: it delivers messages, fires
timers and reads a lagging list, with losses, cuts and freezes.
"""

from savoryarch_standins.virtual_peers._network import Instance, NetworkConditions, VirtualPeers

__all__ = ["Instance", "NetworkConditions", "VirtualPeers"]
