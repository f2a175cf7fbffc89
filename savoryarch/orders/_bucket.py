"""Reads and writes buckets, along the chart ``claim_bucket``.

A bucket has at most one compare-and-swap outstanding. Claims and outcomes that are submitted while
it is outstanding share the next one.
"""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from immutables import Map

from savoryarch.charts import load_chart
from savoryarch.exceptions import CodecError
from savoryarch.model import (
    Claimant,
    ClaimBucketFull,
    ClaimFailed,
    ClaimHeld,
    KeyAbsent,
    KeyRead,
    LogEvent,
    OutcomeRecorded,
    OutcomeSubmitted,
    ReadKey,
    SetTimer,
    StoreLimited,
    StoreReply,
    StoreUnreachable,
    SwapConflict,
    SwapKey,
    Swapped,
)
from savoryarch.orders._bucket_codec import decode_bucket, encode_bucket
from savoryarch.orders._claims import (
    BucketValue,
    PendingClaim,
    build_next_value,
    find_lost_claims,
    is_outcome_recorded,
    is_reclaimable,
    is_superseded,
    resolve_claim,
)
from savoryarch.orders._ownership import owner_of
from savoryarch.orders._state import Bucket, DecisionContext, PendingOutcome
from savoryarch.utils import replace, sorted_items

# Limit of the exponent of the pause, which would exceed the range of a float in a long outage.
_MAX_PAUSE_DOUBLINGS = 16

Action = Callable[[DecisionContext, Bucket, object], DecisionContext]


def bucket_key(number: int) -> str:
    """Return the key under which the store holds a bucket."""
    return f"orders/buckets/{number}"


def handle_store_reply(
    context: DecisionContext, call_id: str, reply: StoreReply
) -> DecisionContext:
    """Apply the reply to a store call of a bucket.

    Replies to earlier calls of the bucket, and to calls of buckets that were dropped, change
    nothing.

    Parameters
    ----------
    context : DecisionContext
        Context of the decision.
    call_id : str
        Id of the call, ``orders/BUCKET/CALL``.
    reply : StoreReply
        The reply; of an unexpected type, it counts as a failed call.
    """
    number = int(call_id.split("/")[1])
    bucket = context.state.buckets.get(number)
    if bucket is None or bucket.call_id != call_id:
        return context
    match reply:
        case KeyRead(value=data, revision=revision):
            return _apply_encoded_value(context, bucket, data, revision)
        case KeyAbsent():
            return _apply_read_value(context, bucket, BucketValue(), 0)
        case Swapped(revision=revision):
            return step_bucket(context, replace(bucket, revision=revision), "swapped")
        case SwapConflict():
            return step_bucket(context, bucket, "conflict")
        case StoreLimited():
            return step_bucket(context, bucket, "rate_limited", "the store's rate limit")
        case StoreUnreachable(detail=detail):
            return step_bucket(context, bucket, "failed", detail)
        case _:
            return step_bucket(context, bucket, "failed", f"unexpected {type(reply).__name__}")


def handle_bucket_timer(context: DecisionContext, number: int) -> DecisionContext:
    """Handle an expired timer of a bucket.

    A bucket that backs off reads its value if it has work. Otherwise the value is read again if a
    claim waits for the outcome of another request, or due outcomes are written.
    """
    bucket = context.state.buckets.get(number)
    if bucket is None:
        return context
    if BUCKET_CHART.has_transition(bucket.chart_state, "retry_due"):
        has_work = bool(bucket.pending_claims or bucket.pending_outcomes)
        return step_bucket(context, bucket, "retry_due" if has_work else "no_work")
    if not BUCKET_CHART.has_transition(bucket.chart_state, "value_stale"):
        return context
    has_held_claim = any(item.held for item in bucket.pending_claims.values())
    return (
        step_bucket(context, bucket, "value_stale")
        if has_held_claim
        else _schedule_next_step(context, bucket)
    )


def step_bucket(
    context: DecisionContext, bucket: Bucket, event: str, cause: object = None
) -> DecisionContext:
    """Apply an event to the chart of a bucket and perform the actions of the transition.

    Parameters
    ----------
    context : DecisionContext
        Context of the decision.
    bucket : Bucket
        The bucket with the changes that came with the event.
    event : str
        Event of the chart ``claim_bucket``.
    cause : object, optional
        For failed calls, text that says what failed.
    """
    transition = BUCKET_CHART.step(bucket.chart_state, event)
    context = context.put_bucket(replace(bucket, chart_state=transition.next_state))
    for action in transition.actions:
        context = _ACTIONS[action](context, context.state.buckets[bucket.number], cause)
    return context


def allowed_failures(context: DecisionContext) -> int:
    """Return the number of failed calls in a row at which pending claims are refused."""
    # With live peers, the claimant can have another instance write the claim after one failure.
    settings = context.state.settings
    has_other_writers = settings.relays_claims and bool(context.state.live_peer_ids)
    return 1 if has_other_writers else settings.failures_before_refusal


def _read(context: DecisionContext, bucket: Bucket, cause: object) -> DecisionContext:
    context, call_id = _next_call(context, bucket)
    context = context.put_bucket(replace(bucket, call_id=call_id, swap_value=None))
    return context.emit(ReadKey(call_id, bucket_key(bucket.number)))


def _apply_encoded_value(
    context: DecisionContext, bucket: Bucket, data: bytes, revision: int
) -> DecisionContext:
    try:
        value = decode_bucket(data)
    except CodecError as error:
        return step_bucket(context, bucket, "failed", str(error))
    return _apply_read_value(context, bucket, value, revision)


def _apply_read_value(
    context: DecisionContext, bucket: Bucket, value: BucketValue, revision: int
) -> DecisionContext:
    if revision < bucket.revision:  # The store was restored to an older revision.
        context, bucket = _resubmit_lost_claims(context, bucket, value)
    bucket = replace(
        bucket,
        value=value,
        revision=revision,
        value_call_number=_call_number(bucket.call_id),
        failures=0,
    )
    return step_bucket(context, bucket, "value_read")


def _resubmit_lost_claims(
    context: DecisionContext, bucket: Bucket, restored: BucketValue
) -> tuple[DecisionContext, Bucket]:
    """Submit the claims and outcomes that a restore of the store to an older revision has lost."""
    lost = find_lost_claims(bucket.value, restored, context.state.settings)
    pending_outcomes = bucket.pending_outcomes
    for claim in lost:
        if claim.claimant not in pending_outcomes:
            pending_outcomes = pending_outcomes.set(claim.claimant, PendingOutcome(claim))
    fields = (("bucket", str(bucket.number)), ("lost_claims", str(len(lost))))
    context = context.emit(LogEvent("claim_bucket_restored", fields))
    return context, replace(
        bucket, pending_outcomes=pending_outcomes, outcomes_due_at_ms=context.now_ms
    )


def _resolve_claims(context: DecisionContext, bucket: Bucket, cause: object) -> DecisionContext:
    """Resolve the pending claims against the value, and schedule what remains."""
    settings = context.state.settings
    bucket = _drop_expired_claims(context, bucket)
    pending_claims = bucket.pending_claims
    for _, item in sorted_items(pending_claims):
        is_fresh = bucket.value_call_number > item.calls_before
        item = replace(item, key_unused=item.key_unused or _is_key_unused(bucket, item, is_fresh))
        found = resolve_claim(bucket.value, item, settings)
        match found:
            case None:
                waiting = replace(item, held=False)
                pending_claims = pending_claims.set(item.claim.claimant, waiting)
            case ClaimHeld():
                if not item.held:
                    context = context.add_resolution(item, found)
                pending_claims = pending_claims.set(item.claim.claimant, replace(item, held=True))
            case ClaimBucketFull() if not is_fresh:
                pass  # A read comes first, so that the refusal can tell whether the key is unused.
            case _:
                pending_claims = pending_claims.delete(item.claim.claimant)
                context = context.add_resolution(item, found)
    bucket = replace(bucket, pending_claims=pending_claims)
    context, bucket = _drop_recorded_outcomes(context, bucket)
    return _schedule_next_step(context.put_bucket(bucket), bucket)


def _is_key_unused(bucket: Bucket, item: PendingClaim, is_fresh: bool) -> bool:
    existing = bucket.value.claims.get(item.claim.digest)
    return is_fresh and (existing is None or is_reclaimable(existing))


def _drop_expired_claims(context: DecisionContext, bucket: Bucket) -> Bucket:
    """Drop the expired claims of peers; orders withdraw the claims of this instance themselves."""
    pending_claims = bucket.pending_claims
    for claimant, item in pending_claims.items():
        if item.expires_at_ms <= context.now_ms and item.from_peer:
            pending_claims = pending_claims.delete(claimant)
    return replace(bucket, pending_claims=pending_claims)


def _drop_recorded_outcomes(
    context: DecisionContext, bucket: Bucket
) -> tuple[DecisionContext, Bucket]:
    """Drop the outcomes that the value shows as recorded, and notify the peers that sent them."""
    pending_outcomes = bucket.pending_outcomes
    for claimant, item in sorted_items(pending_outcomes):
        recorded = is_outcome_recorded(bucket.value, item.claim, context.state.settings)
        if recorded and not _is_stale(bucket, item):
            pending_outcomes = pending_outcomes.delete(claimant)
            if item.from_peer:
                context = context.send_to_peer(item.from_peer, OutcomeRecorded(claimant))
    return context, replace(bucket, pending_outcomes=pending_outcomes)


def _is_stale(bucket: Bucket, outcome: PendingOutcome) -> bool:
    # A value from before the submission may show an earlier claim that this one has replaced.
    is_fresh = bucket.value_call_number > outcome.calls_before
    return not is_fresh and is_superseded(bucket.value, outcome.claim)


def _needs_read(bucket: Bucket) -> bool:
    """Return whether a claim without capacity or an outcome needs a newer value to be decided."""
    lacks_capacity = any(
        item.capacity_checked and bucket.value_call_number <= item.calls_before
        for item in bucket.pending_claims.values()
    )
    return lacks_capacity or any(
        _is_stale(bucket, item) for item in bucket.pending_outcomes.values()
    )


def _schedule_next_step(context: DecisionContext, bucket: Bucket) -> DecisionContext:
    """Queue the bucket for a write if one is due, else read it, set its timer or drop it."""
    if _needs_read(bucket):
        return step_bucket(context, bucket, "value_stale")
    held_flags = [item.held for item in bucket.pending_claims.values()]
    outcomes_due = bool(bucket.pending_outcomes) and bucket.outcomes_due_at_ms <= context.now_ms
    if outcomes_due or not all(held_flags):
        return step_bucket(context, bucket, "write_due")
    if any(
        item.calls_before >= bucket.value_call_number for item in bucket.pending_claims.values()
    ):
        return step_bucket(context, bucket, "value_stale")
    due_at_ms = [context.now_ms + context.state.settings.held_poll_ms] if held_flags else []
    due_at_ms += [bucket.outcomes_due_at_ms] if bucket.pending_outcomes else []
    if not due_at_ms:
        is_owner = owner_of(context.state, bucket.number) == context.state.instance_id
        return context if is_owner else step_bucket(context, bucket, "idle")
    return context.emit(SetTimer(f"orders/bucket/{bucket.number}", min(due_at_ms)))


def _enqueue_write(context: DecisionContext, bucket: Bucket, cause: object) -> DecisionContext:
    return context.update_state(write_queue=(*context.state.write_queue, bucket.number))


def _swap(context: DecisionContext, bucket: Bucket, cause: object) -> DecisionContext:
    """Write the pending outcomes and claims by one swap, if they change the value.

    Held claims wait, since another claimant has their key.
    """
    settings = context.state.settings
    bucket = _drop_expired_claims(context, bucket)
    outcomes = [item.claim for _, item in sorted(bucket.pending_outcomes.items())]
    waiting = [item for item in bucket.pending_claims.values() if not item.held]
    value = build_next_value(bucket.value, outcomes, waiting, settings, context.wall_clock_ms)
    pending_claims = bucket.pending_claims
    for item in waiting:
        sent_in_swap = item.sent_in_swap or value.claims.get(item.claim.digest) == item.claim
        item = replace(item, capacity_checked=True, sent_in_swap=sent_in_swap)
        pending_claims = pending_claims.set(item.claim.claimant, item)
    bucket = replace(bucket, pending_claims=pending_claims)
    if value is bucket.value:
        return step_bucket(context, bucket, "no_work")
    context, call_id = _next_call(context, bucket)
    context = context.update_state(write_tokens=context.state.write_tokens - 1.0)
    bucket = replace(bucket, call_id=call_id, swap_value=value)
    data = encode_bucket(value)
    return context.put_bucket(bucket).emit(
        SwapKey(call_id, bucket_key(bucket.number), data, bucket.revision)
    )


def _apply_written_value(
    context: DecisionContext, bucket: Bucket, cause: object
) -> DecisionContext:
    value = bucket.swap_value or bucket.value
    number = _call_number(bucket.call_id)
    bucket = replace(bucket, value=value, swap_value=None, value_call_number=number, failures=0)
    return context.put_bucket(bucket)


def _drop_bucket(context: DecisionContext, bucket: Bucket, cause: object) -> DecisionContext:
    # Only owners retain values; otherwise every instance would end up holding every claim.
    return context.update_state(buckets=context.state.buckets.delete(bucket.number))


def _back_off(context: DecisionContext, bucket: Bucket, cause: object) -> DecisionContext:
    """Set a timer for the next call, and fail the pending claims after too many failures."""
    settings = context.state.settings
    doublings = min(bucket.failures, _MAX_PAUSE_DOUBLINGS)
    pause_ms = min(settings.back_off_limit_ms, settings.back_off_ms * 2**doublings)
    bucket = replace(bucket, failures=bucket.failures + 1, swap_value=None)
    context = context.emit(
        SetTimer(f"orders/bucket/{bucket.number}", context.now_ms + pause_ms),
        LogEvent(
            "claim_bucket_failed", (("bucket", str(bucket.number)), ("detail", str(cause)[:200]))
        ),
    )
    context, bucket = _relay_outcomes(context, bucket)
    if bucket.failures < allowed_failures(context):
        return context.put_bucket(bucket)
    for _, item in sorted_items(bucket.pending_claims):
        failed = ClaimFailed(str(cause)[:200], item.key_unused, item.sent_in_swap)
        context = context.add_resolution(item, failed)
    return context.put_bucket(replace(bucket, pending_claims=_NO_CLAIMS))


def _relay_outcomes(context: DecisionContext, bucket: Bucket) -> tuple[DecisionContext, Bucket]:
    """Ask one more peer, after each failure, to record the outcomes of this instance."""
    live = context.state.live_peer_ids if context.state.settings.relays_claims else ()
    pending_outcomes = bucket.pending_outcomes
    for claimant, item in sorted_items(pending_outcomes):
        if not item.from_peer and item.relay_count < len(live):
            context = context.send_to_peer(live[item.relay_count], OutcomeSubmitted(item.claim))
            pending_outcomes = pending_outcomes.set(
                claimant, replace(item, relay_count=item.relay_count + 1)
            )
    return context, replace(bucket, pending_outcomes=pending_outcomes)


def _next_call(context: DecisionContext, bucket: Bucket) -> tuple[DecisionContext, str]:
    calls = context.state.store_calls + 1
    return context.update_state(store_calls=calls), f"orders/{bucket.number}/{calls}"


def _call_number(call_id: str) -> int:
    return int(call_id.rsplit("/", 1)[1])


_NO_CLAIMS: "Map[Claimant, PendingClaim]" = Map()
_ACTIONS: Mapping[str, Action] = MappingProxyType(
    {
        "apply_written_value": _apply_written_value,
        "back_off": _back_off,
        "drop_bucket": _drop_bucket,
        "enqueue_write": _enqueue_write,
        "read": _read,
        "resolve_claims": _resolve_claims,
        "swap": _swap,
    }
)
BUCKET_CHART = load_chart("claim_bucket", frozenset(_ACTIONS))
