"""Simulated network of entry instances that run the membership decision in virtual time."""

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

RECEIVE_BUFFER_MESSAGES = 256  # further messages to a frozen instance are lost


@dataclass(frozen=True, slots=True)
class NetworkConditions:
    """Conditions of the network and of the instance list.

    Parameters
    ----------
    latency_ms : tuple of float
        Shortest and longest latency of a message.
    loss_share : float
        Share of messages that are lost.
    is_cut : callable
        Called with the ids of sender and receiver; whether messages between them are lost.
    list_lag_ms : float
        Delay until the list shows a change.
    list_condition : str
        ``fresh``, ``empty`` or ``failed``; a large `list_lag_ms` gives a stale list.
    """

    latency_ms: tuple[float, float] = (0.5, 3.0)
    loss_share: float = 0.0
    is_cut: Callable[[str, str], bool] = lambda sender_id, receiver_id: False
    list_lag_ms: float = 3000.0
    list_condition: str = "fresh"


@dataclass(slots=True, frozen=True)
class Instance:
    """A running instance.

    Parameters
    ----------
    instance_id, availability_zone, host : str
        Identity of the instance, and the host that peers connect to.
    port : int
        Port that peers connect to.
    incarnation : int
        Greater for a later start of the same instance.
    state : MembershipState
        State of its membership decision.
    timer_numbers : dict of str to int
        Number of the last setting of each timer; earlier settings do not fire.
    peer_addresses : dict of str to tuple of str and int
        Addresses of the peers that it is connected to, by instance id.
    held_events : list of object
        Events that arrived while it was frozen.
    """

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
    """Running instances, their messages and timers, and the instance list.

    Parameters
    ----------
    settings : MembershipSettings
        Settings of every instance.
    seed : int
        Seed of message losses and latencies.
    on_send : callable, optional
        Called with sender id, receiver id and message for each message that is sent, also if it is
        lost.

    Attributes
    ----------
    now_ms : float
        Virtual time.
    conditions : NetworkConditions
        Present conditions; tests replace them to cause faults.
    running_instances : dict of str to Instance
        Instances that run, also those that are frozen, by instance id.
    frozen_ids : set of str
        Ids of frozen instances.
    counts : Counter
        Sums of the counts that the decisions reported, by counter and reason.
    published_events : list of tuple
        Virtual time, instance id and event of each event that a decision published.
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
        """Start an instance; a running one with the same id is killed.

        If `listed`, the instance is added to the instance list.
        """
        self.kill(instance_id, listed=True)
        incarnation = 1 + int(self.now_ms)
        state = make_membership_state(self._settings, host, port)
        instance = Instance(instance_id, availability_zone, host, port, incarnation, state)
        self.running_instances[instance_id] = instance
        if listed:
            self.set_listed_instance(instance_id, availability_zone, host, port)
        self.feed(instance_id, Started(instance_id, availability_zone, incarnation))

    def kill(self, instance_id: str, *, listed: bool = False) -> None:
        """End an instance immediately, and remove it from the instance list unless `listed`."""
        self.running_instances.pop(instance_id, None)
        self.frozen_ids.discard(instance_id)
        if not listed:
            self.remove_listed_instance(instance_id)

    def freeze(self, instance_id: str) -> None:
        """Suspend an instance; events that arrive are held up to `RECEIVE_BUFFER_MESSAGES`."""
        self.frozen_ids.add(instance_id)

    def resume(self, instance_id: str) -> None:
        """Resume a frozen instance and feed it the events that were held."""
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
        """Set the row of an instance in the instance list."""
        self._listed_instances[instance_id] = ListedInstance(
            instance_id, InstanceRole.ENTRY, availability_zone, host, port, ListedState(state)
        )
        self._list_history.append((self.now_ms, tuple(self._listed_instances.values())))

    def remove_listed_instance(self, instance_id: str) -> None:
        """Remove the row of an instance from the instance list."""
        self._listed_instances.pop(instance_id, None)
        self._list_history.append((self.now_ms, tuple(self._listed_instances.values())))

    def run(self, duration_ms: float, until: Callable[[], bool] | None = None) -> bool:
        """Advance the virtual time and deliver the events that are due.

        Parameters
        ----------
        duration_ms : float
            Time to advance by.
        until : callable, optional
            Condition that is checked before each event; the run stops if it is true.

        Returns
        -------
        bool
            Whether `until` is true at the end.
        """
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
        """Feed an instance an event at the present time and perform the effects."""
        instance = self.running_instances[instance_id]
        decided = decide_membership(instance.state, event, self.now_ms)
        self.running_instances[instance_id] = replace(instance, state=decided.state)
        for effect in decided.effects:
            self._perform(self.running_instances[instance_id], effect)

    def live_peer_ids(self, instance_id: str) -> frozenset[str]:
        """Return the ids of the peers that an instance regards as live."""
        return self.running_instances[instance_id].state.live_ids

    def _deliver(self, instance: Instance, event: object) -> None:
        """Feed a due event or, if the instance is frozen, hold it; drops timers that were reset."""
        match event:
            case _TimerEvent(timer_id, number):
                if instance.timer_numbers.get(timer_id) != number:
                    return
                event = TimerFired(timer_id)
        if instance.instance_id not in self.frozen_ids:
            self.feed(instance.instance_id, event)
        elif len(instance.held_events) < RECEIVE_BUFFER_MESSAGES:
            instance.held_events.append(event)

    def _perform(self, instance: Instance, effect: object) -> None:
        match effect:
            case SetTimer(timer_id, at_ms):
                number = next(self._numbers)
                instance.timer_numbers[timer_id] = number
                self._schedule(at_ms, instance, _TimerEvent(timer_id, number))
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
        """Return the instance that listens on an address, preferring the one with the peer id."""
        same_id = self.running_instances.get(peer_id)
        if same_id is not None and (same_id.host, same_id.port) == address:
            return same_id
        same_address = (
            peer for peer in self.running_instances.values() if (peer.host, peer.port) == address
        )
        return next(same_address, None) if address else None

    def _read_list(self) -> object:
        """Return the event with the instance list as it was before the lag, or with a failure."""
        match self.conditions.list_condition:
            case "failed":
                return InstanceListFailed("outage")
            case "empty":
                return InstancesListed(())
        visible_until_ms = self.now_ms - self.conditions.list_lag_ms
        visible = [rows for at_ms, rows in self._list_history if at_ms <= visible_until_ms]
        return InstancesListed(visible[-1] if visible else ())

    def _schedule(self, at_ms: float, instance: Instance, event: object) -> None:
        queued_event = (
            at_ms,
            next(self._numbers),
            instance.instance_id,
            instance.incarnation,
            event,
        )
        heapq.heappush(self._event_queue, queued_event)
