"""Adds claims and outcomes to their buckets, and removes them again."""

from savoryarch.model import Claim, Claimant, ClaimFailed
from savoryarch.orders._bucket import BUCKET_CHART, allowed_failures, step_bucket
from savoryarch.orders._claims import PendingClaim, bucket_of
from savoryarch.orders._state import Bucket, DecisionContext, PendingOutcome
from savoryarch.utils import replace, sorted_items


def submit_claim(context: DecisionContext, pending: PendingClaim) -> DecisionContext:
    """Submit a claim to its bucket.

    The claim is resolved immediately if the bucket's last known value decides it or if the store is
    unreachable, otherwise after a call to the store.
    """
    bucket = _bucket_of_claim(context, pending.claim)
    if _is_refusing(context, bucket):
        return context.add_resolution(pending, ClaimFailed("the store is unreachable", False))
    claimant = pending.claim.claimant
    if claimant not in bucket.pending_claims:
        pending = replace(pending, calls_before=context.state.store_calls)
        bucket = replace(bucket, pending_claims=bucket.pending_claims.set(claimant, pending))
    return step_bucket(context, bucket, "work_added")


def withdraw_claim(
    context: DecisionContext, claim: Claim
) -> tuple[DecisionContext, PendingClaim | None]:
    """Remove a claim from its bucket.

    Returns
    -------
    context : DecisionContext
        The context without the pending claim.
    pending : PendingClaim or None
        The removed claim; None if the claim is not pending at this instance.
    """
    bucket = _bucket_of_claim(context, claim)
    pending = bucket.pending_claims.get(claim.claimant)
    if pending is None:
        return context, None
    bucket = replace(bucket, pending_claims=bucket.pending_claims.delete(claim.claimant))
    return context.put_bucket(bucket), pending


def submit_outcome(context: DecisionContext, outcome: PendingOutcome) -> DecisionContext:
    """Submit an outcome to its bucket.

    The outcome is written together with the next claims of the bucket, or alone after
    `OrdersSettings.outcome_delay_ms`. It is due immediately if a claim in the bucket waits for the
    outcome of another request.
    """
    bucket = _bucket_of_claim(context, outcome.claim)
    due_at_ms = context.now_ms
    if not any(item.held for item in bucket.pending_claims.values()):
        due_at_ms += context.state.settings.outcome_delay_ms
    outcomes_due_at_ms = (
        min(bucket.outcomes_due_at_ms, due_at_ms) if bucket.pending_outcomes else due_at_ms
    )
    claimant = outcome.claim.claimant
    outcomes = bucket.pending_outcomes.set(
        claimant, replace(outcome, calls_before=context.state.store_calls)
    )
    # A request with an outcome has ended. If its claim were written now, it would stay open and
    # block the key.
    pending_claims = bucket.pending_claims
    pending_claims = (
        pending_claims.delete(claimant) if claimant in pending_claims else pending_claims
    )
    bucket = replace(
        bucket,
        pending_outcomes=outcomes,
        outcomes_due_at_ms=outcomes_due_at_ms,
        pending_claims=pending_claims,
    )
    return step_bucket(context, bucket, "work_added")


def drop_claims_of_peer(context: DecisionContext, peer_id: str) -> DecisionContext:
    """Drop the pending claims of a peer that has left; its next incarnation submits its own."""
    for _, bucket in sorted_items(context.state.buckets):
        dropped = [item for item in bucket.pending_claims.values() if item.from_peer == peer_id]
        pending_claims = bucket.pending_claims
        for item in dropped:
            pending_claims = pending_claims.delete(item.claim.claimant)
        if dropped:
            context = context.put_bucket(replace(bucket, pending_claims=pending_claims))
    return context


def drop_recorded_outcome(context: DecisionContext, claimant: Claimant) -> DecisionContext:
    """Drop the pending outcome of a claimant, which a peer has recorded."""
    for bucket in context.state.buckets.values():
        if claimant in bucket.pending_outcomes:
            context = context.put_bucket(
                replace(bucket, pending_outcomes=bucket.pending_outcomes.delete(claimant))
            )
    return context


def _bucket_of_claim(context: DecisionContext, claim: Claim) -> Bucket:
    number = bucket_of(claim.digest, context.state.settings.buckets)
    return context.state.buckets.get(number) or Bucket(number, BUCKET_CHART.initial)


def _is_refusing(context: DecisionContext, bucket: Bucket) -> bool:
    is_backing_off = BUCKET_CHART.has_transition(bucket.chart_state, "retry_due")
    return is_backing_off and bucket.failures >= allowed_failures(context)
