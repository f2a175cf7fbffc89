"""Starts the stand-ins and entry instances as processes of their own, and stops them by id."""

from savoryarch_standins.harness._process import Address, ManagedProcess, start_process

__all__ = ["Address", "ManagedProcess", "start_process"]
