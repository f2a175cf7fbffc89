"""Stand-in for the platform's TCP load balancer, which passes connections to ready entries."""

from savoryarch_standins.balancer._app import Balancer, BalancerSwitches

__all__ = ["Balancer", "BalancerSwitches"]
