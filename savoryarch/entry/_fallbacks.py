"""What takes the place of a service that the platform does not give."""

from typing import Any

from twisted.internet.defer import Deferred, succeed

from savoryarch.discovery import list_instances
from savoryarch.entry._metrics import Metrics
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


class UnopenedPeers:
    """Peers whose address is not open yet, or never will be.

    Parameters
    ----------
    port : int
        Port that the address will have.
    metrics : Metrics
        Counts what could not be sent.
    """

    def __init__(self, port: int, metrics: Metrics) -> None:
        self.port = port
        self.addresses: dict[str, tuple[str, int]] = {}
        self._metrics = metrics

    def send(self, peer_id: str, message: object) -> None:
        """Drop a message, as a lost one."""
        self._metrics.count("peer_drops", "not_open")

    def set_peer_address(self, peer_id: str, host: str, port: int) -> None:
        """Remember where a peer is."""
        self.addresses[peer_id] = (host, port)

    def remove_peer(self, peer_id: str) -> None:
        """Forget a peer."""
        self.addresses.pop(peer_id, None)
