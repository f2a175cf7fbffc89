"""Properties that hold under random faults on several instances.

After the faults end, every instance has the newest committed configuration; generations never go
back on an instance; each generation is committed once; and the outcomes of changes are true.
"""

from itertools import pairwise

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from savoryarch.configuration.tests.fleet import Fleet
from savoryarch.model import (
    Caller,
    ChangeAccepted,
    DeleteResource,
    PutResource,
    ResourceKey,
    ResourceKind,
)
from savoryarch.resources import RECORD_CODEC

INSTANCES = 4
RECOVERY_MS = 5_000.0
CONVERGENCE_MS = 8_000.0

CHANGE = st.tuples(st.just("change"), st.integers(0, 9), st.integers(0, 3))
ACTIONS = st.one_of(
    CHANGE,
    CHANGE,
    st.tuples(st.just("delete"), st.integers(0, 9), st.integers(0, 3)),
    st.tuples(st.just("run"), st.sampled_from([1, 7, 40, 600, 2500])),
    st.tuples(st.just("partition"), st.lists(st.integers(0, 2), min_size=10, max_size=10)),
    st.tuples(st.just("update_peers")),
    st.tuples(st.just("store"), st.sampled_from([(), (0,), (1,), (0, 1, 2)])),
    st.tuples(st.just("loss"), st.sampled_from([0.0, 0.2, 0.9]), st.sampled_from([0.0, 0.5])),
    st.tuples(st.just("late"), st.sampled_from([0.0, 0.5])),
    st.tuples(st.just("replace"), st.integers(0, 9)),
)


def perform_actions(fleet, actions):
    """Perform the actions; each change writes or deletes one of four callers."""
    started = INSTANCES
    for number, (name, *arguments) in enumerate(actions):
        ids = sorted(fleet.states)
        match name, arguments:
            case "change", [which, resource]:
                caller = Caller(f"caller-{resource}", 1.0 + number)
                fleet.request_change(ids[which % len(ids)], f"change-{number}", PutResource(caller))
            case "delete", [which, resource]:
                key = ResourceKey(ResourceKind.CALLER, f"caller-{resource}")
                fleet.request_change(ids[which % len(ids)], f"change-{number}", DeleteResource(key))
            case "run", [for_ms]:
                fleet.run(for_ms)
            case "partition", [groups]:
                fleet.groups = {item: groups[index] for index, item in enumerate(ids)}
            case "update_peers", []:
                fleet.update_peers()
            case "store", [groups]:
                fleet.store_groups = set(groups)
            case "loss", [loss, reply_loss]:
                fleet.message_loss_share, fleet.reply_loss_share = loss, reply_loss
            case "late", [late]:
                fleet.late_write_share = late
            case "replace", [which]:
                replaced_id = ids[which % len(ids)]
                group = fleet.groups[replaced_id]
                fleet.kill(replaced_id)
                fleet.start(f"entry-{started}", group)
                started += 1


def end_faults(fleet):
    fleet.message_loss_share = fleet.reply_loss_share = fleet.late_write_share = 0.0
    fleet.store_groups = {0}
    fleet.partition(lambda instance_id: 0)


def check_history(seed, actions):
    fleet = Fleet(seed)
    for number in range(INSTANCES):
        fleet.start(f"entry-{number}")
    fleet.update_peers()
    perform_actions(fleet, actions)
    end_faults(fleet)
    fleet.run(RECOVERY_MS)
    check_in_force_everywhere(fleet)
    fleet.run(CONVERGENCE_MS)
    check_in_force_everywhere(fleet)
    check_generations(fleet)
    check_answers(fleet, actions)


SETTINGS = settings(
    max_examples=200,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
HISTORIES = given(st.integers(0, 2**16), st.lists(ACTIONS, min_size=10, max_size=60))

test_configuration_under_random_faults = SETTINGS(HISTORIES(check_history))


def check_in_force_everywhere(fleet):
    newest = max(fleet.committed, default=0)
    assert {state.record.generation for state in fleet.states.values()} == {newest}
    if newest:
        stored = RECORD_CODEC.decode_record(fleet.value[0])
        assert all(
            (state.record.declarations, state.record.revisions)
            == (stored.declarations, stored.revisions)
            for state in fleet.states.values()
        )


def check_generations(fleet):
    for generations in fleet.in_force.values():
        assert all(before < after for before, after in pairwise(generations))
    assert all(len(change_ids) == 1 for change_ids in fleet.committed.values())


def check_answers(fleet, actions):
    committed_generations = {
        change_id: generation for generation, (change_id,) in fleet.committed.items()
    }
    running_ids = set(fleet.states)
    for change_id, (outcome, *_) in fleet.answers.items():
        if isinstance(outcome, ChangeAccepted) and outcome.changed:
            assert committed_generations[change_id] == outcome.generation
        assert change_id not in committed_generations or not is_definite_refusal(outcome)
    requested = {
        f"change-{number}"
        for number, action in enumerate(actions)
        if action[0] in ("change", "delete")
    }
    unanswered = {
        item.change_id for name in running_ids for item in fleet.states[name].pending_changes
    }
    assert not unanswered & requested


def is_definite_refusal(outcome):
    return type(outcome).__name__ not in ("ChangeAccepted", "ChangeUnknown")
