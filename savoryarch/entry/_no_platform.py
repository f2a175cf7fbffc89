"""What takes the place of a service that the platform does not give."""

from typing import Any

from twisted.internet.defer import Deferred, succeed

from savoryarch.discovery import list_instances
from savoryarch.model import ListedInstance, StoreCall, StoreReply, StoreUnreachable


class AbsentStore:
    """A store that is never reachable."""

    def perform(self, call: StoreCall) -> "Deferred[StoreReply]":
        """Reply that the store is unreachable."""
        return succeed(StoreUnreachable("the settings name no store"))


class AbsentInstanceList:
    """An instance list without entries."""

    def read(self) -> "Deferred[tuple[ListedInstance, ...]]":
        """Return an empty list."""
        return succeed(())


class DiscoveredInstanceList:
    """The instances that registered themselves in the store.

    Parameters
    ----------
    instance : object
        The entry instance, whose state holds what was discovered.
    """

    def __init__(self, instance: Any) -> None:
        self._instance = instance

    def read(self) -> "Deferred[tuple[ListedInstance, ...]]":
        """Return the instances as they are known now."""
        return succeed(list_instances(self._instance.state.discovery))
