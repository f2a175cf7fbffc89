"""Limits the rate at which buckets of claims are written to the store, by a token bucket."""

from savoryarch.model import SetTimer
from savoryarch.orders._bucket import step_bucket
from savoryarch.orders._ownership import count_owned_buckets
from savoryarch.orders._state import Bucket, DecisionContext

_MS_PER_S = 1000.0
_MIN_PAUSE_MS = 1.0
_BURST_S = 0.1  # size of the token bucket, as time at the write rate


def write_queued_buckets(context: DecisionContext) -> DecisionContext:
    """Write queued buckets while the write rate allows, and set a timer for the rest."""
    context = _refill_tokens(context)
    while context.state.write_queue and context.state.write_tokens >= 1.0:
        number = _next_in_queue(context)
        context = context.update_state(
            write_queue=tuple(item for item in context.state.write_queue if item != number)
        )
        context = step_bucket(context, context.state.buckets[number], "write_permitted")
    if not context.state.write_queue or context.state.next_write_at_ms > context.now_ms:
        return context
    pause_ms = (1.0 - context.state.write_tokens) * _MS_PER_S / _writes_per_s(context)
    # A pause that vanishes by rounding would let the timer expire endlessly at the same time.
    due_at_ms = context.now_ms + max(pause_ms, _MIN_PAUSE_MS)
    return context.update_state(next_write_at_ms=due_at_ms).emit(SetTimer("orders/turn", due_at_ms))


def _next_in_queue(context: DecisionContext) -> int:
    # Callers wait for claims, so buckets with claims go first. Outcomes can wait for the next
    # claim of their bucket.
    queue, buckets = context.state.write_queue, context.state.buckets
    with_claims = (number for number in queue if _has_claims(buckets[number]))
    return next(with_claims, queue[0])


def _has_claims(bucket: Bucket) -> bool:
    """Return whether a claim is pending that need not wait for another claimant's outcome."""
    return any(not item.held for item in bucket.pending_claims.values())


def _refill_tokens(context: DecisionContext) -> DecisionContext:
    """Add the tokens for the time since the last refill, up to the size of the token bucket."""
    rate_per_s = _writes_per_s(context)
    limit = max(1.0, rate_per_s * _BURST_S)
    elapsed_s = (context.now_ms - context.state.refilled_at_ms) / _MS_PER_S
    tokens = min(limit, context.state.write_tokens + rate_per_s * elapsed_s)
    return context.update_state(write_tokens=tokens, refilled_at_ms=context.now_ms)


def _writes_per_s(context: DecisionContext) -> float:
    """Return this instance's share of the write rate, by its share of the buckets."""
    settings = context.state.settings
    return settings.writes_per_s * max(1, count_owned_buckets(context.state)) / settings.buckets
