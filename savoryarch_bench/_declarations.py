"""Declarations of the services, the search and the callers of a scenario."""

from immutables import Map

from savoryarch.model import (
    Caller,
    Declarations,
    Search,
    Service,
    ShardMap,
    Target,
)
from savoryarch_bench._model import ZONES, Scenario, ServiceGroup


def make_declarations(scenario: Scenario) -> Declarations:
    """Return the declarations that the instances of a scenario start with."""
    group = scenario.group
    services = [_make_service(group, number) for number in range(1, group.service_count + 1)]
    names = tuple(service.name for service in services)
    search = Search(
        group.name,
        (ShardMap(1, names),),
        group.deadline_ms,
        prefer=group.prefer,
        extra_load_share=scenario.extra_load_share,
    )
    callers = {stream.caller: Caller(stream.caller) for stream in scenario.streams}
    return Declarations(
        generation=1,
        services=Map({service.name: service for service in services}),
        searches=Map({search.name: search}),
        callers=Map(callers),
    )


def _make_service(group: ServiceGroup, number: int) -> Service:
    name = f"{group.name}-{number:02}"
    # The targets are simulated, so that nothing connects to this address.
    targets = tuple(
        Target(f"{name}-{replica + 1}", name, ZONES[replica % len(ZONES)], "127.0.0.1", 1)
        for replica in range(group.targets_per_service)
    )
    return Service(name, group.name, group.slots_per_target, group.connection_limit, targets)
