"""Deduplication of concurrent requests for the same change, such as a request and its resend."""

from twisted.internet.defer import Deferred

from savoryarch.api._bridge import OperatorBridge
from savoryarch.model import ChangeOutcome, ChangeRequested


class PendingChanges:
    """Submits a change once while it is in progress, and gives its outcome to all its requests.

    Parameters
    ----------
    bridge : OperatorBridge
        Interface of the entry instance, which decides on the changes.
    """

    def __init__(self, bridge: OperatorBridge) -> None:
        self._bridge = bridge
        self._waiters_by_change_id: dict[str, list[Deferred]] = {}

    def submit(self, change: ChangeRequested) -> Deferred:
        """Submit a change, unless a change with the same id is in progress.

        Parameters
        ----------
        change : ChangeRequested
            The change.

        Returns
        -------
        outcome : Deferred
            Fires with the `ChangeOutcome`.
        """
        waiter: Deferred = Deferred()
        waiters = self._waiters_by_change_id.get(change.change_id)
        if waiters is not None:
            waiters.append(waiter)
            return waiter
        self._waiters_by_change_id[change.change_id] = [waiter]
        self._bridge.submit(change).addCallback(self._deliver, change.change_id)
        return waiter

    def _deliver(self, outcome: ChangeOutcome, change_id: str) -> None:
        for waiter in self._waiters_by_change_id.pop(change_id):
            waiter.callback(outcome)
