"""Keeps the writes of buckets within the write rate."""

from savoryarch.model import SetTimer
from savoryarch.orders._bucket import step_bucket
from savoryarch.orders._ownership import owned_buckets
from savoryarch.orders._state import Bucket, Turn

_MS_PER_S = 1000.0
_SHORTEST_PAUSE_MS = 1.0
_BURST_S = 0.1  # writes that may be made at once, as time at the write rate


def take_turns(turn: Turn) -> Turn:
    """Write the buckets whose turn it is within the write rate."""
    turn = _refill_tokens(turn)
    while turn.state.queue and turn.state.write_tokens >= 1.0:
        number = _next_in_queue(turn)
        turn = turn.change(queue=tuple(item for item in turn.state.queue if item != number))
        turn = step_bucket(turn, turn.state.buckets[number], "turn")
    if not turn.state.queue or turn.state.turn_at_ms > turn.now_ms:
        return turn
    pause_ms = (1.0 - turn.state.write_tokens) * _MS_PER_S / _writes_per_s(turn)
    # A pause that is lost in rounding would fire for ever at the same time.
    due_at_ms = turn.now_ms + max(pause_ms, _SHORTEST_PAUSE_MS)
    return turn.change(turn_at_ms=due_at_ms).emit(SetTimer("orders/turn", due_at_ms))


def _next_in_queue(turn: Turn) -> int:
    # Callers wait for claims; outcomes can wait for the next claim of their bucket.
    queue, buckets = turn.state.queue, turn.state.buckets
    with_claims = (number for number in queue if _has_claims(buckets[number]))
    return next(with_claims, queue[0])


def _has_claims(bucket: Bucket) -> bool:
    return any(not item.held for item in bucket.submitted.values())


def _refill_tokens(turn: Turn) -> Turn:
    rate_per_s = _writes_per_s(turn)
    limit = max(1.0, rate_per_s * _BURST_S)
    elapsed_s = (turn.now_ms - turn.state.refilled_at_ms) / _MS_PER_S
    tokens = min(limit, turn.state.write_tokens + rate_per_s * elapsed_s)
    return turn.change(write_tokens=tokens, refilled_at_ms=turn.now_ms)


def _writes_per_s(turn: Turn) -> float:
    settings = turn.state.settings
    return settings.writes_per_s * max(1, owned_buckets(turn.state)) / settings.buckets
