"""Simulation of several instances and a store in virtual time, for tests of the configuration."""

import heapq
import random
from dataclasses import dataclass

from savoryarch.configuration import (
    ConfigurationSettings,
    decide_configuration,
    make_configuration_state,
)
from savoryarch.model import (
    AnswerChange,
    AnswerStatus,
    BroadcastToPeers,
    ChangeRequested,
    ClearNotice,
    ClearTimer,
    DeclarationsInForce,
    KeyAbsent,
    KeyChange,
    KeyRead,
    KeysChanged,
    KeysListed,
    ListKeys,
    PeerMessageReceived,
    PeersChanged,
    PublishEvent,
    RaiseNotice,
    ReadKey,
    SendToPeer,
    SetTimer,
    Started,
    StoreReplied,
    StoreUnreachable,
    SwapConflict,
    SwapKey,
    Swapped,
    TimerFired,
    WatchCompacted,
    WatchKeys,
)
from savoryarch.resources import RECORD_CODEC

STORE_MS = 5.0  # mean delay of a call to the store, and delay of its reply
PEER_MS = 1.0  # mean delay of a message between peers
STORE_TIMEOUT_MS = 1000.0
LATE_WRITE_MS = 2500.0  # delay of a late write, after its call has timed out
WATCH_LAG_MS = 50.0  # time from a write to the replies of the watches that wait for it
# As the expected revision of a write, accepts any revision; only guards use it.
ANY_REVISION = -1


@dataclass(frozen=True, slots=True)
class WaitingWatch:
    """A watch that the store has not answered yet."""

    instance_id: str
    call: WatchKeys


@dataclass(frozen=True, slots=True)
class WatchExpiry:
    """Event of the store: the wait of a watch has ended."""

    call: WatchKeys


class Fleet:
    """Simulated instances, their store, and the messages in flight.

    An instance belongs to a group of the network; messages arrive within a group only. The store
    answers the groups in `store_groups`, or only `store_instances` if that is not None. The shares
    are probabilities from 0 to 1: of losing a peer message, of losing the reply to a write, of
    delaying a write until its call has timed out, and of losing a write.
    """

    def __init__(self, seed=0, settings=None):
        self.random = random.Random(seed)
        self.settings = settings or ConfigurationSettings()
        self.now_ms = 0.0
        self.states = {}
        self.groups = {}
        self.store_groups = {0}
        self.store_instances = None
        self.message_loss_share = 0.0
        self.reply_loss_share = 0.0
        self.late_write_share = 0.0
        self.lost_write_share = 0.0
        self.committed = {}
        self.value = (None, 0)
        self.revision = 0
        self.stored_values = []
        self.waiting_watches = []
        self.event_queue = []
        self.timers = {}
        self.answers = {}
        self.kill_when_answered = set()
        self.statuses = {}
        self.in_force = {}
        self.notices = {}
        self.store_calls = 0
        self.peer_messages = 0
        self.on_message = None
        self.sequence = 0

    def start(self, instance_id, group=0):
        seed = self.random.getrandbits(64)
        state = make_configuration_state(RECORD_CODEC, self.settings, seed)
        self.states[instance_id] = state
        self.groups[instance_id] = group
        self.in_force[instance_id] = [0]
        self.deliver(instance_id, Started(instance_id, "zone", int(self.now_ms)))

    def kill(self, instance_id):
        for mapping in (self.states, self.groups, self.in_force):
            mapping.pop(instance_id)
        self.waiting_watches = [
            watch for watch in self.waiting_watches if watch.instance_id != instance_id
        ]

    def update_peers(self):
        """Set the live peers of every instance to the other instances of its group."""
        for instance_id, group in list(self.groups.items()):
            live = tuple(
                sorted(
                    other
                    for other, other_group in self.groups.items()
                    if other_group == group and other != instance_id
                )
            )
            self.deliver(instance_id, PeersChanged(live))

    def partition(self, group_of):
        """Divide the instances into groups and update their peers."""
        self.groups = {instance_id: group_of(instance_id) for instance_id in self.states}
        self.update_peers()

    def request_change(self, instance_id, change_id, *changes):
        self.deliver(instance_id, ChangeRequested(change_id, changes))

    def restore(self, index):
        """Reset the store to an older value and revision, as restoring a backup does."""
        self.revision = self.stored_values[index][1]
        self.value = self.stored_values[index]

    def deliver(self, instance_id, event):
        decided = decide_configuration(self.states[instance_id], event, self.now_ms)
        self.states[instance_id] = decided.state
        for effect in decided.effects:
            self.perform(instance_id, effect)

    def run(self, for_ms):
        """Advance the virtual time and deliver the events that become due."""
        end_ms = self.now_ms + for_ms
        while self.event_queue and self.event_queue[0][0] <= end_ms:
            at_ms, sequence, instance_id, event = heapq.heappop(self.event_queue)
            self.now_ms = max(self.now_ms, at_ms)
            if instance_id == "store":
                self.handle_store_call(*event)
            elif instance_id in self.states and self.is_deliverable(instance_id, event, sequence):
                self.deliver(instance_id, event)
        self.now_ms = end_ms

    def is_deliverable(self, instance_id, event, sequence):
        if isinstance(event, TimerFired):
            return self.timers.get((instance_id, event.timer_id)) == sequence
        if isinstance(event, PeerMessageReceived):
            sender = self.groups.get(event.peer_id, "stopped")
            return sender == self.groups[instance_id]
        return True

    def schedule(self, delay_ms, instance_id, event):
        self.sequence += 1
        heapq.heappush(
            self.event_queue, (self.now_ms + delay_ms, self.sequence, instance_id, event)
        )
        return self.sequence

    def perform(self, instance_id, effect):
        match effect:
            case SetTimer(timer_id=timer_id, at_ms=at_ms):
                delay_ms = max(0.0, at_ms - self.now_ms)
                sequence = self.schedule(delay_ms, instance_id, TimerFired(timer_id))
                self.timers[(instance_id, timer_id)] = sequence
            case ClearTimer(timer_id=timer_id):
                self.timers.pop((instance_id, timer_id), None)
            case SendToPeer(peer_id=peer_id, message=message):
                self.send(instance_id, peer_id, message)
            case BroadcastToPeers(message=message):
                for peer_id in self.states[instance_id].peers:
                    self.send(instance_id, peer_id, message)
            case ReadKey() | SwapKey() | ListKeys() | WatchKeys():
                self.store_calls += 1
                delay_ms = STORE_MS * (0.5 + self.random.random())
                self.schedule(delay_ms, "store", (instance_id, effect))
            case _:
                self.record_output(instance_id, effect)

    def record_output(self, instance_id, effect):
        """Record answers, notices and generations that come into force."""
        match effect:
            case AnswerChange(change_id=change_id, outcome=outcome):
                self.answers[change_id] = (outcome, self.now_ms, instance_id)
                if change_id in self.kill_when_answered:
                    self.kill(instance_id)
            case AnswerStatus(status_id=status_id, status=status):
                self.statuses[status_id] = status
            case RaiseNotice(notice=notice):
                self.notices.setdefault(instance_id, set()).add(notice.notice_id)
            case ClearNotice(notice_id=notice_id):
                self.notices[instance_id].remove(notice_id)
            case PublishEvent(event=DeclarationsInForce(declarations=declarations)):
                self.in_force[instance_id].append(declarations.generation)

    def send(self, instance_id, peer_id, message):
        self.peer_messages += 1
        if self.on_message:
            self.on_message(message)
        if self.random.random() >= self.message_loss_share:
            delay_ms = PEER_MS * (0.5 + self.random.random())
            self.schedule(delay_ms, peer_id, PeerMessageReceived(instance_id, message))

    def handle_store_call(self, instance_id, call, late=False):
        """Perform a store call; a late write takes effect although its call has timed out."""
        if isinstance(call, WatchExpiry):
            self.end_watch(WaitingWatch(instance_id, call.call))
            return
        if not late and not self.is_reachable(instance_id):
            self.reply(instance_id, call, StoreUnreachable("cut off"), STORE_TIMEOUT_MS)
            return
        value, revision = self.value
        match call:
            case ReadKey() if value is None:
                self.reply(instance_id, call, KeyAbsent(call.key, self.revision))
            case ReadKey():
                self.reply(instance_id, call, KeyRead(call.key, value, revision))
            case ListKeys():
                entries = (
                    () if value is None else (KeyRead("configuration/current", value, revision),)
                )
                self.reply(instance_id, call, KeysListed(entries, self.revision))
            case WatchKeys() if call.since_revision > self.revision:
                self.reply(instance_id, call, WatchCompacted(self.revision))
            case WatchKeys() if revision > call.since_revision:
                change = KeyChange("configuration/current", value, revision)
                self.reply(instance_id, call, KeysChanged((change,), self.revision))
            case WatchKeys():
                self.waiting_watches.append(WaitingWatch(instance_id, call))
                self.schedule(call.wait_ms, "store", (instance_id, WatchExpiry(call)))
            case SwapKey():
                self.compare_and_swap(instance_id, call, revision, late)

    def compare_and_swap(self, instance_id, call, revision, late):
        """Perform a compare-and-swap now, later or not at all."""
        if self.random.random() < self.lost_write_share:
            self.reply(instance_id, call, StoreUnreachable("lost"), STORE_TIMEOUT_MS)
        elif not late and self.random.random() < self.late_write_share:
            self.schedule(LATE_WRITE_MS, "store", (instance_id, call, True))
            unreachable = StoreUnreachable("no reply in time")
            self.reply(instance_id, call, unreachable, STORE_TIMEOUT_MS)
        elif call.expected_revision not in (ANY_REVISION, revision):
            self.reply(instance_id, call, SwapConflict(call.key, revision))
        else:
            self.write(call.value)
            self.reply(instance_id, call, Swapped(call.key, self.revision), may_lose_reply=True)

    def write(self, value):
        self.revision += 1
        version = RECORD_CODEC.decode_record(value).version
        self.committed.setdefault(version.generation, set()).add(version.change_id)
        self.value = (value, self.revision)
        self.stored_values.append(self.value)
        waiting_watches, self.waiting_watches = self.waiting_watches, []
        for watch in waiting_watches:
            self.schedule(WATCH_LAG_MS, "store", (watch.instance_id, watch.call))

    def end_watch(self, watch):
        if watch in self.waiting_watches:
            self.waiting_watches.remove(watch)
            self.reply(watch.instance_id, watch.call, KeysChanged((), self.revision))

    def is_reachable(self, instance_id):
        if self.store_instances is not None:
            return instance_id in self.store_instances
        return self.groups.get(instance_id, "stopped") in self.store_groups

    def reply(self, instance_id, call, reply, delay_ms=STORE_MS, may_lose_reply=False):
        lost = may_lose_reply and self.random.random() < self.reply_loss_share
        if lost or not self.is_reachable(instance_id):
            reply, delay_ms = StoreUnreachable("reply lost"), STORE_TIMEOUT_MS
        self.schedule(delay_ms, instance_id, StoreReplied(call.call_id, reply))
