"""Matches requests with routes and distributes them over the parts of a split."""

from immutables import Map

from savoryarch.forwarding._state import ForwardingState
from savoryarch.model.forwarding import (
    ForwardedRoute,
    ForwardingTable,
    ToService,
    ToShards,
    ToSplit,
)
from savoryarch.utils import replace


def index_routes(table: ForwardingTable) -> Map[str, tuple[ForwardedRoute, ...]]:
    """Return the routes by host, those with the longest path prefix first."""
    hosts: dict[str, list[ForwardedRoute]] = {}
    for route in table.routes:
        hosts.setdefault(route.host, []).append(route)
    return Map(
        {
            host: tuple(sorted(routes, key=lambda route: -len(route.path_prefix)))
            for host, routes in hosts.items()
        }
    )


def match_route(state: ForwardingState, host: str, path: bytes) -> ForwardedRoute | None:
    """Return the route of the host with the longest prefix of the path."""
    text = path.partition(b"?")[0].decode("latin-1")
    for route in state.hosts.get(host.partition(":")[0].lower(), ()):
        if text.startswith(route.path_prefix):
            return route
    return None


def pick_services(
    state: ForwardingState, route: ForwardedRoute
) -> tuple[ForwardingState, tuple[str, ...]]:
    """Return the services that a request of a route goes to.

    Notes
    -----
    The part of a split that is furthest behind its share is next, so that shares are right after
    few requests already. A part that has no room keeps its share.
    """
    match route.destination:
        case ToService(service=service):
            return state, (service,)
        case ToShards(services=services):
            return state, services
        case ToSplit(parts=parts):
            total = sum(part.weight for part in parts)
            turns = state.split_turns.get(route.name, Map())
            for part in parts:
                owed = turns.get(part.service, 0.0) + part.weight / total
                turns = turns.set(part.service, owed)
            chosen = max(parts, key=lambda part: turns[part.service]).service
            turns = turns.set(chosen, turns[chosen] - 1.0)
            return replace(state, split_turns=state.split_turns.set(route.name, turns)), (chosen,)
