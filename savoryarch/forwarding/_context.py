"""The context of a decision on one forwarded request: state, targets and effects so far."""

from dataclasses import dataclass

from savoryarch.forwarding._state import Forward, ForwardingState, SubRequest
from savoryarch.model import DecidedOnTargets, SetTimer
from savoryarch.targets import TargetsState
from savoryarch.utils import fast_init, replace

CHECK_TIMER = "forwarding/due/"
CAPACITY_TIMER = "forwarding/room/"

DecidedForward = DecidedOnTargets[ForwardingState, TargetsState]


@fast_init
@dataclass(frozen=True, slots=True)
class DecisionContext:
    """The working record of one decision on one request.

    Each step returns a changed copy. The last copy is committed to the state.

    Parameters
    ----------
    state : ForwardingState
        State of all requests. Its copy of `forward` is stale until the context is committed.
    targets : TargetsState
        State of all targets.
    forward : Forward
        The request that the decision is about.
    now_ms : float
        Time of the event, on the clock of the process.
    effects : tuple of object
        Effects of the steps so far, in the order in which they are performed.
    """

    state: ForwardingState
    targets: TargetsState
    forward: Forward
    now_ms: float
    effects: tuple[object, ...] = ()


def emit(context: DecisionContext, *effects: object) -> DecisionContext:
    """Append effects to those of the context."""
    return DecisionContext(
        context.state, context.targets, context.forward, context.now_ms, context.effects + effects
    )


def put_sub_request(context: DecisionContext, sub_request: SubRequest) -> DecisionContext:
    """Replace the sub-request of the same service in the request."""
    forward = replace(
        context.forward,
        sub_requests=context.forward.sub_requests.set(sub_request.service, sub_request),
    )
    return DecisionContext(context.state, context.targets, forward, context.now_ms, context.effects)


def schedule_check(context: DecisionContext, at_ms: float) -> DecisionContext:
    """Set the timer of the request to `at_ms`, unless it is due at that time or earlier.

    A timer that is due earlier stays, since each check schedules the next one.
    """
    if at_ms >= context.forward.next_check_at_ms:
        return context
    context = replace(context, forward=replace(context.forward, next_check_at_ms=at_ms))
    return emit(context, SetTimer(CHECK_TIMER + context.forward.request_id, at_ms))
