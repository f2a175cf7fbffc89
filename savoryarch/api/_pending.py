"""Changes that are under way: the same change asked twice gets one outcome."""

from twisted.internet.defer import Deferred

from savoryarch.api._bridge import OperatorBridge
from savoryarch.model import ChangeOutcome, ChangeRequested


class PendingChanges:
    """Hands each change to the instance once, and its outcome to all who asked."""

    def __init__(self, bridge: OperatorBridge) -> None:
        self._bridge = bridge
        self._waiting: dict[str, list[Deferred]] = {}

    def submit(self, asked: ChangeRequested) -> Deferred:
        """Return a Deferred of the outcome."""
        waiting: Deferred = Deferred()
        known = self._waiting.get(asked.change_id)
        if known is not None:
            known.append(waiting)
            return waiting
        self._waiting[asked.change_id] = [waiting]
        self._bridge.submit(asked).addCallback(self._answer, asked.change_id)
        return waiting

    def _answer(self, outcome: ChangeOutcome, change_id: str) -> None:
        for waiting in self._waiting.pop(change_id):
            waiting.callback(outcome)
