"""Scenarios with single failures: the version in force afterwards, outcomes and notices.

Each guards against a configuration that reverts or does not reach every instance, or against a
wrong outcome in the answer to the operator.
"""

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
UNCONFIRMED = "configuration-unsettled"
KEEP_IN_FORCE = SettleRestore(RestoreChoice.KEEP_IN_FORCE)
TAKE_STORED = SettleRestore(RestoreChoice.TAKE_STORED)


def put(weight, name="portal", expected_revision=None):
    return PutResource(Caller(name, weight), expected_revision)


class Scenario:
    """Steps of a scenario, by name, on four instances ``entry-0`` to ``entry-3``."""

    def __init__(self):
        self.fleet = Fleet(seed=11)
        for number in range(4):
            self.fleet.start(f"entry-{number}")
        self.fleet.update_peers()
        self.fleet.run(200)

    def request_change(self, number, change_id, *changes):
        self.fleet.request_change(f"entry-{number}", change_id, *changes)

    def run(self, for_ms):
        self.fleet.run(for_ms)

    def kill_when_answered(self, change_id):
        self.fleet.kill_when_answered.add(change_id)

    def lose_messages(self, share):
        self.fleet.message_loss_share = share

    def kill(self, number):
        self.fleet.kill(f"entry-{number}")

    def start(self, number, group=0):
        self.fleet.start(f"entry-{number}", group)

    def update_peers(self):
        self.fleet.update_peers()

    def partition(self, *numbers):
        """Cut these instances off from the others as group 1; without numbers, heal the network."""
        names = {f"entry-{number}" for number in numbers}
        self.fleet.partition(lambda instance_id: 1 if instance_id in names else 0)

    def connect_store(self, *groups):
        """Let only these groups reach the store; without groups it is unreachable."""
        self.fleet.store_groups = set(groups)

    def connect_store_to_one_follower(self):
        """Let only one instance that neither watches nor retries reach the store."""
        watching = ("watching", "backing_off")
        self.fleet.store_instances = {
            min(
                name
                for name, state in self.fleet.states.items()
                if state.store.chart_state not in watching
            )
        }

    def lose_replies(self, share):
        self.fleet.reply_loss_share = share

    def delay_writes(self, share):
        self.fleet.late_write_share = share

    def lose_writes(self, share):
        self.fleet.lost_write_share = share

    def restore(self, index):
        """Reset the store to the value of an earlier write, by index."""
        self.fleet.restore(index)

    def expect_outcome(self, change_id, kind):
        assert isinstance(self.fleet.answers[change_id][0], kind), self.fleet.answers[change_id]

    def expect_in_force(self, generation, *numbers):
        """Check the generation in force at these instances, or at all if none is given."""
        ids = [f"entry-{number}" for number in numbers] or list(self.fleet.states)
        found = {name: self.fleet.states[name].record.generation for name in ids}
        assert set(found.values()) == {generation}, found

    def expect_weight(self, weight):
        for state in self.fleet.states.values():
            assert state.record.declarations.callers["portal"].weight == weight

    def expect_same_declarations(self):
        first, *others = (state.record.declarations for state in self.fleet.states.values())
        assert all(other == first for other in others)

    def expect_notices(self, *notices):
        for instance_id in self.fleet.states:
            assert self.fleet.notices.get(instance_id, set()) == set(notices), instance_id

    def expect_notice_at(self, number, notice):
        assert self.fleet.notices[f"entry-{number}"] == {notice}

    def expect_no_unconfirmed_changes(self):
        assert not any(state.unconfirmed_changes for state in self.fleet.states.values())

    def expect_status(self, number, generations):
        """Check the generations that one instance reports for entry-0 to 3; None if not live."""
        self.fleet.deliver(f"entry-{number}", StatusRequested("s"))
        self.fleet.run(600)
        found = {
            item.instance_id: item.generation
            for item in self.fleet.statuses["s"].instances
            if item.live
        }
        assert tuple(found.get(f"entry-{place}") for place in range(4)) == generations


ONE_CHANGE = [("request_change", 0, "c1", put(1.0)), ("run", 1000), ("expect_in_force", 1)]
TWO_CHANGES = [
    *ONE_CHANGE,
    ("request_change", 1, "c2", put(2.0)),
    ("run", 1000),
    ("expect_in_force", 2),
]

SCENARIOS = {
    "a change without faults": [
        ("request_change", 0, "c1", put(1.0)),
        ("run", 40),
        ("expect_in_force", 1),
    ],
    "the store fails and the accepting instance stops right after acceptance": [
        ("kill_when_answered", "c1"),
        ("request_change", 0, "c1", put(1.0)),
        ("run", 16),
        ("connect_store",),
        ("run", 5000),
        ("expect_outcome", "c1", ChangeAccepted),
        ("expect_in_force", 1),
    ],
    "messages between peers are lost": [
        *ONE_CHANGE,
        ("lose_messages", 1.0),
        ("request_change", 0, "c2", put(2.0)),
        ("run", 1000),
        ("connect_store",),
        ("lose_messages", 0.0),
        ("run", 3000),
        ("expect_in_force", 2),
    ],
    "one push is lost and the next one arrives": [
        ("lose_messages", 1.0),
        ("request_change", 0, "c1", put(1.0, "a")),
        ("request_change", 0, "c2", put(1.0, "b")),
        ("run", 250),
        ("lose_messages", 0.0),
        ("run", 150),
        ("expect_in_force", 2),
        ("expect_same_declarations",),
    ],
    "the reply to the write is lost": [
        ("lose_replies", 1.0),
        ("request_change", 0, "c1", put(1.0, expected_revision=0)),
        ("run", 4000),
        ("expect_outcome", "c1", ChangeAccepted),
        ("expect_in_force", 1),
        ("expect_notices",),
    ],
    "the write takes effect after the store call timed out": [
        ("delay_writes", 1.0),
        ("request_change", 0, "c1", put(1.0)),
        ("run", 2000),
        ("delay_writes", 0.0),
        ("run", 5000),
        ("expect_outcome", "c1", ChangeAccepted),
        ("expect_in_force", 1),
    ],
    "the reply is lost and the store becomes unreachable": [
        ("delay_writes", 1.0),
        ("request_change", 0, "c1", put(1.0)),
        ("run", 20),
        ("connect_store",),
        ("run", 6000),
        ("expect_outcome", "c1", ChangeUnknown),
        ("run", 30_000),
        ("connect_store", 0),
        ("run", 5000),
        ("expect_in_force", 1),
        ("expect_notices",),
    ],
    "the write is lost before it takes effect": [
        ("lose_writes", 1.0),
        ("request_change", 0, "c1", put(1.0)),
        ("run", 5000),
        ("expect_outcome", "c1", ChangeUnknown),
        ("lose_writes", 0.0),
        ("run", 60_000),
        ("expect_in_force", 0),
        ("expect_no_unconfirmed_changes",),
        ("expect_notices",),
    ],
    "a write is lost and the store stays unreachable": [
        ("lose_writes", 1.0),
        ("request_change", 0, "c1", put(1.0)),
        ("run", 5000),
        ("connect_store",),
        ("run", 60_000),
        ("expect_notice_at", 0, UNCONFIRMED),
        ("connect_store", 0),
        ("run", 5000),
        ("expect_no_unconfirmed_changes",),
        ("expect_notices",),
    ],
    "a change is requested again while it is in progress": [
        ("request_change", 0, "c1", put(1.0)),
        ("request_change", 0, "c1", put(1.0)),
        ("run", 1000),
        ("expect_outcome", "c1", ChangeAccepted),
        ("expect_in_force", 1),
    ],
    "the store is unreachable": [
        *ONE_CHANGE,
        ("connect_store",),
        ("request_change", 0, "c2", put(2.0)),
        ("run", 6000),
        ("expect_outcome", "c2", ChangeUnavailable),
        ("connect_store", 0),
        ("run", 5000),
        ("expect_in_force", 1),
        ("expect_notices",),
    ],
    "operators change the configuration concurrently": [
        ("request_change", 0, "a", put(1.0, "a")),
        ("request_change", 1, "b", put(1.0, "b")),
        ("request_change", 2, "c", put(1.0, "c")),
        ("run", 2000),
        ("expect_outcome", "a", ChangeAccepted),
        ("expect_outcome", "b", ChangeAccepted),
        ("expect_outcome", "c", ChangeAccepted),
        ("expect_in_force", 3),
    ],
    "an instance starts while the store is unreachable": [
        *TWO_CHANGES,
        ("connect_store",),
        ("kill", 3),
        ("start", 9),
        ("update_peers",),
        ("run", 1000),
        ("expect_in_force", 2),
    ],
    "an instance starts while the store is unreachable and reaches its peers late": [
        *TWO_CHANGES,
        ("connect_store",),
        ("start", 9, 1),
        ("run", 60_000),
        ("expect_in_force", 0, 9),
        ("partition",),
        ("run", 1000),
        ("expect_in_force", 2),
    ],
    "a zone is partitioned and rejoins": [
        *ONE_CHANGE,
        ("partition", 2, 3),
        ("request_change", 0, "c2", put(2.0)),
        ("run", 5000),
        ("expect_in_force", 2, 0, 1),
        ("expect_in_force", 1, 2, 3),
        ("expect_status", 0, (2, 2, None, None)),
        ("partition",),
        ("run", 1000),
        ("expect_in_force", 2),
        ("expect_status", 3, (2, 2, 2, 2)),
    ],
    "a zone is partitioned from its peers but reaches the store": [
        *ONE_CHANGE,
        ("partition", 3),
        ("connect_store", 0, 1),
        ("request_change", 0, "c2", put(2.0)),
        ("run", 5000),
        ("expect_in_force", 2),
    ],
    "only one instance reaches the store, and it is partitioned from its peers": [
        *ONE_CHANGE,
        ("partition", 3),
        ("connect_store", 1),
        ("request_change", 3, "c2", put(2.0)),
        ("run", 5000),
        ("expect_outcome", "c2", ChangeAccepted),
        ("partition",),
        ("run", 1000),
        ("expect_in_force", 2),
    ],
    "the store is restored and the configuration in force is kept": [
        *TWO_CHANGES,
        ("restore", 0),
        ("run", 5000),
        ("expect_in_force", 2),
        ("expect_notices", RESTORED),
        ("request_change", 0, "c3", put(3.0)),
        ("run", 1000),
        ("expect_outcome", "c3", ChangeBlocked),
        ("request_change", 0, "c4", KEEP_IN_FORCE),
        ("run", 5000),
        ("expect_outcome", "c4", ChangeAccepted),
        ("expect_in_force", 3),
        ("expect_weight", 2.0),
        ("expect_notices",),
        ("request_change", 3, "c5", put(5.0)),
        ("run", 1000),
        ("expect_in_force", 4),
    ],
    "the store is restored and its configuration is chosen": [
        *TWO_CHANGES,
        ("restore", 0),
        ("request_change", 3, "c3", TAKE_STORED),
        ("run", 5000),
        ("expect_in_force", 3),
        ("expect_weight", 1.0),
        ("expect_notices",),
    ],
    "the store is restored and a new instance changes it": [
        *TWO_CHANGES,
        ("partition", 9),
        ("start", 9, 1),
        ("connect_store", 1),
        ("restore", 0),
        ("run", 3000),
        ("request_change", 9, "fork", put(9.0)),
        ("run", 2000),
        ("expect_in_force", 2),
        ("partition",),
        ("connect_store", 0),
        ("run", 5000),
        ("expect_in_force", 2),
        ("expect_notices", RESTORED),
        ("request_change", 0, "c4", KEEP_IN_FORCE),
        ("run", 5000),
        ("expect_in_force", 3),
        ("expect_weight", 2.0),
        ("expect_notices",),
    ],
    "the store is restored and a new instance changes it twice": [
        *TWO_CHANGES,
        ("partition", 9),
        ("start", 9, 1),
        ("connect_store", 1),
        ("restore", 0),
        ("run", 3000),
        ("request_change", 9, "fork", put(9.0)),
        ("run", 1000),
        ("request_change", 9, "fork-2", put(10.0)),
        ("run", 1000),
        ("expect_in_force", 3, 9),
        ("partition",),
        ("connect_store", 0),
        ("run", 5000),
        ("expect_in_force", 2, 0, 1, 2, 3),
        ("expect_notices", RESTORED),
        ("request_change", 0, "c4", KEEP_IN_FORCE),
        ("run", 5000),
        ("expect_in_force", 4),
        ("expect_weight", 2.0),
        ("expect_notices",),
    ],
    "only an instance that does not watch reaches the store": [
        *ONE_CHANGE,
        ("delay_writes", 1.0),
        ("request_change", 0, "c2", put(2.0)),
        ("run", 20),
        ("kill", 0),
        ("update_peers",),
        ("connect_store_to_one_follower",),
        ("run", 20_000),
        ("expect_in_force", 2),
    ],
    "an operator chooses a configuration although the store was not restored": [
        *ONE_CHANGE,
        ("request_change", 0, "c2", KEEP_IN_FORCE),
        ("run", 1000),
        ("expect_in_force", 1),
    ],
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name):
    """Run a scenario; the generations in force have to ascend at each instance."""
    scenario = Scenario()
    for step, *arguments in SCENARIOS[name]:
        getattr(scenario, step)(*arguments)
    for generations in scenario.fleet.in_force.values():
        assert all(before < after for before, after in pairwise(generations))
