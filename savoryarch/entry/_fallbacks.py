"""Replacements for services that the platform does not provide or that are not open yet."""

from typing import Any

from twisted.internet.defer import Deferred, succeed

from savoryarch.discovery import list_instances
from savoryarch.entry._metrics import Metrics
from savoryarch.model import ListedInstance, StoreCall, StoreReply, StoreUnreachable


class AbsentStore:
    """Replaces the store if the settings name none."""

    def perform(self, call: StoreCall) -> "Deferred[StoreReply]":
        """Return a Deferred that has fired with `StoreUnreachable`."""
        return succeed(StoreUnreachable("the settings name no store"))


class AbsentInstanceList:
    """Replaces the instance list if the settings name none."""

    def read(self) -> "Deferred[tuple[ListedInstance, ...]]":
        """Return a Deferred that has fired with an empty tuple."""
        return succeed(())


class DiscoveredInstanceList:
    """Replaces the instance list by the instances that registered themselves in the store.

    Parameters
    ----------
    instance : EntryInstance
        The entry instance, whose state contains the discovered instances.
    """

    def __init__(self, instance: Any) -> None:
        self._instance = instance

    def read(self) -> "Deferred[tuple[ListedInstance, ...]]":
        """Return a Deferred that has fired with the instances in the current state."""
        return succeed(list_instances(self._instance.state.discovery))


class UnopenedPeers:
    """Replaces `PeerTransport` until the address for peers is open.

    It is used if requests are forwarded: the address for peers is then opened after the one for
    clients, or never if the instance stops before.

    Parameters
    ----------
    port : int
        Port that the address for peers will have.
    metrics : Metrics
        Counts dropped messages.

    Attributes
    ----------
    addresses : dict
        Host and port of each peer that the transport will be given.
    """

    def __init__(self, port: int, metrics: Metrics) -> None:
        self.port = port
        self.addresses: dict[str, tuple[str, int]] = {}
        self._metrics = metrics

    def send(self, peer_id: str, message: object) -> None:
        """Drop a message and count it, as if the network had lost it."""
        self._metrics.count("peer_drops", "not_open")

    def set_peer_address(self, peer_id: str, host: str, port: int) -> None:
        """Record the address of a peer for the transport."""
        self.addresses[peer_id] = (host, port)

    def remove_peer(self, peer_id: str) -> None:
        """Remove the address of a peer; an unknown peer is ignored."""
        self.addresses.pop(peer_id, None)
