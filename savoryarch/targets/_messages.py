"""Peer messages about targets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetLeaving:
    """A target stated in a reply to the sender that it leaves the fleet.

    Parameters
    ----------
    target_id : str
        Id of the target, which stands for one start of it.
    """

    target_id: str
