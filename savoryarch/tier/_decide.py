"""Routes each event to the decisions that it concerns, and their informs to the others."""

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
    TargetEvidenceReceived,
    TimerFired,
    UnfinishedRequestsChanged,
)
from savoryarch.model.forwarding import (
    ForwardRequested,
)
from savoryarch.notices import OBSERVE_TIMER, TierObserved, decide_notices, observe
from savoryarch.orders import decide_orders
from savoryarch.orders import unfinished_requests as unfinished_orders
from savoryarch.quarantine import CrashReported, ReplyReported
from savoryarch.search import decide_search
from savoryarch.search import unfinished_requests as unfinished_searches
from savoryarch.shutdown import decide_shutdown
from savoryarch.targets import decide_targets
from savoryarch.tier._state import TierState
from savoryarch.utils import replace

Subject = Callable[[TierState, object, float], Decided[TierState]]


def decide_tier(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    """Decide on one event of an entry instance.

    Parameters
    ----------
    state : TierState
        Before the event.
    event : object
        Any event of `savoryarch.model`.
    now_ms : float
        Time of the event.

    Returns
    -------
    decided : Decided
        What the process has to carry out, in order. `DeclarationsInForce` is passed on as an
        effect as well, because the process connects to the declared targets.
    """
    pending = deque([event])
    effects: list[object] = []
    while pending:
        current = pending.popleft()
        if isinstance(current, DeclarationsInForce):
            effects.append(current)
        for subject in _subjects_of(current):
            decided = subject(state, current, now_ms)
            state = decided.state
            for effect in decided.effects:
                match effect:
                    case PublishEvent(event=informed):
                        pending.append(informed)
                    case RaiseNotice() | ClearNotice():
                        pending.append(effect)
                    case _:
                        effects.append(effect)
        if not pending and (changed := _unfinished_change(state)) is not None:
            state = replace(state, unfinished_ids=changed.request_ids)
            pending.append(changed)
    return Decided(state, tuple(effects))


def _subjects_of(event: object) -> tuple[Subject, ...]:
    match event:
        case (
            AttemptEnded(attempt_id=owned_id)
            | TimerFired(timer_id=owned_id)
            | StoreReplied(call_id=owned_id)
        ):
            owner = _SUBJECTS.get(owned_id.partition("/")[0])
            return (owner,) if owner else ()
        case SearchRequested():
            return (_search,)
        case RouteRequested():
            return (_orders,)
        case ForwardRequested():
            return (_forwarding,)
        case ChangeRequested() | StatusRequested():
            return (_configuration,)
        case RaiseNotice() | ClearNotice():
            return (_notices,)
        case TargetEvidenceReceived():
            return (_targets, _search, _orders, _forwarding)
        case UnfinishedRequestsChanged():
            return (_shutdown,)
        case _:
            return _ALL


def _unfinished_change(state: TierState) -> UnfinishedRequestsChanged | None:
    # Only the shutdown asks, so that requests do not pay for it in ordinary times.
    if state.shutdown.chart_state == _RUNNING:
        return None
    unfinished = (
        unfinished_searches(state.search)
        + unfinished_orders(state.orders)
        + unfinished_forwards(state.forwarding)
    )
    return None if unfinished == state.unfinished_ids else UnfinishedRequestsChanged(unfinished)


def _targets(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_targets(state.targets, event, now_ms)
    return Decided(replace(state, targets=decided.state), decided.effects)


def _search(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    if state.settings.forwarding.enabled and not _concerns_searches(state, event):
        return Decided(state)
    decided = decide_search(state.search, state.targets, event, now_ms)
    changed = replace(state, search=decided.state, targets=decided.targets)
    return Decided(changed, decided.effects)


def _orders(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_orders(state.orders, state.targets, event, now_ms)
    changed = replace(state, orders=decided.state, targets=decided.targets)
    return Decided(changed, decided.effects)


def _concerns_searches(state: TierState, event: object) -> bool:
    """Return whether an event of an instance that also forwards requests concerns its searches.

    A crash that a peer reports must be counted once: whoever never sends requests to the service
    knows no replies that speak for the request, and would quarantine innocent ones everywhere.
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


def _forwarding(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    if not state.settings.forwarding.enabled:
        return Decided(state)
    decided = decide_forwarding(state.forwarding, state.targets, event, now_ms)
    changed = replace(state, forwarding=decided.state, targets=decided.targets)
    return Decided(changed, decided.effects)


def _discovery(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_discovery(state.discovery, event, now_ms)
    return Decided(replace(state, discovery=decided.state), decided.effects)


def _configuration(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_configuration(state.configuration, event, now_ms)
    return Decided(replace(state, configuration=decided.state), decided.effects)


def _membership(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_membership(state.membership, event, now_ms)
    return Decided(replace(state, membership=decided.state), decided.effects)


def _notices(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    if event == TimerFired(OBSERVE_TIMER):
        event = _observe(state, now_ms)
    decided = decide_notices(state.notices, event, now_ms)
    return Decided(replace(state, notices=decided.state), decided.effects)


def _observe(state: TierState, now_ms: float) -> TierObserved:
    zones = state.membership.unreachable_zones
    return observe(state.targets, state.search.quarantine, zones, now_ms)


def _shutdown(state: TierState, event: object, now_ms: float) -> Decided[TierState]:
    decided = decide_shutdown(state.shutdown, event, now_ms)
    return Decided(replace(state, shutdown=decided.state), decided.effects)


_RUNNING = "serving"
# Targets come first: the other decisions choose between them.
_SUBJECTS: dict[str, Subject] = {
    "targets": _targets,
    "search": _search,
    "orders": _orders,
    "forwarding": _forwarding,
    "discovery": _discovery,
    "configuration": _configuration,
    "membership": _membership,
    "shutdown": _shutdown,
    "notices": _notices,
}
_ALL = tuple(_SUBJECTS.values())
