"""Decides whether a request is forwarded, and to which services."""

import math

from immutables import Map

from savoryarch.forwarding._budgets import earn_extra
from savoryarch.forwarding._routes import match_route, pick_services
from savoryarch.forwarding._state import Forward, ForwardingState, SubRequest
from savoryarch.forwarding._turn import Turn
from savoryarch.model import (
    RefusalReason,
)
from savoryarch.model.forwarding import (
    ForwardedRoute,
    ForwardRequested,
    ToService,
    ToShards,
)
from savoryarch.quarantine import Quarantined, check_request, fingerprint_request
from savoryarch.targets import TargetsState, has_serving_target
from savoryarch.utils import replace

PRIORITY_STEP = 0.15  # of the overload ratio, per rank below the most urgent
MIN_PRIORITY_RATIO = 0.4  # of the overload ratio; the least urgent routes are not starved
_NO_ROUTE = ForwardedRoute("", "", "/", ToService(""), True, 1000.0, 1000.0, 1, 0)
_ROUNDING = 1e-9  # keeps 0.9 of 10 shards at 9


def make_forward(
    state: ForwardingState, targets: TargetsState, asked: ForwardRequested, now_ms: float
) -> tuple[Turn, RefusalReason | None]:
    """Make the state of a request, and tell why it is turned away, if it is."""
    reason = None
    request = asked.request
    route = match_route(state, request.host, request.path)
    if state.stopping:
        reason = RefusalReason.STOPPING
    elif state.table is None:
        reason = RefusalReason.NO_CONFIGURATION
    elif route is None:
        reason = RefusalReason.UNKNOWN_ROUTE
    route = route or _NO_ROUTE
    services: tuple[str, ...] = ()
    if reason is None:
        state, services = pick_services(state, route)
        state = _note_wait(state, route, asked)
    forward = _make(state, route, services, asked, now_ms)
    sharing = max(targets.live_instances, targets.max_listed_instances)
    for service in services:
        budget = earn_extra(state, service, sharing, now_ms)
        state = replace(state, budgets=state.budgets.set(service, budget))
    turn = Turn(state, targets, forward, now_ms)
    return turn, reason or _turn_away(turn, services)


def _make(
    state: ForwardingState,
    route: ForwardedRoute,
    services: tuple[str, ...],
    asked: ForwardRequested,
    now_ms: float,
) -> Forward:
    settings = state.settings
    left_ms = route.timeout_ms
    if asked.client_remaining_ms is not None:
        left_ms = min(left_ms, asked.client_remaining_ms)
    deadline_at_ms = now_ms + max(0.0, left_ms - settings.deadline_margin_ms)
    objective_ms = route.objective_ms - settings.travel_ms - _elapsed_ms(state, route, asked)
    request = asked.request
    return Forward(
        asked=asked,
        route=route,
        asked_at_ms=now_ms,
        objective_at_ms=min(now_ms + objective_ms, deadline_at_ms),
        deadline_at_ms=deadline_at_ms,
        fingerprint=fingerprint_request(request.path.decode("latin-1"), request.body),
        services=services,
        pieces=Map({service: SubRequest(service) for service in services}),
        required=_required(route, len(services)),
    )


def _required(route: ForwardedRoute, count: int) -> int:
    match route.destination:
        case ToShards(minimum_coverage=minimum_coverage):
            return max(1, math.ceil(minimum_coverage * count - _ROUNDING))
        case _:
            return count


def _note_wait(
    state: ForwardingState, route: ForwardedRoute, asked: ForwardRequested
) -> ForwardingState:
    usual_ms = state.usual_wait_ms.get(route.name, 0.0)
    if asked.client_remaining_ms is None or asked.client_remaining_ms <= usual_ms:
        return state
    waits = state.usual_wait_ms.set(route.name, asked.client_remaining_ms)
    return replace(state, usual_wait_ms=waits)


def _elapsed_ms(state: ForwardingState, route: ForwardedRoute, asked: ForwardRequested) -> float:
    """Return how long ago the client's first attempt was, if its objective can still be met."""
    usual_ms = state.usual_wait_ms.get(route.name)
    if usual_ms is None or asked.client_remaining_ms is None:
        return 0.0
    elapsed_ms = usual_ms - asked.client_remaining_ms
    return elapsed_ms if elapsed_ms < route.objective_ms - state.settings.travel_ms else 0.0


def _turn_away(turn: Turn, services: tuple[str, ...]) -> RefusalReason | None:
    """Return why a request cannot be served now.

    Answers a load beyond the targets' slots: a request to shards is refused at once when more
    shards are overloaded than its answer may leave out, instead of losing parts of every request.
    """
    forward, state = turn.forward, turn.state
    verdict = check_request(state.quarantine, forward.fingerprint, turn.now_ms)
    if isinstance(verdict, Quarantined):
        return RefusalReason.QUARANTINED
    spare = len(services) - forward.required
    unserved = [
        service
        for service in services
        if not has_serving_target(turn.targets, service, frozenset(), None)
    ]
    if len(unserved) > spare:
        return RefusalReason.NO_TARGET
    busy = sum(
        1 for service in services if service not in unserved and _is_overloaded(turn, service)
    )
    return RefusalReason.OVERLOADED if busy + len(unserved) > spare else None


def _is_overloaded(turn: Turn, service: str) -> bool:
    targets = turn.targets
    in_flight = len(turn.state.waiting.get(service, ()))
    slots = 0
    for target_id in targets.services[service].target_ids:
        in_flight += targets.usages[target_id].in_flight
        slots += targets.records[target_id].slots
    rank = max(MIN_PRIORITY_RATIO, 1.0 - PRIORITY_STEP * turn.forward.route.priority)
    share = max(1.0, slots / targets.live_instances)
    return in_flight >= turn.state.settings.overload_ratio * rank * share
