"""Claims in the value of a bucket: how they are resolved, written and dropped.

The functions are pure. A value that a function leaves unchanged is returned as the same object.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from hashlib import blake2b

from immutables import Map

from savoryarch.model import (
    Claim,
    ClaimBucketFull,
    ClaimDone,
    ClaimGranted,
    ClaimHeld,
    ClaimKeyExpired,
    ClaimKeyReused,
    ClaimNotRun,
    ClaimOpen,
    ClaimOutcomeFound,
    ClaimOutcomeUnknown,
    ClaimResolution,
    ClaimState,
    RouteDone,
)
from savoryarch.orders._settings import OrdersSettings
from savoryarch.utils import replace

DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8
CLAIM_OVERHEAD_BYTES = 64  # size of an encoded claim without its instance id, body and detail
_RESERVATION_DIVISOR = 8  # A new claim reserves at most 1/8 of a bucket for its outcome.
_TRIM_SHARE = 0.75  # share of the size limit to which a bucket is trimmed


@dataclass(frozen=True, slots=True)
class BucketValue:
    """Value of a bucket.

    Parameters
    ----------
    claims : Map
        `Claim` by the digest of its key.
    size_bytes : int
        Estimated size of the encoded value.
    oldest_claimed_at_ms : int
        Lower bound of the calendar times of the claims, in milliseconds since the Unix epoch.
    dropped_through_ms : int
        Calendar time of the newest claim that was ever dropped; 0 if none was.
    """

    claims: Map[bytes, Claim] = field(default_factory=Map)
    size_bytes: int = 0
    oldest_claimed_at_ms: int = 0
    dropped_through_ms: int = 0


@dataclass(frozen=True, slots=True)
class PendingClaim:
    """A claim that was submitted to a bucket and is not yet resolved.

    Parameters
    ----------
    claim : Claim
        The claim.
    expires_at_ms : float
        Time after which the claimant no longer waits for the claim.
    created_at_ms : int or None
        Calendar time at which the caller made the request; None if unknown.
    from_peer : str
        Id of the peer that submitted it; empty for claims of this instance.
    calls_before : int
        Number of store calls that this instance had made when the claim was submitted. The value
        of a later call is newer than the claim.
    capacity_checked : bool
        Whether a write has tried to find capacity for the claim in the bucket.
    sent_in_swap : bool
        Whether a swap contained the claim, so that the claim may be in the store.
    key_unused : bool
        Whether a value that is newer than the claim showed its key without another claim.
    held : bool
        Whether another claimant holds the key, so that the claim waits for its outcome.
    """

    claim: Claim
    expires_at_ms: float
    created_at_ms: int | None = None
    from_peer: str = ""
    calls_before: int = 0
    capacity_checked: bool = False
    sent_in_swap: bool = False
    key_unused: bool = False
    held: bool = False


def digest_key(route: str, idempotency_key: str) -> bytes:
    """Return the digest of a route and an idempotency key, under which a bucket holds the claim."""
    text = f"{route}\0{idempotency_key}".encode()
    return blake2b(text, digest_size=DIGEST_BYTES).digest()


def fingerprint_body(body: bytes) -> bytes:
    """Return the digest that distinguishes bodies sent under the same key."""
    return blake2b(body, digest_size=FINGERPRINT_BYTES).digest()


def bucket_of(digest: bytes, buckets: int) -> int:
    """Return the number of the bucket that holds a key, out of `buckets`."""
    return int.from_bytes(digest[:4], "big") % buckets


def estimate_claim_bytes(claim: Claim) -> int:
    """Return the approximate size of an encoded claim in bytes."""
    size_bytes = CLAIM_OVERHEAD_BYTES + len(claim.claimant.instance_id)
    match claim.state:
        case ClaimDone(body=body):
            return size_bytes + len(body)
        case ClaimOutcomeUnknown(detail=detail):
            return size_bytes + len(detail)
        case ClaimOpen() | ClaimNotRun():
            return size_bytes


def make_bucket_value(claims: Iterable[Claim], dropped_through_ms: int) -> BucketValue:
    """Return a value with `claims`, with its size and its oldest claim computed."""
    by_digest = Map({claim.digest: claim for claim in claims})
    return BucketValue(
        claims=by_digest,
        size_bytes=sum(map(estimate_claim_bytes, by_digest.values())),
        oldest_claimed_at_ms=min((claim.claimed_at_ms for claim in by_digest.values()), default=0),
        dropped_through_ms=dropped_through_ms,
    )


def put_claim(value: BucketValue, claim: Claim) -> BucketValue:
    """Return the value with `claim` in place of any earlier claim on its key."""
    replaced = value.claims.get(claim.digest)
    size_bytes = (
        value.size_bytes
        + estimate_claim_bytes(claim)
        - (estimate_claim_bytes(replaced) if replaced else 0)
    )
    oldest_claimed_at_ms = min(value.oldest_claimed_at_ms, claim.claimed_at_ms)
    return replace(
        value,
        claims=value.claims.set(claim.digest, claim),
        size_bytes=size_bytes,
        oldest_claimed_at_ms=oldest_claimed_at_ms if value.claims else claim.claimed_at_ms,
    )


def is_reclaimable(existing: Claim) -> bool:
    """Return whether another request may claim the key, because the request was not run."""
    return isinstance(existing.state, ClaimNotRun)


def find_resolution(
    value: BucketValue, pending: PendingClaim, settings: OrdersSettings
) -> ClaimResolution | None:
    """Return how the bucket's value resolves a claim.

    Returns
    -------
    resolution : ClaimResolution or None
        None if the key is free, so that the claim can be written.
    """
    claim = pending.claim
    existing = value.claims.get(claim.digest)
    if existing is None:
        return ClaimKeyExpired() if may_have_been_dropped(value, pending, settings) else None
    if existing.claimant == claim.claimant:
        granted = isinstance(existing.state, ClaimOpen)
        return ClaimGranted() if granted else ClaimOutcomeFound(existing.state)
    if is_reclaimable(existing):
        return None
    if existing.fingerprint != claim.fingerprint:
        return ClaimKeyReused()
    return (
        ClaimHeld() if isinstance(existing.state, ClaimOpen) else ClaimOutcomeFound(existing.state)
    )


def may_have_been_dropped(
    value: BucketValue, pending: PendingClaim, settings: OrdersSettings
) -> bool:
    """Return whether the bucket may have dropped an earlier claim of the same request.

    Always false for a request of unknown creation time.
    """
    if pending.created_at_ms is None:
        return False
    return pending.created_at_ms <= value.dropped_through_ms + settings.clock_skew_ms


def apply_outcome(value: BucketValue, outcome: Claim, settings: OrdersSettings) -> BucketValue:
    """Return the value with the outcome of a claim recorded.

    The value is unchanged if another claimant holds the key or if the claim has an outcome
    already: the first recorded outcome of a claim is final. An outcome is recorded without its
    body if the bucket has no capacity for it. If the bucket does not have the claim, the outcome
    is recorded only if there is capacity for all of it.
    """
    existing = value.claims.get(outcome.digest)
    if existing is None:
        # The claim was dropped, or lost in a restore of the store. The swap that contained the
        # claim may have timed out and still take effect; this write makes it conflict.
        fits = value.size_bytes + estimate_claim_bytes(outcome) <= settings.bucket_bytes
        return put_claim(value, outcome) if fits else value
    if existing.claimant != outcome.claimant or not isinstance(existing.state, ClaimOpen):
        return value
    if existing == outcome:
        return value
    return put_claim(value, fit_outcome(value, outcome, settings))


def is_outcome_recorded(value: BucketValue, outcome: Claim, settings: OrdersSettings) -> bool:
    """Return whether recording an outcome would leave the value unchanged."""
    return apply_outcome(value, outcome, settings) is value


def find_lost_claims(
    last_seen: BucketValue, restored: BucketValue, settings: OrdersSettings
) -> tuple[Claim, ...]:
    """Return the claims and outcomes that a restore of the store has lost.

    Parameters
    ----------
    last_seen : BucketValue
        The value at the later revision, as last read or written by this instance.
    restored : BucketValue
        The value that the store returns now, at an earlier revision.
    settings : OrdersSettings
        Settings with the size limit of a bucket.

    Returns
    -------
    lost : tuple of Claim
        The claims to submit again. Claims of requests that were not run are not among them, since
        their keys are free without them.
    """
    return tuple(
        claim
        for claim in last_seen.claims.values()
        if not (is_reclaimable(claim) or is_outcome_recorded(restored, claim, settings))
    )


def is_superseded(value: BucketValue, outcome: Claim) -> bool:
    """Return whether another claimant holds the key."""
    existing = value.claims.get(outcome.digest)
    return existing is not None and existing.claimant != outcome.claimant


def build_next_value(
    value: BucketValue,
    outcomes: Iterable[Claim],
    pending_claims: Iterable[PendingClaim],
    settings: OrdersSettings,
    wall_clock_ms: float,
) -> BucketValue:
    """Return the next value of a bucket.

    Outcomes are recorded first, then old claims are dropped, and then pending claims are added in
    the order of their claim times, if their key is free and the bucket has capacity.
    """
    for claim in outcomes:
        value = apply_outcome(value, claim, settings)
    value = drop_old_claims(value, settings, wall_clock_ms)
    for item in sorted(pending_claims, key=_submission_order):
        if find_resolution(value, item, settings) is None and has_capacity(
            value, item.claim, settings
        ):
            value = put_claim(value, item.claim)
    return value


def fit_outcome(value: BucketValue, outcome: Claim, settings: OrdersSettings) -> Claim:
    """Return the outcome, without its body if the bucket has no capacity for it."""
    match outcome.state:
        case ClaimDone(status=status, body=body):
            if value.size_bytes + len(body) > settings.bucket_bytes:
                return with_state(outcome, ClaimDone(status, b"", body_kept=False))
            return outcome
        case _:
            return outcome


def has_capacity(value: BucketValue, claim: Claim, settings: OrdersSettings) -> bool:
    """Return whether a bucket has capacity for a claim and for its outcome."""
    body_bytes = min(settings.recorded_body_bytes, settings.bucket_bytes // _RESERVATION_DIVISOR)
    needed_bytes = estimate_claim_bytes(claim) + body_bytes
    return value.size_bytes + needed_bytes <= settings.bucket_bytes


def drop_old_claims(
    value: BucketValue, settings: OrdersSettings, wall_clock_ms: float
) -> BucketValue:
    """Return the value without claims past their retention time.

    A value that exceeds its trim size also loses its oldest claims until it fits, except those
    within the minimum retention time. Claims of requests that were not run are protected only for
    the clock skew, since their keys may be claimed again anyway.
    """
    retained_from_ms = wall_clock_ms - settings.retention_ms
    limit_bytes = settings.bucket_bytes * _TRIM_SHARE
    needs_space = value.size_bytes > limit_bytes
    if not value.claims or not (needs_space or value.oldest_claimed_at_ms < retained_from_ms):
        return value
    size_bytes = value.size_bytes
    retained: list[Claim] = []
    dropped_through_ms = value.dropped_through_ms
    for claim in sorted(value.claims.values(), key=_age_order):
        is_expired = claim.claimed_at_ms < retained_from_ms
        protected_ms = (
            settings.clock_skew_ms if is_reclaimable(claim) else settings.minimum_retention_ms
        )
        is_trimmed = size_bytes > limit_bytes and claim.claimed_at_ms < wall_clock_ms - protected_ms
        if not (is_expired or is_trimmed):
            retained.append(claim)
            continue
        size_bytes -= estimate_claim_bytes(claim)
        if not is_reclaimable(claim):
            dropped_through_ms = max(dropped_through_ms, claim.claimed_at_ms)
    if len(retained) == len(value.claims):
        return value
    return make_bucket_value(retained, dropped_through_ms)


def make_outcome(status: int, body: bytes, settings: OrdersSettings) -> ClaimDone:
    """Return the recorded outcome of a target's reply, without a body that is too large."""
    if len(body) > settings.recorded_body_bytes:
        return ClaimDone(status, b"", body_kept=False)
    return ClaimDone(status, body)


def make_recorded_answer(done: ClaimDone) -> RouteDone:
    """Return the answer to a resend of a request with a recorded outcome."""
    return RouteDone(done.status, done.body, recorded=True, body_kept=done.body_kept)


def resolve_claim(
    value: BucketValue, pending: PendingClaim, settings: OrdersSettings
) -> ClaimResolution | None:
    """Return the resolution of a pending claim, or None while it waits to be written.

    In contrast to `find_resolution`, a free key resolves to `ClaimBucketFull` once a write has
    found no capacity for the claim.
    """
    found = find_resolution(value, pending, settings)
    if (
        found is None
        and pending.capacity_checked
        and not has_capacity(value, pending.claim, settings)
    ):
        return ClaimBucketFull(pending.key_unused)
    return found


def with_state(claim: Claim, state: ClaimState) -> Claim:
    """Return the claim in another state."""
    return replace(claim, state=state)


def _submission_order(pending: PendingClaim) -> tuple[int, object]:
    return pending.claim.claimed_at_ms, pending.claim.claimant


def _age_order(claim: Claim) -> tuple[int, bytes]:
    return claim.claimed_at_ms, claim.digest
