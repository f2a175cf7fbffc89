"""Tests of the checks between resources, of outcomes of changes, and of dissemination."""

import pytest

from savoryarch.configuration import apply_changes, check_declarations
from savoryarch.configuration.tests.fleet import Fleet
from savoryarch.model import (
    Caller,
    ChangeAccepted,
    ChangeConflicts,
    ChangeInvalid,
    Declarations,
    DeleteResource,
    KeyFromField,
    PutResource,
    ResourceKey,
    ResourceKind,
    Route,
    Search,
    Service,
    ShardMap,
    StatusRequested,
    Target,
)


def service(name, *ports, slots=2, limit=25):
    targets = tuple(Target(f"{name}-{port}", name, "zone-a", "127.0.0.1", port) for port in ports)
    return Service(name, "", slots, limit, targets)


@pytest.mark.parametrize(
    ("resources", "findings"),
    [
        ([service("a", 1), service("b", 2)], []),
        (
            [service("a", 1), service("b", 1)],
            [
                "service.b.targets: targets 'a-1' and 'b-1' have the same address 127.0.0.1:1",
            ],
        ),
        (
            [service("a", 1, 1)],
            ["service.a.targets: target 'a-1' is given twice"],
        ),
        ([service("a", 0)], ["service.a.targets: target 'a-0' has port 0"]),
        (
            [service("a", 1, slots=3, limit=2)],
            ["service.a.connection_limit: got 2, expected at least the slots (3)"],
        ),
        (
            [service("ab", 1), Search("s", (ShardMap(2, ("ab", "abc", "ab")), ShardMap(1, ())), 1)],
            [
                "search.s.shard_maps: got versions [2, 1], expected them to ascend",
                "search.s.shard_maps: shard map 1 names no service",
                "search.s.shard_maps: shard map 2 names service 'ab' twice",
                "search.s.shard_maps: shard map 2 names service 'abc', which does not exist; "
                "did you mean 'ab'?",
            ],
        ),
        (
            [Route("r", "ab", 1, idempotent=True, key=KeyFromField("x"))],
            [
                "route.r.key: an idempotent route takes no key from a field of the body",
                "route.r.service: got service 'ab', which does not exist",
            ],
        ),
    ],
)
def test_check_declarations_finds_problems_between_resources(resources, findings):
    declarations = apply_changes(Declarations(), tuple(PutResource(item) for item in resources))
    found = check_declarations(declarations)
    assert [f"{item.place.path}: {item.message}" for item in found] == findings


PORTAL = ResourceKey(ResourceKind.CALLER, "portal")


@pytest.mark.parametrize(
    ("changes", "outcome"),
    [
        ((PutResource(Caller("portal", 2.0), 0),), "accepted 2"),
        ((PutResource(Caller("portal", 2.0), 1),), "conflict caller/portal 1 0"),
        ((PutResource(Caller("app"), 1), DeleteResource(PORTAL, 3)), "conflict caller/portal 3 0"),
        ((PutResource(Caller("app")),), "accepted 1 unchanged"),
        ((DeleteResource(ResourceKey(ResourceKind.CALLER, "app"), 1),), "accepted 2"),
        ((PutResource(Route("r", "nowhere", 1.0)),), "invalid route.r.service"),
    ],
)
def test_outcome_of_a_change_after_a_committed_one(changes, outcome):
    fleet = Fleet(seed=3)
    fleet.start("entry-0")
    fleet.run(50)
    fleet.request_change("entry-0", "first", PutResource(Caller("app")))
    fleet.run(400)
    fleet.request_change("entry-0", "second", *changes)
    fleet.run(400)
    assert describe_outcome(fleet.answers["second"][0]) == outcome


def describe_outcome(outcome):
    match outcome:
        case ChangeAccepted(generation=generation, changed=changed):
            return f"accepted {generation}" + ("" if changed else " unchanged")
        case ChangeConflicts(conflicts=conflicts):
            found = conflicts[0]
            return f"conflict {found.key} {found.expected_revision} {found.actual_revision}"
        case ChangeInvalid(findings=findings):
            return f"invalid {findings[0].place.path}"
        case _:
            return type(outcome).__name__


def test_accepted_change_comes_into_force_on_every_instance():
    fleet = Fleet(seed=1)
    for number in range(6):
        fleet.start(f"entry-{number}")
    fleet.update_peers()
    fleet.run(100)
    fleet.request_change("entry-0", "c1", PutResource(Caller("portal", 2.0)))
    fleet.run(100)
    assert fleet.answers["c1"][0] == ChangeAccepted(1)
    assert set(map(tuple, fleet.in_force.values())) == {(0, 1)}
    fleet.deliver("entry-3", StatusRequested("s1"))
    fleet.run(50)
    assert [item.generation for item in fleet.statuses["s1"].instances] == [1] * 6
