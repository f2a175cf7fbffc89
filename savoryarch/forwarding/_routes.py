"""Matches requests to routes, and distributes those of a split over its services."""

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
    """Return the routes of each host, sorted by descending length of their path prefix."""
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
    """Return the route of a host with the longest prefix of the path; None if no route matches.

    The port in `host` and the query in `path` are ignored.
    """
    text = path.partition(b"?")[0].decode("latin-1")
    for route in state.routes_by_host.get(host.partition(":")[0].lower(), ()):
        if text.startswith(route.path_prefix):
            return route
    return None


def select_services(
    state: ForwardingState, route: ForwardedRoute
) -> tuple[ForwardingState, tuple[str, ...]]:
    """Return the state and the services to which the next request of a route is sent.

    Notes
    -----
    A split selects the part with the greatest deficit, so that the distribution matches the
    weights after few requests. The selection ignores load: a part without capacity still receives
    its share of the requests.
    """
    match route.destination:
        case ToService(service=service):
            return state, (service,)
        case ToShards(services=services):
            return state, services
        case ToSplit(parts=parts):
            total = sum(part.weight for part in parts)
            deficits = state.split_deficits.get(route.name, Map())
            for part in parts:
                deficit = deficits.get(part.service, 0.0) + part.weight / total
                deficits = deficits.set(part.service, deficit)
            chosen = max(parts, key=lambda part: deficits[part.service]).service
            deficits = deficits.set(chosen, deficits[chosen] - 1.0)
            return replace(state, split_deficits=state.split_deficits.set(route.name, deficits)), (
                chosen,
            )
