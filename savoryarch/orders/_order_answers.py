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
)
from savoryarch.orders._claims import recorded_answer
from savoryarch.orders._state import Order, Turn


def is_too_late(order: Order, now_ms: float) -> bool:
    """Return whether the outcome is due; checked immediately before each send."""
    return now_ms >= order.deadline_at_ms


def answer_done(turn: Turn, order: Order, cause: object) -> Turn:
    """Answer with the reply of the target."""
    assert isinstance(cause, RouteReturned)
    return _answer(turn, order, RouteDone(cause.status, cause.body))


def answer_unknown(turn: Turn, order: Order, cause: object) -> Turn:
    """Answer that the request may have run."""
    return _answer(turn, order, RouteOutcomeUnknown(f"it may have run: {order.detail}"))


def answer_recorded(turn: Turn, order: Order, cause: object) -> Turn:
    """Answer with the recorded outcome."""
    assert isinstance(cause, ClaimOutcomeFound)
    match cause.state:
        case ClaimDone() as done:
            return _answer(turn, order, recorded_answer(done))
        case ClaimOutcomeUnknown(detail=detail):
            return _answer(turn, order, RouteOutcomeUnknown(f"it may have run: {detail}"))
        case ClaimOpen() | ClaimNotRun():
            return _answer(turn, order, RouteOutcomeUnknown("it may have run"))


def answer_held(turn: Turn, order: Order, cause: object) -> Turn:
    """Answer that another request with the key may have run."""
    detail = "an earlier request with this key has no recorded outcome"
    return _answer(turn, order, RouteOutcomeUnknown(detail))


def refuse_claim(turn: Turn, order: Order, cause: object) -> Turn:
    """Refuse a request whose key could not be claimed."""
    unavailable = RefusalReason.STORE_UNAVAILABLE
    match cause:
        case ClaimKeyReused():
            reason, detail = RefusalReason.KEY_REUSED, "the key was used with another body"
            return _answer(turn, order, Refused(reason, detail, not_run=False))
        case ClaimKeyExpired():
            reason, detail = RefusalReason.KEY_EXPIRED, "outcomes of its time are no longer kept"
            return _answer(turn, order, Refused(reason, detail, not_run=False))
        case ClaimBucketFull(key_unused=key_unused):
            detail = "there is no room to record more outcomes"
            refused = Refused(RefusalReason.OVERLOADED, detail, key_unused or order.key_unused)
            return _answer(turn, order, refused)
        case ClaimFailed(detail=detail):
            detail = f"the key could not be claimed: {detail}"
            return _answer(turn, order, Refused(unavailable, detail, order.key_unused))
        case _:
            detail = "the key could not be claimed in time"
            return _answer(turn, order, Refused(unavailable, detail, order.key_unused))


def refuse_not_run(turn: Turn, order: Order, cause: object) -> Turn:
    """Refuse a request that was not run."""
    if order.may_have_run:
        return _answer(turn, order, RouteOutcomeUnknown(f"it may have run: {order.detail}"))
    if order.sent:
        refused = Refused(RefusalReason.OVERLOADED, f"not run: {order.detail}", not_run=True)
    elif is_too_late(order, turn.now_ms):
        detail = "the deadline passed before it could be sent"
        refused = Refused(RefusalReason.DEADLINE_TOO_SHORT, detail, not_run=True)
    else:
        refused = Refused(RefusalReason.NO_TARGET, "it was given up before a send", not_run=True)
    return _answer(turn, order, refused)


def _answer(turn: Turn, order: Order, outcome: RouteOutcome) -> Turn:
    turn = turn.emit(AnswerRoute(order.request_id, outcome))
    match outcome:
        case Refused(reason=reason):
            return turn.emit(Count("refusals", reason.value))
        case RouteOutcomeUnknown(detail=detail):
            fields = (("request_id", order.request_id), ("detail", detail))
            return turn.emit(Count("orders", "unknown"), LogEvent("order_unknown", fields))
        case RouteDone(recorded=recorded):
            return turn.emit(Count("orders", "recorded" if recorded else "done"))
