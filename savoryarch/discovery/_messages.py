"""Peer messages of discovery."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StoreRevisionAdvanced:
    """The sender has read urgent changes from the store.

    Parameters
    ----------
    revision : int
        Revision of the store up to which the sender has read changes.
    """

    revision: int
