"""What entry instances tell each other about the store."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreRevisionAdvanced:
    """The sender has read changes from the store.

    Parameters
    ----------
    revision : int
        Up to which it knows the store now.
    """

    revision: int
