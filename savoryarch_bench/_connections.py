"""Connections of the entry instances to the fake targets."""

from savoryarch.model import AttemptReply, ConnectionLost, TimedOut
from savoryarch_bench._instance import Instance
from savoryarch_bench._targets import FakeTarget


class Connections:
    """Updates the counts of connections of instances and targets.

    The open connections of an instance include its idle ones. A connection carries one attempt at
    a time.

    Parameters
    ----------
    connect_ms : float
        Time that it takes to open a connection.
    """

    def __init__(self, connect_ms: float) -> None:
        self._connect_ms = connect_ms

    def acquire(self, instance: Instance, target: FakeTarget) -> float | None:
        """Use an idle connection for an attempt or open a new one.

        Parameters
        ----------
        instance : Instance
            Sender of the attempt.
        target : FakeTarget
            Target of the attempt.

        Returns
        -------
        float or None
            Time in ms until the connection is open; None if the instance has used up its share
            of the target's connections or the target refuses another one.
        """
        target_id = target.target_id
        if instance.idle_connections.get(target_id, 0) > 0:
            instance.idle_connections[target_id] -= 1
            return 0.0
        return self._connect_ms if self._open(instance, target) else None

    def release(self, instance: Instance, target: FakeTarget, reply: AttemptReply) -> None:
        """Make the connection of an ended attempt idle.

        After a time-out it is closed, because a late reply could still arrive on it. A lost
        connection was closed by `drop_connections`.
        """
        target_id = target.target_id
        match reply:
            case ConnectionLost():
                pass
            case TimedOut():
                instance.open_connections[target_id] = max(
                    0, instance.open_connections.get(target_id, 0) - 1
                )
                target.connections = max(0, target.connections - 1)
            case _:
                instance.idle_connections[target_id] = (
                    instance.idle_connections.get(target_id, 0) + 1
                )

    def open_ahead(self, instance: Instance, target: FakeTarget, count: int) -> None:
        """Open connections until `count` are idle or no more can be opened."""
        target_id = target.target_id
        while instance.idle_connections.get(target_id, 0) < count and not target.is_down:
            if not self._open(instance, target):
                break
            instance.idle_connections[target_id] = instance.idle_connections.get(target_id, 0) + 1

    def drop_connections(self, instance: Instance, target: FakeTarget) -> None:
        """Close all connections of an instance to a target."""
        instance.idle_connections.pop(target.target_id, None)
        target.connections -= instance.open_connections.pop(target.target_id, 0)

    def drop_all_connections(self, instance: Instance, targets: dict[str, FakeTarget]) -> None:
        """Close all connections of an instance."""
        for target in targets.values():
            self.drop_connections(instance, target)

    def _open(self, instance: Instance, target: FakeTarget) -> bool:
        open_count = instance.open_connections.get(target.target_id, 0)
        if (
            open_count >= instance.connection_shares.get(target.target_id, 0)
            or not target.open_connection()
        ):
            return False
        instance.open_connections[target.target_id] = open_count + 1
        return True
