"""The guards of orders: what stands in their place when they are taken away."""

from dataclasses import replace

from savoryarch.model import (
    ClaimFailed,
    ClaimGranted,
    ClaimNotRun,
    ClaimOpen,
    KeyAbsent,
    NotSent,
    RouteReturned,
    StoreUnreachable,
    SwapConflict,
    Swapped,
)
from savoryarch.orders import _claims, _decide, _order
from savoryarch.orders.tests.test_load import check_load
from savoryarch.orders.tests.test_orders_properties import Chaos, check
from savoryarch.orders.tests.test_scenarios import BY_NAME, play
from tests.guard import SubjectGuard

SEEDS = range(40)


def run_proof(name: str) -> None:
    """Run a proof; raises AssertionError if it fails."""
    match name:
        case "random":
            for seed in SEEDS:
                chaos = Chaos(seed)
                chaos.run()
                check(chaos)
        case "load":
            check_load()
        case _:
            play(BY_NAME[name])


def _always(*_) -> bool:
    return True


def _never(*_) -> bool:
    return False


def _conflict_is_success(turn, call_id, reply):
    if isinstance(reply, SwapConflict):
        reply = Swapped(reply.key, reply.revision)
    return _DECIDE_REPLY(turn, call_id, reply)


def _lost_reply_is_success(turn, call_id, reply):
    bucket = turn.state.buckets.get(int(call_id.split("/")[1]))
    if isinstance(reply, StoreUnreachable) and bucket is not None and bucket.swapping is not None:
        reply = Swapped("", bucket.revision + 1)
    return _DECIDE_REPLY(turn, call_id, reply)


def _outage_is_absence(turn, call_id, reply):
    bucket = turn.state.buckets[int(call_id.split("/")[1])]
    if isinstance(reply, StoreUnreachable) and bucket.state == "reading":
        reply = KeyAbsent("", 0)
    return _DECIDE_REPLY(turn, call_id, reply)


def _every_failure_is_not_run(turn, order, reply):
    if not isinstance(reply, RouteReturned):
        reply = NotSent("taken for not sent")
    return _DECIDE_ATTEMPT_REPLY(turn, order, reply)


def _grant_failed(turn, claimant, resolution):
    if isinstance(resolution, ClaimFailed):
        resolution = ClaimGranted()
    return _DELIVER_RESOLUTION(turn, claimant, resolution)


def _say_unused(turn, order, cause):
    return _REFUSE_CLAIM(turn, replace(order, key_unused=True), cause)


def _record_nothing(turn, settled):
    return turn


def _settle_as_not_run(turn, order, cause):
    return _order._settle(turn, order, ClaimNotRun())


def _settle_any(value, settled, settings):
    return value if settled == value.claims.get(settled.digest) else _PUT_CLAIM(value, settled)


def _same_fingerprint(body):
    return b""


def _free_if_open(held):
    return isinstance(held.state, ClaimOpen | ClaimNotRun)


def _no_claims(*_):
    return ()


def _unpaced(turn):
    return replace(turn, state=replace(turn.state, write_tokens=1e9))


_DECIDE_REPLY = _decide.decide_reply
_DECIDE_ATTEMPT_REPLY = _decide.decide_attempt_reply
_DELIVER_RESOLUTION = _decide.deliver_resolution
_REFUSE_CLAIM = _order._ACTIONS["refuse_claim"]
_PUT_CLAIM = _claims.put_claim


def _acting(**actions):
    return {**_order._ACTIONS, **actions}


AT_MOST_ONCE = "A non-idempotent request runs at most once."
NOT_RUN = "A refusal that says 'not run' is true."
WHOLE = "Every caller receives the whole answer to its own request; a resend gets the outcome."
BOUNDED = "The store gets at most 200 writes a second, of values under 1 MB."

GUARDS: tuple[SubjectGuard, ...] = (
    SubjectGuard(
        "a claim of another request is left alone",
        AT_MOST_ONCE,
        (("_claims.is_free", _always),),
        ("random", "two instances race", "killed after it sent"),
    ),
    SubjectGuard(
        "an open claim stays taken when its instance is gone",
        AT_MOST_ONCE,
        (("_claims.is_free", _free_if_open),),
        ("random", "killed after it sent", "frozen after it sent"),
    ),
    SubjectGuard(
        "a conflicting swap is read again",
        AT_MOST_ONCE,
        (("_decide.decide_reply", _conflict_is_success),),
        ("random", "two instances race"),
    ),
    SubjectGuard(
        "a swap without reply is read again",
        AT_MOST_ONCE,
        (("_decide.decide_reply", _lost_reply_is_success),),
        ("random",),
    ),
    SubjectGuard(
        "a bucket that cannot be read is not taken for empty",
        NOT_RUN,
        (("_decide.decide_reply", _outage_is_absence),),
        ("the store is down before the claim",),
    ),
    SubjectGuard(
        "nothing is sent without the claim",
        AT_MOST_ONCE,
        (("_decide.deliver_resolution", _grant_failed),),
        ("random", "a resend of an order that ran, while the store is down"),
    ),
    SubjectGuard(
        "a claim of an earlier incarnation lets nothing run",
        AT_MOST_ONCE,
        (("_order._is_own", _always),),
        ("started again while its claim is written",),
    ),
    SubjectGuard(
        "what may have run is never sent again",
        AT_MOST_ONCE,
        (("_decide.decide_attempt_reply", _every_failure_is_not_run),),
        ("random", "may have run: ConnectionLost", "may have run: TimedOut"),
    ),
    SubjectGuard(
        "an unknown outcome keeps the key",
        AT_MOST_ONCE,
        (("_order._ACTIONS", _acting(settle_unknown=_settle_as_not_run)),),
        ("random", "may have run: ConnectionLost"),
    ),
    SubjectGuard(
        "the deadline is checked immediately before the send",
        NOT_RUN,
        (("_order.is_too_late", _never),),
        ("frozen while it claims, resumes after its deadline",),
    ),
    SubjectGuard(
        "'not run' is said of a key only after it was seen unused",
        NOT_RUN,
        (("_order._ACTIONS", _acting(refuse_claim=_say_unused)),),
        ("random", "a resend of an order that ran, while the store is down"),
    ),
    SubjectGuard(
        "another body under the key is refused",
        WHOLE,
        (("_order.fingerprint_body", _same_fingerprint),),
        ("another body under the key",),
    ),
    SubjectGuard(
        "outcomes are recorded",
        WHOLE,
        (("_order.record_outcome", _record_nothing),),
        ("random", "two instances race"),
    ),
    SubjectGuard(
        "an outcome is recorded for its own claim only, and the first one stays",
        AT_MOST_ONCE,
        (("_claims.settle_claim", _settle_any),),
        ("random",),
    ),
    SubjectGuard(
        "an outcome counts as recorded only by a newer value",
        WHOLE,
        (("_bucket._is_stale", _never),),
        ("an owner with an old value records an outcome",),
    ),
    SubjectGuard(
        "a resend that is older than what is kept is refused",
        AT_MOST_ONCE,
        (("_claims.is_forgotten", _never),),
        ("a resend after its outcome was dropped",),
    ),
    SubjectGuard(
        "claims that a restore of the store lost are written again",
        AT_MOST_ONCE,
        (("_bucket.lost_claims", _no_claims),),
        ("the store is restored to before the claim, and then the owner dies",),
    ),
    SubjectGuard(
        "a bucket has a size limit",
        BOUNDED,
        (("_claims.has_room", _always),),
        ("load",),
    ),
    SubjectGuard(
        "writes are paced",
        BOUNDED,
        (("_pace._refill_tokens", _unpaced),),
        ("load",),
    ),
)
