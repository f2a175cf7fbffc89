"""Failures one by one: what is in force afterwards, and what the operators are told."""

from itertools import pairwise

import pytest

from savoryarch.configuration.tests.fleet import Fleet
from savoryarch.model import (
    Caller,
    ChangeAccepted,
    ChangeBlocked,
    ChangeUnavailable,
    ChangeUnknown,
    PutResource,
    RestoreChoice,
    SettleRestore,
    StatusRequested,
)

RESTORED = "configuration-restored"
UNSETTLED = "configuration-unsettled"
KEEP = SettleRestore(RestoreChoice.KEEP_IN_FORCE)
TAKE = SettleRestore(RestoreChoice.TAKE_STORED)


def put(weight, name="portal", expected_revision=None):
    return PutResource(Caller(name, weight), expected_revision)


class Play:
    """The steps of a scenario, by name."""

    def __init__(self):
        self.fleet = Fleet(seed=11)
        for number in range(4):
            self.fleet.start(f"entry-{number}")
        self.fleet.update_peers()
        self.fleet.run(200)

    def ask(self, number, change_id, *changes):
        self.fleet.request_change(f"entry-{number}", change_id, *changes)

    def run(self, for_ms):
        self.fleet.run(for_ms)

    def kill_when_answered(self, change_id):
        self.fleet.kill_when_answered.add(change_id)

    def lose_messages(self, share):
        self.fleet.loss = share

    def kill(self, number):
        self.fleet.kill(f"entry-{number}")

    def start(self, number, group=0):
        self.fleet.start(f"entry-{number}", group)

    def meet(self):
        self.fleet.update_peers()

    def cut_off(self, *numbers):
        names = {f"entry-{number}" for number in numbers}
        self.fleet.partition(lambda instance_id: 1 if instance_id in names else 0)

    def store(self, *groups):
        self.fleet.store_groups = set(groups)

    def store_only_for_a_follower(self):
        watching = ("watching", "waiting")
        self.fleet.store_only = {
            min(
                name
                for name, state in self.fleet.states.items()
                if state.store.chart_state not in watching
            )
        }

    def lose_replies(self, share):
        self.fleet.reply_loss = share

    def delay_writes(self, share):
        self.fleet.late_writes = share

    def lose_writes(self, share):
        self.fleet.lost_writes = share

    def restore(self, index):
        self.fleet.restore(index)

    def expect_outcome(self, change_id, kind):
        assert isinstance(self.fleet.answers[change_id][0], kind), self.fleet.answers[change_id]

    def expect_in_force(self, generation, *numbers):
        ids = [f"entry-{number}" for number in numbers] or list(self.fleet.states)
        found = {name: self.fleet.states[name].record.generation for name in ids}
        assert set(found.values()) == {generation}, found

    def expect_weight(self, weight):
        for state in self.fleet.states.values():
            assert state.record.declarations.callers["portal"].weight == weight

    def expect_same(self):
        first, *others = (state.record.declarations for state in self.fleet.states.values())
        assert all(other == first for other in others)

    def expect_notices(self, *notices):
        for instance_id in self.fleet.states:
            assert self.fleet.notices.get(instance_id, set()) == set(notices), instance_id

    def expect_notice_at(self, number, notice):
        assert self.fleet.notices[f"entry-{number}"] == {notice}

    def expect_settled(self):
        assert not any(state.unsettled for state in self.fleet.states.values())

    def expect_status(self, number, generations):
        self.fleet.deliver(f"entry-{number}", StatusRequested("s"))
        self.fleet.run(600)
        found = {
            item.instance_id: item.generation
            for item in self.fleet.statuses["s"].instances
            if item.live
        }
        assert tuple(found.get(f"entry-{place}") for place in range(4)) == generations


CALM = [("ask", 0, "c1", put(1.0)), ("run", 1000), ("expect_in_force", 1)]
GROWN = [*CALM, ("ask", 1, "c2", put(2.0)), ("run", 1000), ("expect_in_force", 2)]

SCENARIOS = {
    "a change in calm": [("ask", 0, "c1", put(1.0)), ("run", 40), ("expect_in_force", 1)],
    "store out and the accepting instance gone right after acceptance": [
        ("kill_when_answered", "c1"),
        ("ask", 0, "c1", put(1.0)),
        ("run", 16),
        ("store",),
        ("run", 5000),
        ("expect_outcome", "c1", ChangeAccepted),
        ("expect_in_force", 1),
    ],
    "messages between peers are lost": [
        *CALM,
        ("lose_messages", 1.0),
        ("ask", 0, "c2", put(2.0)),
        ("run", 1000),
        ("store",),
        ("lose_messages", 0.0),
        ("run", 3000),
        ("expect_in_force", 2),
    ],
    "one push is lost and the next one arrives": [
        ("lose_messages", 1.0),
        ("ask", 0, "c1", put(1.0, "a")),
        ("ask", 0, "c2", put(1.0, "b")),
        ("run", 250),
        ("lose_messages", 0.0),
        ("run", 150),
        ("expect_in_force", 2),
        ("expect_same",),
    ],
    "the reply to the write is lost": [
        ("lose_replies", 1.0),
        ("ask", 0, "c1", put(1.0, expected_revision=0)),
        ("run", 4000),
        ("expect_outcome", "c1", ChangeAccepted),
        ("expect_in_force", 1),
        ("expect_notices",),
    ],
    "the write takes effect after the first try gave up": [
        ("delay_writes", 1.0),
        ("ask", 0, "c1", put(1.0)),
        ("run", 2000),
        ("delay_writes", 0.0),
        ("run", 5000),
        ("expect_outcome", "c1", ChangeAccepted),
        ("expect_in_force", 1),
    ],
    "the reply is lost and the store goes out": [
        ("delay_writes", 1.0),
        ("ask", 0, "c1", put(1.0)),
        ("run", 20),
        ("store",),
        ("run", 6000),
        ("expect_outcome", "c1", ChangeUnknown),
        ("run", 30_000),
        ("store", 0),
        ("run", 5000),
        ("expect_in_force", 1),
        ("expect_notices",),
    ],
    "the write is lost before it takes effect": [
        ("lose_writes", 1.0),
        ("ask", 0, "c1", put(1.0)),
        ("run", 5000),
        ("expect_outcome", "c1", ChangeUnknown),
        ("lose_writes", 0.0),
        ("run", 60_000),
        ("expect_in_force", 0),
        ("expect_settled",),
        ("expect_notices",),
    ],
    "a write is lost and the store stays out": [
        ("lose_writes", 1.0),
        ("ask", 0, "c1", put(1.0)),
        ("run", 5000),
        ("store",),
        ("run", 60_000),
        ("expect_notice_at", 0, UNSETTLED),
        ("store", 0),
        ("run", 5000),
        ("expect_settled",),
        ("expect_notices",),
    ],
    "a change is asked again while it is under way": [
        ("ask", 0, "c1", put(1.0)),
        ("ask", 0, "c1", put(1.0)),
        ("run", 1000),
        ("expect_outcome", "c1", ChangeAccepted),
        ("expect_in_force", 1),
    ],
    "the store is out": [
        *CALM,
        ("store",),
        ("ask", 0, "c2", put(2.0)),
        ("run", 6000),
        ("expect_outcome", "c2", ChangeUnavailable),
        ("store", 0),
        ("run", 5000),
        ("expect_in_force", 1),
        ("expect_notices",),
    ],
    "operators race": [
        ("ask", 0, "a", put(1.0, "a")),
        ("ask", 1, "b", put(1.0, "b")),
        ("ask", 2, "c", put(1.0, "c")),
        ("run", 2000),
        ("expect_outcome", "a", ChangeAccepted),
        ("expect_outcome", "b", ChangeAccepted),
        ("expect_outcome", "c", ChangeAccepted),
        ("expect_in_force", 3),
    ],
    "an instance starts in an outage": [
        *GROWN,
        ("store",),
        ("kill", 3),
        ("start", 9),
        ("meet",),
        ("run", 1000),
        ("expect_in_force", 2),
    ],
    "an instance starts in an outage and meets its peers late": [
        *GROWN,
        ("store",),
        ("start", 9, 1),
        ("run", 60_000),
        ("expect_in_force", 0, 9),
        ("cut_off",),
        ("run", 1000),
        ("expect_in_force", 2),
    ],
    "a zone is cut off and healed": [
        *CALM,
        ("cut_off", 2, 3),
        ("ask", 0, "c2", put(2.0)),
        ("run", 5000),
        ("expect_in_force", 2, 0, 1),
        ("expect_in_force", 1, 2, 3),
        ("expect_status", 0, (2, 2, None, None)),
        ("cut_off",),
        ("run", 1000),
        ("expect_in_force", 2),
        ("expect_status", 3, (2, 2, 2, 2)),
    ],
    "a zone is cut off from its peers, but not from the store": [
        *CALM,
        ("cut_off", 3),
        ("store", 0, 1),
        ("ask", 0, "c2", put(2.0)),
        ("run", 5000),
        ("expect_in_force", 2),
    ],
    "only one instance reaches the store, and its peers do not hear it": [
        *CALM,
        ("cut_off", 3),
        ("store", 1),
        ("ask", 3, "c2", put(2.0)),
        ("run", 5000),
        ("expect_outcome", "c2", ChangeAccepted),
        ("cut_off",),
        ("run", 1000),
        ("expect_in_force", 2),
    ],
    "the store is restored and the configuration in force is kept": [
        *GROWN,
        ("restore", 0),
        ("run", 5000),
        ("expect_in_force", 2),
        ("expect_notices", RESTORED),
        ("ask", 0, "c3", put(3.0)),
        ("run", 1000),
        ("expect_outcome", "c3", ChangeBlocked),
        ("ask", 0, "c4", KEEP),
        ("run", 5000),
        ("expect_outcome", "c4", ChangeAccepted),
        ("expect_in_force", 3),
        ("expect_weight", 2.0),
        ("expect_notices",),
        ("ask", 3, "c5", put(5.0)),
        ("run", 1000),
        ("expect_in_force", 4),
    ],
    "the store is restored and its configuration is taken": [
        *GROWN,
        ("restore", 0),
        ("ask", 3, "c3", TAKE),
        ("run", 5000),
        ("expect_in_force", 3),
        ("expect_weight", 1.0),
        ("expect_notices",),
    ],
    "the store is restored and an instance that knows of nothing else changes it": [
        *GROWN,
        ("cut_off", 9),
        ("start", 9, 1),
        ("store", 1),
        ("restore", 0),
        ("run", 3000),
        ("ask", 9, "fork", put(9.0)),
        ("run", 2000),
        ("expect_in_force", 2),
        ("cut_off",),
        ("store", 0),
        ("run", 5000),
        ("expect_in_force", 2),
        ("expect_notices", RESTORED),
        ("ask", 0, "c4", KEEP),
        ("run", 5000),
        ("expect_in_force", 3),
        ("expect_weight", 2.0),
        ("expect_notices",),
    ],
    "the store is restored and an instance that knows of nothing else changes it twice": [
        *GROWN,
        ("cut_off", 9),
        ("start", 9, 1),
        ("store", 1),
        ("restore", 0),
        ("run", 3000),
        ("ask", 9, "fork", put(9.0)),
        ("run", 1000),
        ("ask", 9, "fork-2", put(10.0)),
        ("run", 1000),
        ("expect_in_force", 3, 9),
        ("cut_off",),
        ("store", 0),
        ("run", 5000),
        ("expect_in_force", 2, 0, 1, 2, 3),
        ("expect_notices", RESTORED),
        ("ask", 0, "c4", KEEP),
        ("run", 5000),
        ("expect_in_force", 4),
        ("expect_weight", 2.0),
        ("expect_notices",),
    ],
    "only an instance that does not watch reaches the store": [
        *CALM,
        ("delay_writes", 1.0),
        ("ask", 0, "c2", put(2.0)),
        ("run", 20),
        ("kill", 0),
        ("meet",),
        ("store_only_for_a_follower",),
        ("run", 20_000),
        ("expect_in_force", 2),
    ],
    "nothing was restored, so there is nothing to decide": [
        *CALM,
        ("ask", 0, "c2", KEEP),
        ("run", 1000),
        ("expect_in_force", 1),
    ],
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name):
    play = Play()
    for step, *arguments in SCENARIOS[name]:
        getattr(play, step)(*arguments)
    for generations in play.fleet.in_force.values():
        assert all(before < after for before, after in pairwise(generations))
