"""Answers callers with the outcomes of their orders."""

from savoryarch.model import (
    AnswerRoute,
    ClaimBucketFull,
    ClaimDone,
    ClaimFailed,
    ClaimKeyExpired,
    ClaimKeyReused,
    ClaimNotRun,
    ClaimOpen,
    ClaimOutcomeFound,
    ClaimOutcomeUnknown,
    Count,
    LogEvent,
    RefusalReason,
    Refused,
    RouteDone,
    RouteOutcome,
    RouteOutcomeUnknown,
    RouteReturned,
    ShutdownTimeExpired,
)
from savoryarch.orders._claims import make_recorded_answer
from savoryarch.orders._state import DecisionContext, Order


def is_too_late(order: Order, now_ms: float) -> bool:
    """Return whether the deadline of an order has passed; checked right before each attempt."""
    return now_ms >= order.deadline_at_ms


def answer_done(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Answer with the target's reply, which is the `cause`."""
    assert isinstance(cause, RouteReturned)
    return _answer(context, order, RouteDone(cause.status, cause.body))


def answer_unknown(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Answer that the request may have run."""
    return _answer(context, order, RouteOutcomeUnknown(f"it may have run: {order.detail}"))


def answer_recorded(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Answer with the recorded outcome in the `cause`, a `ClaimOutcomeFound`."""
    assert isinstance(cause, ClaimOutcomeFound)
    match cause.state:
        case ClaimDone() as done:
            return _answer(context, order, make_recorded_answer(done))
        case ClaimOutcomeUnknown(detail=detail):
            return _answer(context, order, RouteOutcomeUnknown(f"it may have run: {detail}"))
        case ClaimOpen() | ClaimNotRun():
            return _answer(context, order, RouteOutcomeUnknown("it may have run"))


def answer_held(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Answer that another request with the same key may have run."""
    detail = "an earlier request with this key has no recorded outcome"
    return _answer(context, order, RouteOutcomeUnknown(detail))


def refuse_claim(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Refuse a request whose key could not be claimed, for the reason in the `cause`.

    The refusal says that the request was not run only if the key was seen unused.
    """
    unavailable = RefusalReason.STORE_UNAVAILABLE
    match cause:
        case ClaimKeyReused():
            reason, detail = RefusalReason.KEY_REUSED, "the key was used with another body"
            return _answer(context, order, Refused(reason, detail, not_run=False))
        case ClaimKeyExpired():
            reason, detail = RefusalReason.KEY_EXPIRED, "outcomes of its time are no longer kept"
            return _answer(context, order, Refused(reason, detail, not_run=False))
        case ClaimBucketFull(key_unused=key_unused):
            detail = "there is no room to record more outcomes"
            refused = Refused(RefusalReason.OVERLOADED, detail, key_unused or order.key_unused)
            return _answer(context, order, refused)
        case ClaimFailed(detail=detail):
            detail = f"the key could not be claimed: {detail}"
            return _answer(context, order, Refused(unavailable, detail, order.key_unused))
        case ShutdownTimeExpired():
            detail = "the instance stops, and the key is not claimed yet"
            refused = Refused(RefusalReason.STOPPING, detail, order.key_unused)
            return _answer(context, order, refused)
        case _:
            detail = "the key could not be claimed in time"
            return _answer(context, order, Refused(unavailable, detail, order.key_unused))


def refuse_not_run(context: DecisionContext, order: Order, cause: object) -> DecisionContext:
    """Refuse a request that no target ran, or answer that it may have run if one did."""
    if order.may_have_run:
        return _answer(context, order, RouteOutcomeUnknown(f"it may have run: {order.detail}"))
    if isinstance(cause, ShutdownTimeExpired):
        refused = Refused(RefusalReason.STOPPING, "the instance stops", not_run=True)
    elif order.attempts_sent:
        refused = Refused(RefusalReason.OVERLOADED, f"not run: {order.detail}", not_run=True)
    elif is_too_late(order, context.now_ms):
        detail = "the deadline passed before it could be sent"
        refused = Refused(RefusalReason.DEADLINE_TOO_SHORT, detail, not_run=True)
    else:
        refused = Refused(RefusalReason.NO_TARGET, "it was given up before a send", not_run=True)
    return _answer(context, order, refused)


def _answer(context: DecisionContext, order: Order, outcome: RouteOutcome) -> DecisionContext:
    context = context.emit(AnswerRoute(order.request_id, outcome))
    match outcome:
        case Refused(reason=reason):
            return context.emit(Count("refusals", reason.value))
        case RouteOutcomeUnknown(detail=detail):
            fields = (("request_id", order.request_id), ("detail", detail))
            return context.emit(Count("orders", "unknown"), LogEvent("order_unknown", fields))
        case RouteDone(recorded=recorded):
            return context.emit(Count("orders", "recorded" if recorded else "done"))
