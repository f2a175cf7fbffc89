"""Maintains the registration of a target in the store."""

from typing import Any

import msgspec

from savoryarch.model import (
    GrantLease,
    KeepLease,
    LeaseEnded,
    LeaseGranted,
    PutLeased,
    StoreReply,
    Swapped,
)
from savoryarch.platform import TARGETS_PREFIX
from savoryarch.store import StoreClient

LEASE_MS = 2000.0
RENEWAL_INTERVAL_S = 0.5  # a quarter of LEASE_MS, so that a lease survives two lost renewals


class Registrar:
    """Writes a registration under a lease and renews the lease until the registration is withdrawn.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    reactor : object
        Twisted's reactor.
    name : str
        Name that the target registers under.
    """

    def __init__(self, store: StoreClient, reactor: Any, name: str) -> None:
        self._store = store
        self._reactor = reactor
        self._key = TARGETS_PREFIX + name
        self._sequence = 0
        self._wanted_value = b""
        self._registered_value = b""
        self._lease_id: int | None = None

    def start_renewing(self) -> None:
        """Renew the registration now and at regular intervals."""
        self._renew()
        self._reactor.callLater(RENEWAL_INTERVAL_S, self.start_renewing)

    def publish(self, fields: dict[str, Any]) -> None:
        """Register the target with these fields; without any, its registration lapses."""
        self._sequence += 1
        registration = fields | {"sequence": self._sequence}
        self._wanted_value = msgspec.json.encode(registration) if fields else b""
        self._renew()

    def _renew(self) -> None:
        if not self._wanted_value:
            self._lease_id = None
        elif self._lease_id is None:
            self._store.perform(GrantLease("grant", LEASE_MS)).addCallback(self._handle_lease_reply)
        elif self._registered_value != self._wanted_value:
            self._put()
        else:
            self._store.perform(KeepLease("keep", self._lease_id)).addCallback(
                self._handle_lease_reply
            )

    def _put(self) -> None:
        if self._lease_id is not None and self._wanted_value:
            value = self._wanted_value
            put = PutLeased("put", self._key, value, self._lease_id)
            self._store.perform(put).addCallback(self._handle_put_reply, value)

    def _handle_put_reply(self, reply: StoreReply, value: bytes) -> None:
        if isinstance(reply, Swapped):
            self._registered_value = value
        self._handle_lease_reply(reply)

    def _handle_lease_reply(self, reply: StoreReply) -> None:
        match reply:
            case LeaseGranted(lease_id=lease_id) if lease_id != self._lease_id:
                self._lease_id, self._registered_value = lease_id, b""
                self._put()
            case LeaseEnded():
                self._lease_id = None
                self._renew()
            case _:
                return  # the next renewal repeats what failed
