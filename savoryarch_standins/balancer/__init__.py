"""Stand-in of the platform's balancer."""

from savoryarch_standins.balancer._app import Balancer, BalancerSwitches

__all__ = ["Balancer", "BalancerSwitches"]
