"""The connections that entry instances hold to fake targets."""

from savoryarch.model import AttemptReply, ConnectionLost, TimedOut
from savoryarch_bench._instance import Instance
from savoryarch_bench._targets import FakeTarget


class Connections:
    """Counts connections; a connection carries one attempt at a time.

    Parameters
    ----------
    connect_ms : float
        Cost of a new connection.
    """

    def __init__(self, connect_ms: float) -> None:
        self._connect_ms = connect_ms

    def acquire(self, instance: Instance, target: FakeTarget) -> float | None:
        """Take a connection for an attempt; return the wait, or None if none can be had."""
        target_id = target.target_id
        if instance.idle_connections.get(target_id, 0) > 0:
            instance.idle_connections[target_id] -= 1
            return 0.0
        return self._connect_ms if self._open(instance, target) else None

    def release(self, instance: Instance, target: FakeTarget, reply: AttemptReply) -> None:
        """Give the connection of an attempt back, or close it if its state is in doubt."""
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
        """Hold at least `count` idle connections."""
        target_id = target.target_id
        while instance.idle_connections.get(target_id, 0) < count and not target.is_down:
            if not self._open(instance, target):
                break
            instance.idle_connections[target_id] = instance.idle_connections.get(target_id, 0) + 1

    def drop_connections(self, instance: Instance, target: FakeTarget) -> None:
        """Lose every connection of an instance to a target."""
        instance.idle_connections.pop(target.target_id, None)
        target.connections -= instance.open_connections.pop(target.target_id, 0)

    def drop_all_connections(self, instance: Instance, targets: dict[str, FakeTarget]) -> None:
        """Lose every connection of an instance."""
        for target in targets.values():
            self.drop_connections(instance, target)

    def _open(self, instance: Instance, target: FakeTarget) -> bool:
        held = instance.open_connections.get(target.target_id, 0)
        if (
            held >= instance.connection_shares.get(target.target_id, 0)
            or not target.open_connection()
        ):
            return False
        instance.open_connections[target.target_id] = held + 1
        return True
