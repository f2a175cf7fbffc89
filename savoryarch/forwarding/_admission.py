"""Decides whether a request is admitted, and to which services it is forwarded."""

import math

from immutables import Map

from savoryarch.forwarding._budgets import refill_budget
from savoryarch.forwarding._context import DecisionContext
from savoryarch.forwarding._routes import match_route, select_services
from savoryarch.forwarding._state import NEVER_MS, Forward, ForwardingState, SubRequest
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
from savoryarch.targets import TargetsState, measure_load, pause_ends_at_ms
from savoryarch.utils import replace

# The bound on the load of a service is multiplied by a priority factor: 1 for the most urgent
# routes, and less by this step for each priority below them.
PRIORITY_STEP = 0.15
# Share of failed attempts at a target above which an instance keeps to its share of the slots.
MAX_SHARING_FAILURE_SHARE = 0.1
MAX_LOGGED_SERVICES = 4  # the shards of a search are mostly overloaded alike
MIN_PRIORITY_FACTOR = 0.4  # so that the least urgent routes are not starved
# Stands for the route of a request that matches none; such a request is always refused.
_NO_ROUTE = ForwardedRoute("", "", "/", ToService(""), True, 1000.0, 1000.0, 1, 0)
_ROUNDING = 1e-9  # keeps 0.9 of 10 shards at 9 in spite of rounding errors


def admit_request(
    state: ForwardingState, targets: TargetsState, event: ForwardRequested, now_ms: float
) -> tuple[DecisionContext, RefusalReason | None]:
    """Return the context of a new request, and the reason to refuse it; None if it is admitted.

    The context's state includes the refilled budgets and the longest remaining time that clients
    have sent.
    """
    reason = None
    request = event.request
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
        state, services = select_services(state, route)
        state = _record_client_wait(state, route, event)
    forward = _make_forward(state, route, services, event, now_ms)
    sharing_instances = max(targets.live_instances, targets.max_listed_instances)
    for service in services:
        budget = refill_budget(state, service, sharing_instances, now_ms)
        state = replace(state, budgets=state.budgets.set(service, budget))
    context = DecisionContext(state, targets, forward, now_ms)
    return context, reason or _find_rejection_reason(context, services)


def _make_forward(
    state: ForwardingState,
    route: ForwardedRoute,
    services: tuple[str, ...],
    event: ForwardRequested,
    now_ms: float,
) -> Forward:
    """Return the state of a new request, with its deadline and its latency objective."""
    settings = state.settings
    remaining_ms = route.timeout_ms
    if event.client_remaining_ms is not None:
        remaining_ms = min(remaining_ms, event.client_remaining_ms)
    deadline_at_ms = now_ms + max(0.0, remaining_ms - settings.deadline_margin_ms)
    objective_ms = route.objective_ms - settings.travel_ms - _elapsed_ms(state, route, event)
    request = event.request
    return Forward(
        event=event,
        route=route,
        received_at_ms=now_ms,
        objective_at_ms=min(now_ms + objective_ms, deadline_at_ms),
        deadline_at_ms=deadline_at_ms,
        fingerprint=fingerprint_request(request.path.decode("latin-1"), request.body),
        services=services,
        sub_requests=Map({service: SubRequest(service) for service in services}),
        required_count=_required_count(route, len(services)),
    )


def _required_count(route: ForwardedRoute, count: int) -> int:
    """Return how many of `count` sub-requests an answer needs."""
    match route.destination:
        case ToShards(minimum_coverage=minimum_coverage):
            return max(1, math.ceil(minimum_coverage * count - _ROUNDING))
        case _:
            return count


def _record_client_wait(
    state: ForwardingState, route: ForwardedRoute, event: ForwardRequested
) -> ForwardingState:
    """Update the longest remaining time that a client of the route has sent."""
    max_wait_ms = state.max_client_wait_ms.get(route.name, 0.0)
    if event.client_remaining_ms is None or event.client_remaining_ms <= max_wait_ms:
        return state
    waits = state.max_client_wait_ms.set(route.name, event.client_remaining_ms)
    return replace(state, max_client_wait_ms=waits)


def _elapsed_ms(state: ForwardingState, route: ForwardedRoute, event: ForwardRequested) -> float:
    """Estimate the time since the client's first attempt; 0 if the objective cannot be met.

    The latency objective counts from the client's first attempt. Retries send less remaining time
    than first attempts, whose remaining time is the longest that was seen.
    """
    max_wait_ms = state.max_client_wait_ms.get(route.name)
    if max_wait_ms is None or event.client_remaining_ms is None:
        return 0.0
    elapsed_ms = max_wait_ms - event.client_remaining_ms
    return elapsed_ms if elapsed_ms < route.objective_ms - state.settings.travel_ms else 0.0


def _find_rejection_reason(
    context: DecisionContext, services: tuple[str, ...]
) -> RefusalReason | None:
    """Return why a request cannot be served now; None if it can.

    This bounds the load beyond the targets' slots. A request to shards is refused immediately when
    more shards are overloaded than its answer may leave out. Admitting it would cost every request
    some of its shards instead of refusing a few requests.
    """
    forward, state = context.forward, context.state
    verdict = check_request(state.quarantine, forward.fingerprint, context.now_ms)
    if isinstance(verdict, Quarantined):
        return RefusalReason.QUARANTINED
    allowed_missing = len(services) - forward.required_count
    served_at_ms = [pause_ends_at_ms(context.targets, service) for service in services]
    if served_at_ms.count(NEVER_MS) > allowed_missing:
        return RefusalReason.NO_TARGET
    unserved = sum(
        1
        for service, at_ms in zip(services, served_at_ms, strict=True)
        if at_ms > forward.objective_at_ms or _is_overloaded(context, service)
    )
    return RefusalReason.OVERLOADED if unserved > allowed_missing else None


def format_load(context: DecisionContext) -> str:
    """Return the load of overloaded services for the log, ``SERVICE:OWN+WAITING+OTHERS/SLOTS``."""
    names = [name for name in context.forward.services if _is_overloaded(context, name)]
    return ",".join(_format_service_load(context, name) for name in names[:MAX_LOGGED_SERVICES])


def _format_service_load(context: DecisionContext, service: str) -> str:
    load = measure_load(context.targets, service, context.now_ms)
    waiting = len(context.state.waiting.get(service, ()))
    others = f"{load.others_in_flight:.0f}" if load.reported_slots else "unknown"
    return f"{service}:{load.own_in_flight}+{waiting}+{others}/{load.slots}"


def _is_overloaded(context: DecisionContext, service: str) -> bool:
    """Return whether the requests in flight and waiting for a service have reached the bound.

    The bound is the overload ratio and the factor for the priority of the route, times the slots
    that this instance may use. That is its share of the targets' slots while some of them fail or
    refuse requests. Otherwise it may use what the other instances leave free, as far as the targets
    report it.

    Load pattern: the load balancer sends the requests of many instances to one, for example after
    all instances lost power, until the others have answered its checks again.
    """
    load = measure_load(context.targets, service, context.now_ms)
    in_flight = load.own_in_flight + len(context.state.waiting.get(service, ()))
    priority_factor = max(MIN_PRIORITY_FACTOR, 1.0 - PRIORITY_STEP * context.forward.route.priority)
    ratio = context.state.settings.overload_ratio * priority_factor
    instances = context.targets.live_instances
    if in_flight < ratio * max(1.0, load.slots / instances):
        return False
    if load.failure_share > MAX_SHARING_FAILURE_SHARE:
        return True
    usable_slots = load.reported_slots + (load.slots - load.reported_slots) / instances
    return in_flight + load.others_in_flight >= ratio * usable_slots
