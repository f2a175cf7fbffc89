"""Reads and writes buckets: one swap outstanding per bucket, the rest rides on the next."""

from collections.abc import Callable, Mapping
from dataclasses import replace
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
from savoryarch.orders._claims import (
    BucketValue,
    Submitted,
    compose,
    is_free,
    is_settled,
    is_superseded,
    lost_claims,
    resolve,
)
from savoryarch.orders._ownership import owner_of
from savoryarch.orders._state import Bucket, Settled, Turn
from savoryarch.orders._values import decode_bucket, encode_bucket
from savoryarch.utils import in_order

_MAX_DOUBLINGS = 16  # of the pause; more would leave the range of a float in a long outage

Action = Callable[[Turn, Bucket, object], Turn]


def bucket_key(number: int) -> str:
    """Return the key of a bucket in the store."""
    return f"orders/buckets/{number}"


def decide_reply(turn: Turn, call_id: str, reply: StoreReply) -> Turn:
    """Decide on the reply to a bucket's call (``orders/BUCKET/CALL``)."""
    number = int(call_id.split("/")[1])
    bucket = turn.state.buckets.get(number)
    if bucket is None or bucket.call_id != call_id:
        return turn
    match reply:
        case KeyRead(value=data, revision=revision):
            return _decode_value(turn, bucket, data, revision)
        case KeyAbsent():
            return _take_value(turn, bucket, BucketValue(), 0)
        case Swapped(revision=revision):
            return step_bucket(turn, replace(bucket, revision=revision), "swapped")
        case SwapConflict():
            return step_bucket(turn, bucket, "conflict")
        case StoreLimited():
            return step_bucket(turn, bucket, "limited", "the store's rate limit")
        case StoreUnreachable(detail=detail):
            return step_bucket(turn, bucket, "failed", detail)
        case _:
            return step_bucket(turn, bucket, "failed", f"unexpected {type(reply).__name__}")


def decide_timer(turn: Turn, number: int) -> Turn:
    """Decide on the timer of a bucket: look again, try again or write what waited."""
    bucket = turn.state.buckets.get(number)
    if bucket is None:
        return turn
    if BUCKET_CHART.accepts(bucket.state, "retry_due"):
        has_work = bool(bucket.submitted or bucket.settled)
        return step_bucket(turn, bucket, "retry_due" if has_work else "nothing_due")
    if not BUCKET_CHART.accepts(bucket.state, "stale"):
        return turn
    held = any(item.held for item in bucket.submitted.values())
    return step_bucket(turn, bucket, "stale") if held else _follow_up(turn, bucket)


def step_bucket(turn: Turn, bucket: Bucket, event: str, cause: object = None) -> Turn:
    """Take a bucket through one transition of its chart."""
    transition = BUCKET_CHART.step(bucket.state, event)
    turn = turn.put_bucket(replace(bucket, state=transition.next_state))
    for action in transition.actions:
        turn = _ACTIONS[action](turn, turn.state.buckets[bucket.number], cause)
    return turn


def allowed_failures(turn: Turn) -> int:
    """Return the failures in a row at which waiting claims are refused."""
    # With live peers, the claimant asks the next instance to write instead of waiting for this one.
    settings = turn.state.settings
    has_others = settings.relays_claims and bool(turn.state.live)
    return 1 if has_others else settings.failures_before_refusal


def _read(turn: Turn, bucket: Bucket, cause: object) -> Turn:
    turn, call_id = _next_call(turn, bucket)
    turn = turn.put_bucket(replace(bucket, call_id=call_id, swapping=None))
    return turn.emit(ReadKey(call_id, bucket_key(bucket.number)))


def _decode_value(turn: Turn, bucket: Bucket, data: bytes, revision: int) -> Turn:
    try:
        value = decode_bucket(data)
    except CodecError as error:
        return step_bucket(turn, bucket, "failed", str(error))
    return _take_value(turn, bucket, value, revision)


def _take_value(turn: Turn, bucket: Bucket, value: BucketValue, revision: int) -> Turn:
    if revision < bucket.revision:
        turn, bucket = _keep_lost_claims(turn, bucket, value)
    bucket = replace(
        bucket,
        value=value,
        revision=revision,
        value_call=_call_number(bucket.call_id),
        failures=0,
    )
    return step_bucket(turn, bucket, "value_read")


def _keep_lost_claims(turn: Turn, bucket: Bucket, restored: BucketValue) -> tuple[Turn, Bucket]:
    """Write again what a store that went back to an older revision has lost."""
    lost = lost_claims(bucket.value, restored, turn.state.settings)
    settled = bucket.settled
    for claim in lost:
        if claim.claimant not in settled:
            settled = settled.set(claim.claimant, Settled(claim))
    fields = (("bucket", str(bucket.number)), ("lost_claims", str(len(lost))))
    turn = turn.emit(LogEvent("claim_bucket_restored", fields))
    return turn, replace(bucket, settled=settled, settle_at_ms=turn.now_ms)


def _resolve(turn: Turn, bucket: Bucket, cause: object) -> Turn:
    """Tell the claims that came to something, and see what is left to write."""
    settings = turn.state.settings
    bucket = _drop_expired(turn, bucket)
    submitted = bucket.submitted
    for _, item in in_order(submitted):
        fresh = bucket.value_call > item.after_call
        item = replace(item, key_unused=item.key_unused or _shows_unused(bucket, item, fresh))
        found = resolve(bucket.value, item, settings)
        match found:
            case None:
                left = replace(item, held=False)
                submitted = submitted.set(item.claim.claimant, left)
            case ClaimHeld():
                if not item.held:
                    turn = turn.report(item, found)
                submitted = submitted.set(item.claim.claimant, replace(item, held=True))
            case ClaimBucketFull() if not fresh:
                pass  # read first, so that the refusal can say whether the key is unused
            case _:
                submitted = submitted.delete(item.claim.claimant)
                turn = turn.report(item, found)
    bucket = replace(bucket, submitted=submitted)
    turn, bucket = _forget_recorded(turn, bucket)
    return _follow_up(turn.put_bucket(bucket), bucket)


def _shows_unused(bucket: Bucket, item: Submitted, fresh: bool) -> bool:
    held = bucket.value.claims.get(item.claim.digest)
    return fresh and (held is None or is_free(held))


def _drop_expired(turn: Turn, bucket: Bucket) -> Bucket:
    submitted = bucket.submitted
    for claimant, item in submitted.items():
        if item.expires_at_ms <= turn.now_ms and item.from_peer:
            submitted = submitted.delete(claimant)
    return replace(bucket, submitted=submitted)


def _forget_recorded(turn: Turn, bucket: Bucket) -> tuple[Turn, Bucket]:
    settled = bucket.settled
    for claimant, item in in_order(settled):
        recorded = is_settled(bucket.value, item.claim, turn.state.settings)
        if recorded and not _is_stale(bucket, item):
            settled = settled.delete(claimant)
            if item.from_peer:
                turn = turn.post(item.from_peer, OutcomeRecorded(claimant))
    return turn, replace(bucket, settled=settled)


def _is_stale(bucket: Bucket, settled: Settled) -> bool:
    # An old value may show the claim that this one took the place of.
    is_fresh = bucket.value_call > settled.after_call
    return not is_fresh and is_superseded(bucket.value, settled.claim)


def _needs_read(bucket: Bucket) -> bool:
    """Return whether an old value keeps an outcome or a claim without room from its end."""
    without_room = any(
        item.composed and bucket.value_call <= item.after_call for item in bucket.submitted.values()
    )
    return without_room or any(_is_stale(bucket, item) for item in bucket.settled.values())


def _follow_up(turn: Turn, bucket: Bucket) -> Turn:
    """Join the queue for a write if there is something to write now, else read or set a timer."""
    if _needs_read(bucket):
        return step_bucket(turn, bucket, "stale")
    held = [item.held for item in bucket.submitted.values()]
    settled_due = bool(bucket.settled) and bucket.settle_at_ms <= turn.now_ms
    if settled_due or not all(held):
        return step_bucket(turn, bucket, "write_due")
    if any(item.after_call >= bucket.value_call for item in bucket.submitted.values()):
        return step_bucket(turn, bucket, "stale")
    due_at_ms = [turn.now_ms + turn.state.settings.held_poll_ms] if held else []
    due_at_ms += [bucket.settle_at_ms] if bucket.settled else []
    if not due_at_ms:
        is_owner = owner_of(turn.state, bucket.number) == turn.state.instance_id
        return turn if is_owner else step_bucket(turn, bucket, "idle")
    return turn.emit(SetTimer(f"orders/bucket/{bucket.number}", min(due_at_ms)))


def _join_queue(turn: Turn, bucket: Bucket, cause: object) -> Turn:
    return turn.change(queue=(*turn.state.queue, bucket.number))


def _swap(turn: Turn, bucket: Bucket, cause: object) -> Turn:
    settings = turn.state.settings
    bucket = _drop_expired(turn, bucket)
    settled = [item.claim for _, item in sorted(bucket.settled.items())]
    waiting = [item for item in bucket.submitted.values() if not item.held]
    value = compose(bucket.value, settled, waiting, settings, turn.wall_ms)
    submitted = bucket.submitted
    for item in waiting:
        carried = item.carried or value.claims.get(item.claim.digest) == item.claim
        item = replace(item, composed=True, carried=carried)
        submitted = submitted.set(item.claim.claimant, item)
    bucket = replace(bucket, submitted=submitted)
    if value is bucket.value:
        return step_bucket(turn, bucket, "nothing_due")
    turn, call_id = _next_call(turn, bucket)
    turn = turn.change(write_tokens=turn.state.write_tokens - 1.0)
    bucket = replace(bucket, call_id=call_id, swapping=value)
    data = encode_bucket(value)
    return turn.put_bucket(bucket).emit(
        SwapKey(call_id, bucket_key(bucket.number), data, bucket.revision)
    )


def _adopt(turn: Turn, bucket: Bucket, cause: object) -> Turn:
    value = bucket.swapping or bucket.value
    number = _call_number(bucket.call_id)
    bucket = replace(bucket, value=value, swapping=None, value_call=number, failures=0)
    return turn.put_bucket(bucket)


def _forget(turn: Turn, bucket: Bucket, cause: object) -> Turn:
    # Only owners keep values, which would otherwise add up to every claim at every instance.
    return turn.change(buckets=turn.state.buckets.delete(bucket.number))


def _back_off(turn: Turn, bucket: Bucket, cause: object) -> Turn:
    """Pause before the next call; after several failures the waiting claims are refused."""
    settings = turn.state.settings
    doublings = min(bucket.failures, _MAX_DOUBLINGS)
    pause_ms = min(settings.back_off_limit_ms, settings.back_off_ms * 2**doublings)
    bucket = replace(bucket, failures=bucket.failures + 1, swapping=None)
    turn = turn.emit(
        SetTimer(f"orders/bucket/{bucket.number}", turn.now_ms + pause_ms),
        LogEvent(
            "claim_bucket_failed", (("bucket", str(bucket.number)), ("detail", str(cause)[:200]))
        ),
    )
    turn, bucket = _hand_over_settled(turn, bucket)
    if bucket.failures < allowed_failures(turn):
        return turn.put_bucket(bucket)
    for _, item in in_order(bucket.submitted):
        failed = ClaimFailed(str(cause)[:200], item.key_unused, item.carried)
        turn = turn.report(item, failed)
    return turn.put_bucket(replace(bucket, submitted=_NO_CLAIMS))


def _hand_over_settled(turn: Turn, bucket: Bucket) -> tuple[Turn, Bucket]:
    """Ask each peer once, one after each failure, to record the outcomes of this instance too."""
    live = turn.state.live if turn.state.settings.relays_claims else ()
    settled = bucket.settled
    for claimant, item in in_order(settled):
        if not item.from_peer and item.handed_over < len(live):
            turn = turn.post(live[item.handed_over], OutcomeSubmitted(item.claim))
            settled = settled.set(claimant, replace(item, handed_over=item.handed_over + 1))
    return turn, replace(bucket, settled=settled)


def _next_call(turn: Turn, bucket: Bucket) -> tuple[Turn, str]:
    calls = turn.state.calls + 1
    return turn.change(calls=calls), f"orders/{bucket.number}/{calls}"


def _call_number(call_id: str) -> int:
    return int(call_id.rsplit("/", 1)[1])


_NO_CLAIMS: "Map[Claimant, Submitted]" = Map()
_ACTIONS: Mapping[str, Action] = MappingProxyType(
    {
        "adopt": _adopt,
        "back_off": _back_off,
        "forget": _forget,
        "join_queue": _join_queue,
        "read": _read,
        "resolve": _resolve,
        "swap": _swap,
    }
)
BUCKET_CHART = load_chart("claim_bucket", frozenset(_ACTIONS))
