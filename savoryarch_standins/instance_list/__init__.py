"""Stand-in of the platform's lagging list of instances."""

from savoryarch_standins.instance_list._app import InstanceList, ListSwitches

__all__ = ["InstanceList", "ListSwitches"]
