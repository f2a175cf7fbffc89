"""What entry instances tell each other about targets."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TargetSlow:
    """A target took far longer for a request of the sender than its service usually takes."""

    target_id: str
