"""Adds claims and outcomes to their buckets, and removes them again."""

from dataclasses import replace

from savoryarch.model import Claim, Claimant, ClaimFailed
from savoryarch.orders._bucket import BUCKET_CHART, allowed_failures, step_bucket
from savoryarch.orders._claims import Submitted, bucket_of
from savoryarch.orders._state import Bucket, Settled, Turn
from savoryarch.utils import in_order


def submit_claim(turn: Turn, submitted: Submitted) -> Turn:
    """Submit a claim to its bucket; it is resolved now or after a call on the store."""
    bucket = _bucket_for(turn, submitted.claim)
    if _is_refusing(turn, bucket):
        return turn.report(submitted, ClaimFailed("the store is unreachable", False))
    claimant = submitted.claim.claimant
    if claimant not in bucket.submitted:
        submitted = replace(submitted, after_call=turn.state.calls)
        bucket = replace(bucket, submitted=bucket.submitted.set(claimant, submitted))
    return step_bucket(turn, bucket, "work_added")


def withdraw_claim(turn: Turn, claim: Claim) -> tuple[Turn, Submitted | None]:
    """Take a claim back; returns what is known of it, None if it is not waiting here."""
    bucket = _bucket_for(turn, claim)
    submitted = bucket.submitted.get(claim.claimant)
    if submitted is None:
        return turn, None
    bucket = replace(bucket, submitted=bucket.submitted.delete(claim.claimant))
    return turn.put_bucket(bucket), submitted


def settle_claim(turn: Turn, settled: Settled) -> Turn:
    """Record an outcome in its bucket, together with the next claims or after a delay."""
    bucket = _bucket_for(turn, settled.claim)
    due_at_ms = turn.now_ms
    if not any(item.held for item in bucket.submitted.values()):
        due_at_ms += turn.state.settings.outcome_delay_ms
    settle_at_ms = min(bucket.settle_at_ms, due_at_ms) if bucket.settled else due_at_ms
    claimant = settled.claim.claimant
    outcomes = bucket.settled.set(claimant, replace(settled, after_call=turn.state.calls))
    # Its claim must not be written any more, or it would hold the key for nobody.
    submitted = bucket.submitted
    submitted = submitted.delete(claimant) if claimant in submitted else submitted
    bucket = replace(bucket, settled=outcomes, settle_at_ms=settle_at_ms, submitted=submitted)
    return step_bucket(turn, bucket, "work_added")


def drop_submitted_by(turn: Turn, peer_id: str) -> Turn:
    """Forget the claims of a peer that is gone; its next incarnation asks anew."""
    for _, bucket in in_order(turn.state.buckets):
        gone = [item for item in bucket.submitted.values() if item.from_peer == peer_id]
        submitted = bucket.submitted
        for item in gone:
            submitted = submitted.delete(item.claim.claimant)
        if gone:
            turn = turn.put_bucket(replace(bucket, submitted=submitted))
    return turn


def drop_settled(turn: Turn, claimant: Claimant) -> Turn:
    """Forget an outcome that a peer has recorded."""
    for bucket in turn.state.buckets.values():
        if claimant in bucket.settled:
            turn = turn.put_bucket(replace(bucket, settled=bucket.settled.delete(claimant)))
    return turn


def _bucket_for(turn: Turn, claim: Claim) -> Bucket:
    number = bucket_of(claim.digest, turn.state.settings.buckets)
    return turn.state.buckets.get(number) or Bucket(number, BUCKET_CHART.initial)


def _is_refusing(turn: Turn, bucket: Bucket) -> bool:
    backs_off = BUCKET_CHART.accepts(bucket.state, "retry_due")
    return backs_off and bucket.failures >= allowed_failures(turn)
