"""What takes the platform's place when the settings name none, for a trial of one instance."""

from twisted.internet.defer import Deferred, succeed

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
