"""Routes each event, and each event that a component publishes, to the components it concerns."""

from collections import deque
from collections.abc import Callable

from savoryarch.configuration import decide_configuration
from savoryarch.discovery import decide_discovery
from savoryarch.forwarding import decide_forwarding, unfinished_forwards
from savoryarch.membership import decide_membership
from savoryarch.model import (
    AttemptEnded,
    ChangeRequested,
    ClearNotice,
    Decided,
    DeclarationsInForce,
    PeerMessageReceived,
    PublishEvent,
    RaiseNotice,
    RouteRequested,
    SearchRequested,
    StatusRequested,
    StoreReplied,
    TargetAdvised,
    TargetEvidenceReceived,
    TimerFired,
    UnfinishedRequestsChanged,
)
from savoryarch.model.forwarding import (
    ForwardRequested,
)
from savoryarch.notices import OBSERVE_TIMER, TierObserved, decide_notices, observe_tier
from savoryarch.orders import decide_orders
from savoryarch.orders import unfinished_requests as unfinished_orders
from savoryarch.quarantine import CrashReported, ReplyReported
from savoryarch.search import decide_search
from savoryarch.search import unfinished_requests as unfinished_searches
from savoryarch.shutdown import decide_shutdown
from savoryarch.targets import decide_targets
from savoryarch.tier._state import TierState
from savoryarch.utils import replace

ComponentDecision = Callable[[TierState, object, float], Decided[TierState]]


def decide_tier(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    """Decide on one event of an entry instance.

    Parameters
    ----------
    state : TierState
        State before the event.
    event : object
        Any event of `savoryarch.model`.
    now_ms : float
        Time of the event on the process clock.

    Returns
    -------
    decided : Decided
        The new state and the effects that the process has to perform, in order.
        `DeclarationsInForce` is passed on as an effect as well, because the process connects to
        the declared targets.
    """
    pending = deque([event])
    effects: list[object] = []
    while pending:
        current = pending.popleft()
        if isinstance(current, DeclarationsInForce):
            effects.append(current)
        for decide_component in _components_for(current):
            decided = decide_component(state, current, now_ms)
            state = decided.state
            for effect in decided.effects:
                match effect:
                    case PublishEvent(event=published):
                        pending.append(published)
                    case RaiseNotice() | ClearNotice():
                        pending.append(effect)
                    case _:
                        effects.append(effect)
        if not pending and (changed := _unfinished_change(state)) is not None:
            state = replace(state, unfinished_request_ids=changed.request_ids)
            pending.append(changed)
    return Decided(state, tuple(effects))


def _components_for(event: object) -> tuple[ComponentDecision, ...]:
    """Return the decisions of the components that an event concerns.

    Ids of attempts, timers and store calls begin with the name of the component that owns them.
    """
    match event:
        case (
            AttemptEnded(attempt_id=qualified_id)
            | TimerFired(timer_id=qualified_id)
            | StoreReplied(call_id=qualified_id)
        ):
            owner = _COMPONENTS.get(qualified_id.partition("/")[0])
            return (owner,) if owner else ()
        case SearchRequested():
            return (_dispatch_to_search,)
        case RouteRequested():
            return (_dispatch_to_orders,)
        case ForwardRequested():
            return (_dispatch_to_forwarding,)
        case ChangeRequested() | StatusRequested():
            return (_dispatch_to_configuration,)
        case RaiseNotice() | ClearNotice():
            return (_dispatch_to_notices,)
        case TargetEvidenceReceived():
            return (
                _dispatch_to_targets,
                _dispatch_to_search,
                _dispatch_to_orders,
                _dispatch_to_forwarding,
            )
        case TargetAdvised():
            return (_dispatch_to_targets, _dispatch_to_forwarding)
        case UnfinishedRequestsChanged():
            return (_dispatch_to_shutdown,)
        case _:
            return _ALL_COMPONENTS


def _unfinished_change(state: TierState) -> UnfinishedRequestsChanged | None:
    """Return the event that reports the unfinished requests to the shutdown, if they changed."""
    # Computed only during a shutdown, because it takes time in proportion to the requests.
    if state.shutdown.chart_state == _SERVING:
        return None
    unfinished = (
        unfinished_searches(state.search)
        + unfinished_orders(state.orders)
        + unfinished_forwards(state.forwarding)
    )
    return (
        None
        if unfinished == state.unfinished_request_ids
        else UnfinishedRequestsChanged(unfinished)
    )


def _dispatch_to_targets(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_targets(state.targets, event, now_ms)
    return Decided(replace(state, targets=decided.state), decided.effects)


def _dispatch_to_search(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    if state.settings.forwarding.enabled and not _concerns_search(state, event):
        return Decided(state)
    decided = decide_search(state.search, state.targets, event, now_ms)
    next_state = replace(state, search=decided.state, targets=decided.targets)
    return Decided(next_state, decided.effects)


def _dispatch_to_orders(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_orders(state.orders, state.targets, event, now_ms)
    next_state = replace(state, orders=decided.state, targets=decided.targets)
    return Decided(next_state, decided.effects)


def _concerns_search(state: TierState, event: object) -> bool:
    """Return whether an event concerns the searches of an instance that also forwards requests.

    A crash that a peer reports must be counted by one component only, the one that sends requests
    to the service. A component that sends none has no replies that show a request to be harmless,
    and would quarantine harmless requests on all instances.
    """
    match event:
        case PeerMessageReceived(
            message=CrashReported(service=service) | ReplyReported(service=service)
        ):
            return any(
                service in shard_map.services
                for search in state.search.declarations.searches.values()
                for shard_map in search.shard_maps
            )
        case _:
            return True


def _dispatch_to_forwarding(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    if not state.settings.forwarding.enabled:
        return Decided(state)
    decided = decide_forwarding(state.forwarding, state.targets, event, now_ms)
    next_state = replace(state, forwarding=decided.state, targets=decided.targets)
    return Decided(next_state, decided.effects)


def _dispatch_to_discovery(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_discovery(state.discovery, event, now_ms)
    return Decided(replace(state, discovery=decided.state), decided.effects)


def _dispatch_to_configuration(
    state: TierState, event: object, now_ms: float
) -> Decided[TierState]:
    decided = decide_configuration(state.configuration, event, now_ms)
    return Decided(replace(state, configuration=decided.state), decided.effects)


def _dispatch_to_membership(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_membership(state.membership, event, now_ms)
    return Decided(replace(state, membership=decided.state), decided.effects)


def _dispatch_to_notices(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    if event == TimerFired(OBSERVE_TIMER):
        event = _observe_components(state, now_ms)
    decided = decide_notices(state.notices, event, now_ms)
    return Decided(replace(state, notices=decided.state), decided.effects)


def _observe_components(state: TierState, now_ms: float) -> TierObserved:
    zones = state.membership.unreachable_zones
    return observe_tier(state.targets, state.search.quarantine, zones, now_ms)


def _dispatch_to_shutdown(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_shutdown(state.shutdown, event, now_ms)
    return Decided(replace(state, shutdown=decided.state), decided.effects)


_SERVING = "serving"
# Targets come first, because the other components choose between them.
_COMPONENTS: dict[str, ComponentDecision] = {
    "targets": _dispatch_to_targets,
    "search": _dispatch_to_search,
    "orders": _dispatch_to_orders,
    "forwarding": _dispatch_to_forwarding,
    "discovery": _dispatch_to_discovery,
    "configuration": _dispatch_to_configuration,
    "membership": _dispatch_to_membership,
    "shutdown": _dispatch_to_shutdown,
    "notices": _dispatch_to_notices,
}
_ALL_COMPONENTS = tuple(_COMPONENTS.values())
