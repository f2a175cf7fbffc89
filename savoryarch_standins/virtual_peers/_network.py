"""Runs membership decisions against each other in virtual time."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from random import Random

from savoryarch.membership import (
    MembershipSettings,
    MembershipState,
    decide_membership,
    make_membership_state,
)
from savoryarch.model import (
    ConnectPeer,
    Count,
    DisconnectPeer,
    InstanceListFailed,
    InstanceRole,
    InstancesListed,
    ListedInstance,
    ListedState,
    PeerMessageReceived,
    PublishEvent,
    ReadInstanceList,
    SendToPeer,
    SetTimer,
    Started,
    TimerFired,
)

RECEIVE_BUFFER_MESSAGES = 256


@dataclass(frozen=True, slots=True)
class NetworkConditions:
    """What the network and the list are like.

    Parameters
    ----------
    latency_ms : tuple of float
        Shortest and longest time of a message on its way.
    loss_share : float
        Share of the messages that are lost.
    is_cut : callable
        Whether a message from one instance id to another is lost.
    list_lag_ms : float
        Time until a change of the instances is seen in the list.
    list_condition : str
        ``fresh``, ``empty`` or ``failed``; for a stale one, raise the lag.
    """

    latency_ms: tuple[float, float] = (0.5, 3.0)
    loss_share: float = 0.0
    is_cut: Callable[[str, str], bool] = lambda sender_id, receiver_id: False
    list_lag_ms: float = 3000.0
    list_condition: str = "fresh"


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance as the network sees it."""

    instance_id: str
    availability_zone: str
    host: str
    port: int
    incarnation: int
    state: MembershipState
    timer_numbers: dict[str, int] = field(default_factory=dict)
    peer_addresses: dict[str, tuple[str, int]] = field(default_factory=dict)
    held_events: list[object] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _TimerEvent:
    timer_id: str
    number: int


class VirtualPeers:
    """Instances, their messages on the way, and the list.

    Parameters
    ----------
    settings : MembershipSettings
        Of every instance.
    seed : int
        Of the losses and latencies.
    on_send : callable, optional
        Called with sender id, receiver id and message for each message that is sent.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        seed: int = 1,
        on_send: Callable[[str, str, object], None] | None = None,
    ) -> None:
        self.now_ms = 0.0
        self.conditions = NetworkConditions()
        self.running_instances: dict[str, Instance] = {}
        self.frozen_ids: set[str] = set()
        self.counts: Counter[tuple[str, str]] = Counter()
        self.published_events: list[tuple[float, str, object]] = []
        self._settings = settings
        self._random = Random(seed)
        self._on_send = on_send
        self._event_queue: list[tuple[float, int, str, int, object]] = []
        self._numbers = count()
        self._listed_instances: dict[str, ListedInstance] = {}
        self._list_history: list[tuple[float, tuple[ListedInstance, ...]]] = [(0.0, ())]

    def start(
        self,
        instance_id: str,
        availability_zone: str,
        port: int,
        host: str = "10.0.0.1",
        *,
        listed: bool = True,
    ) -> None:
        """Start an instance; one that runs under the same id is killed."""
        self.kill(instance_id, listed=True)
        incarnation = 1 + int(self.now_ms)
        state = make_membership_state(self._settings, host, port)
        instance = Instance(instance_id, availability_zone, host, port, incarnation, state)
        self.running_instances[instance_id] = instance
        if listed:
            self.set_listed_instance(instance_id, availability_zone, host, port)
        self.feed(instance_id, Started(instance_id, availability_zone, incarnation))

    def kill(self, instance_id: str, *, listed: bool = False) -> None:
        """End an instance at once; unless `listed`, it goes from the list after the lag."""
        self.running_instances.pop(instance_id, None)
        self.frozen_ids.discard(instance_id)
        if not listed:
            self.remove_listed_instance(instance_id)

    def freeze(self, instance_id: str) -> None:
        """Stop an instance without ending it."""
        self.frozen_ids.add(instance_id)

    def resume(self, instance_id: str) -> None:
        """Let a frozen instance go on; it gets what arrived meanwhile."""
        self.frozen_ids.discard(instance_id)
        held_events, self.running_instances[instance_id].held_events[:] = (
            list(self.running_instances[instance_id].held_events),
            [],
        )
        for event in held_events:
            self.feed(instance_id, event)

    def set_listed_instance(
        self, instance_id: str, availability_zone: str, host: str, port: int, state: str = "live"
    ) -> None:
        """Set a row of the list."""
        self._listed_instances[instance_id] = ListedInstance(
            instance_id, InstanceRole.ENTRY, availability_zone, host, port, ListedState(state)
        )
        self._list_history.append((self.now_ms, tuple(self._listed_instances.values())))

    def remove_listed_instance(self, instance_id: str) -> None:
        """Delete a row of the list."""
        self._listed_instances.pop(instance_id, None)
        self._list_history.append((self.now_ms, tuple(self._listed_instances.values())))

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> bool:
        """Let time pass; returns whether `until` became true."""
        ends_at_ms = self.now_ms + duration_ms
        while self._event_queue and self._event_queue[0][0] <= ends_at_ms:
            if until is not None and until():
                return True
            at_ms, _, instance_id, incarnation, event = heapq.heappop(self._event_queue)
            self.now_ms = at_ms
            instance = self.running_instances.get(instance_id)
            if instance is not None and instance.incarnation == incarnation:
                self._deliver(instance, event)
        self.now_ms = ends_at_ms
        return until is not None and until()

    def feed(self, instance_id: str, event: object) -> None:
        """Give an instance an event now."""
        instance = self.running_instances[instance_id]
        decided = decide_membership(instance.state, event, self.now_ms)
        self.running_instances[instance_id] = replace(instance, state=decided.state)
        for effect in decided.effects:
            self._perform(self.running_instances[instance_id], effect)

    def live_peer_ids(self, instance_id: str) -> frozenset[str]:
        """Return the live peers of an instance."""
        return self.running_instances[instance_id].state.live_ids

    def _deliver(self, instance: Instance, event: object) -> None:
        match event:
            case _TimerEvent(timer_id, order):
                if instance.timer_numbers.get(timer_id) != order:
                    return
                event = TimerFired(timer_id)
        if instance.instance_id not in self.frozen_ids:
            self.feed(instance.instance_id, event)
        elif len(instance.held_events) < RECEIVE_BUFFER_MESSAGES:
            instance.held_events.append(event)

    def _perform(self, instance: Instance, effect: object) -> None:
        match effect:
            case SetTimer(timer_id, at_ms):
                order = next(self._numbers)
                instance.timer_numbers[timer_id] = order
                self._schedule(at_ms, instance, _TimerEvent(timer_id, order))
            case ConnectPeer(peer_id, host, port):
                instance.peer_addresses[peer_id] = (host, port)
            case DisconnectPeer(peer_id):
                instance.peer_addresses.pop(peer_id, None)
            case SendToPeer(peer_id, message):
                self._send(instance, peer_id, message)
            case ReadInstanceList():
                latency_ms = self._random.uniform(*self.conditions.latency_ms)
                self._schedule(self.now_ms + latency_ms, instance, self._read_list())
            case PublishEvent(event):
                self.published_events.append((self.now_ms, instance.instance_id, event))
            case Count(counter, reason, by):
                self.counts[(counter, reason)] += by

    def _send(self, sender: Instance, peer_id: str, message: object) -> None:
        if self._on_send is not None:
            self._on_send(sender.instance_id, peer_id, message)
        address = sender.peer_addresses.get(peer_id)
        receiver = self._find_receiver(address, peer_id)
        if receiver is None or self._random.random() < self.conditions.loss_share:
            return
        if self.conditions.is_cut(sender.instance_id, receiver.instance_id):
            return
        at_ms = self.now_ms + self._random.uniform(*self.conditions.latency_ms)
        self._schedule(at_ms, receiver, PeerMessageReceived(sender.instance_id, message))

    def _find_receiver(self, address: tuple[str, int] | None, peer_id: str) -> Instance | None:
        same_id = self.running_instances.get(peer_id)
        if same_id is not None and (same_id.host, same_id.port) == address:
            return same_id
        same_address = (
            peer for peer in self.running_instances.values() if (peer.host, peer.port) == address
        )
        return next(same_address, None) if address else None

    def _read_list(self) -> object:
        match self.conditions.list_condition:
            case "failed":
                return InstanceListFailed("outage")
            case "empty":
                return InstancesListed(())
        visible_until_ms = self.now_ms - self.conditions.list_lag_ms
        visible = [rows for at_ms, rows in self._list_history if at_ms <= visible_until_ms]
        return InstancesListed(visible[-1] if visible else ())

    def _schedule(self, at_ms: float, instance: Instance, event: object) -> None:
        entry = (at_ms, next(self._numbers), instance.instance_id, instance.incarnation, event)
        heapq.heappush(self._event_queue, entry)
