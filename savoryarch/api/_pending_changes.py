"""Changes that are under way: the same change asked twice gets one outcome."""

from twisted.internet.defer import Deferred

from savoryarch.api._bridge import OperatorBridge
from savoryarch.model import ChangeOutcome, ChangeRequested


class PendingChanges:
    """Hands each change to the instance once, and its outcome to all who asked."""

    def __init__(self, bridge: OperatorBridge) -> None:
        self._bridge = bridge
        self._waiters: dict[str, list[Deferred]] = {}

    def submit(self, change: ChangeRequested) -> Deferred:
        """Return a Deferred of the outcome."""
        waiter: Deferred = Deferred()
        waiters = self._waiters.get(change.change_id)
        if waiters is not None:
            waiters.append(waiter)
            return waiter
        self._waiters[change.change_id] = [waiter]
        self._bridge.submit(change).addCallback(self._deliver, change.change_id)
        return waiter

    def _deliver(self, outcome: ChangeOutcome, change_id: str) -> None:
        for waiter in self._waiters.pop(change_id):
            waiter.callback(outcome)
