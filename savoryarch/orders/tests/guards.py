"""Guards of orders, and what replaces each guard to show that a proof fails without it."""

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
from savoryarch.orders.tests.test_scenarios import SCENARIOS_BY_NAME, run_scenario
from tests.guard import ComponentGuard

SEEDS = range(40)


def run_proof(name: str) -> None:
    """Run the proof `name`.

    Raises
    ------
    AssertionError
        If the proof fails.
    """
    match name:
        case "random":
            for seed in SEEDS:
                chaos = Chaos(seed)
                chaos.run()
                check(chaos)
        case "load":
            check_load()
        case _:
            run_scenario(SCENARIOS_BY_NAME[name])


def _always(*_) -> bool:
    return True


def _never(*_) -> bool:
    return False


def _treat_conflict_as_swapped(context, call_id, reply):
    if isinstance(reply, SwapConflict):
        reply = Swapped(reply.key, reply.revision)
    return _HANDLE_STORE_REPLY(context, call_id, reply)


def _treat_lost_reply_as_swapped(context, call_id, reply):
    bucket = context.state.buckets.get(int(call_id.split("/")[1]))
    if isinstance(reply, StoreUnreachable) and bucket is not None and bucket.swap_value is not None:
        reply = Swapped("", bucket.revision + 1)
    return _HANDLE_STORE_REPLY(context, call_id, reply)


def _treat_outage_as_absent_key(context, call_id, reply):
    bucket = context.state.buckets[int(call_id.split("/")[1])]
    if isinstance(reply, StoreUnreachable) and bucket.chart_state == "reading":
        reply = KeyAbsent("", 0)
    return _HANDLE_STORE_REPLY(context, call_id, reply)


def _treat_failure_as_not_sent(context, order, reply):
    if not isinstance(reply, RouteReturned):
        reply = NotSent("treated as not sent")
    return _HANDLE_ATTEMPT_REPLY(context, order, reply)


def _grant_failed_claim(context, claimant, resolution):
    if isinstance(resolution, ClaimFailed):
        resolution = ClaimGranted()
    return _DELIVER_RESOLUTION(context, claimant, resolution)


def _refuse_as_unused(context, order, cause):
    return _REFUSE_CLAIM(context, replace(order, key_unused=True), cause)


def _record_nothing(context, outcome):
    return context


def _record_as_not_run(context, order, cause):
    return _order._record_claim_state(context, order, ClaimNotRun())


def _apply_any_outcome(value, outcome, settings):
    return value if outcome == value.claims.get(outcome.digest) else _PUT_CLAIM(value, outcome)


def _same_fingerprint(body):
    return b""


def _is_open_or_not_run(existing):
    return isinstance(existing.state, ClaimOpen | ClaimNotRun)


def _no_claims(*_):
    return ()


def _with_unlimited_tokens(context):
    return replace(context, state=replace(context.state, write_tokens=1e9))


_HANDLE_STORE_REPLY = _decide.handle_store_reply
_HANDLE_ATTEMPT_REPLY = _decide.handle_attempt_reply
_DELIVER_RESOLUTION = _decide.deliver_resolution
_REFUSE_CLAIM = _order._ACTIONS["refuse_claim"]
_PUT_CLAIM = _claims.put_claim


def _replace_actions(**actions):
    return {**_order._ACTIONS, **actions}


AT_MOST_ONCE = "A non-idempotent request runs at most once."
NOT_RUN = "A refusal that says 'not run' is true."
COMPLETE = "Every caller receives the whole answer to its own request; a resend gets the outcome."
BOUNDED = "The store gets at most 200 writes a second, of values under 1 MB."

GUARDS: tuple[ComponentGuard, ...] = (
    ComponentGuard(
        "a claim of another request is not overwritten",
        AT_MOST_ONCE,
        (("_claims.is_reclaimable", _always),),
        ("random", "two instances race", "killed after it sent"),
    ),
    ComponentGuard(
        "an open claim keeps its key after its instance has died",
        AT_MOST_ONCE,
        (("_claims.is_reclaimable", _is_open_or_not_run),),
        ("random", "killed after it sent", "frozen after it sent"),
    ),
    ComponentGuard(
        "a conflicting swap is read again",
        AT_MOST_ONCE,
        (("_decide.handle_store_reply", _treat_conflict_as_swapped),),
        ("random", "two instances race"),
    ),
    ComponentGuard(
        "a swap without reply is read again",
        AT_MOST_ONCE,
        (("_decide.handle_store_reply", _treat_lost_reply_as_swapped),),
        ("random",),
    ),
    ComponentGuard(
        "an unreadable bucket is not treated as empty",
        NOT_RUN,
        (("_decide.handle_store_reply", _treat_outage_as_absent_key),),
        ("the store is down before the claim",),
    ),
    ComponentGuard(
        "nothing is sent without the claim",
        AT_MOST_ONCE,
        (("_decide.deliver_resolution", _grant_failed_claim),),
        ("random", "a resend of an order that ran, while the store is down"),
    ),
    ComponentGuard(
        "a claim of an earlier incarnation grants nothing",
        AT_MOST_ONCE,
        (("_order._is_own_claimant", _always),),
        ("started again while its claim is written",),
    ),
    ComponentGuard(
        "a request that may have run is never sent again",
        AT_MOST_ONCE,
        (("_decide.handle_attempt_reply", _treat_failure_as_not_sent),),
        ("random", "may have run: ConnectionLost", "may have run: TimedOut"),
    ),
    ComponentGuard(
        "an unknown outcome keeps the key",
        AT_MOST_ONCE,
        (("_order._ACTIONS", _replace_actions(record_unknown=_record_as_not_run)),),
        ("random", "may have run: ConnectionLost"),
    ),
    ComponentGuard(
        "the deadline is checked immediately before the send",
        NOT_RUN,
        (("_order.is_too_late", _never),),
        ("frozen while it claims, resumes after its deadline",),
    ),
    ComponentGuard(
        "a refusal says 'not run' only if the key was seen unused",
        NOT_RUN,
        (("_order._ACTIONS", _replace_actions(refuse_claim=_refuse_as_unused)),),
        ("random", "a resend of an order that ran, while the store is down"),
    ),
    ComponentGuard(
        "another body under the key is refused",
        COMPLETE,
        (("_order.fingerprint_body", _same_fingerprint),),
        ("another body under the key",),
    ),
    ComponentGuard(
        "outcomes are recorded",
        COMPLETE,
        (("_order.record_outcome", _record_nothing),),
        ("random", "two instances race"),
    ),
    ComponentGuard(
        "an outcome is recorded only for its own claim, and the first one is final",
        AT_MOST_ONCE,
        (("_claims.apply_outcome", _apply_any_outcome),),
        ("random",),
    ),
    ComponentGuard(
        "only a value newer than an outcome confirms it as recorded",
        COMPLETE,
        (("_bucket._is_stale", _never),),
        ("an owner with an old value records an outcome",),
    ),
    ComponentGuard(
        "a resend older than the retained claims is refused",
        AT_MOST_ONCE,
        (("_claims.may_have_been_dropped", _never),),
        ("a resend after its outcome was dropped",),
    ),
    ComponentGuard(
        "claims lost in a restore of the store are written again",
        AT_MOST_ONCE,
        (("_bucket.find_lost_claims", _no_claims),),
        ("the store is restored to before the claim, and then the owner dies",),
    ),
    ComponentGuard(
        "a bucket has a size limit",
        BOUNDED,
        (("_claims.has_capacity", _always),),
        ("load",),
    ),
    ComponentGuard(
        "the write rate is limited",
        BOUNDED,
        (("_write_rate._refill_tokens", _with_unlimited_tokens),),
        ("load",),
    ),
)
