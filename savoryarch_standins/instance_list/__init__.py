"""Stand-in for the platform's list of instances, which shows changes with a delay."""

from savoryarch_standins.instance_list._app import InstanceList, ListSwitches

__all__ = ["InstanceList", "ListSwitches"]
