"""Declarations of a shape."""

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
    """Declare the services, the search and the callers of a scenario."""
    shape = scenario.group
    services = [_make_service(shape, number) for number in range(1, shape.service_count + 1)]
    names = tuple(service.name for service in services)
    search = Search(
        shape.name,
        (ShardMap(1, names),),
        shape.deadline_ms,
        prefer=shape.prefer,
        extra_load_share=scenario.extra_load_share,
    )
    callers = {stream.caller: Caller(stream.caller) for stream in scenario.streams}
    return Declarations(
        generation=1,
        services=Map({service.name: service for service in services}),
        searches=Map({search.name: search}),
        callers=Map(callers),
    )


def _make_service(shape: ServiceGroup, number: int) -> Service:
    name = f"{shape.name}-{number:02}"
    targets = tuple(
        Target(f"{name}-{replica + 1}", name, ZONES[replica % len(ZONES)], "127.0.0.1", 1)
        for replica in range(shape.targets_per_service)
    )
    return Service(name, shape.name, shape.slots_per_target, shape.connection_limit, targets)
