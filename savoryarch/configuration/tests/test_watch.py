"""Operators' watches return every change exactly once, also when they resume elsewhere."""

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryarch.configuration import (
    apply_changes,
    changes_since,
    make_next_record,
    resources_of_kind,
)
from savoryarch.model import (
    Caller,
    ConfigurationRecord,
    ConfigurationVersion,
    DeleteResource,
    PutResource,
    ResourceKey,
    ResourceKind,
    resource_key,
)

NAMES = ("a", "b", "c")
OPERATIONS = st.one_of(
    st.tuples(st.just("put"), st.sampled_from(NAMES)),
    st.tuples(st.just("delete"), st.sampled_from(NAMES)),
    st.tuples(st.just("watch"), st.integers(0, 1)),
    st.tuples(st.just("replicate"), st.just(1)),
)


class Watcher:
    """A copy of the callers that only the results of watches update."""

    def __init__(self):
        self.since = 0
        self.callers = {}
        self.seen_revisions = set()

    def watch(self, record):
        watched = changes_since(record, self.since)
        for item in watched.puts:
            self.record_revision(resource_key(item.resource), item.revision)
            self.callers[item.resource.name] = item.resource
        for item in watched.deletes:
            self.record_revision(item.key, item.revision)
            self.callers.pop(item.key.name, None)
        assert watched.generation >= self.since
        self.since = watched.generation

    def record_revision(self, key, revision):
        assert (key, revision) not in self.seen_revisions
        self.seen_revisions.add((key, revision))


def commit(record, change, number):
    declarations = apply_changes(record.declarations, (change,))
    if declarations == record.declarations:
        return record
    version = ConfigurationVersion(record.generation + 1, f"change-{number}")
    return make_next_record(record, declarations, version)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.lists(OPERATIONS, min_size=5, max_size=40))
def test_watch_resumes_without_a_gap_or_a_repeat(operations):
    """A watch may resume on an instance that is behind the one that answered before."""
    records = [ConfigurationRecord(), ConfigurationRecord()]
    watcher = Watcher()
    for number, (name, argument) in enumerate(operations):
        match name:
            case "put":
                change = PutResource(Caller(argument, number + 1.0))
                records[0] = commit(records[0], change, number)
            case "delete":
                change = DeleteResource(ResourceKey(ResourceKind.CALLER, argument))
                records[0] = commit(records[0], change, number)
            case "watch":
                watcher.watch(records[argument])
            case "replicate":
                records[1] = records[0]
    watcher.watch(records[0])
    callers = resources_of_kind(records[0].declarations, ResourceKind.CALLER)
    assert watcher.callers == dict(callers)
