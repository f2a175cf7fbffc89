"""Claims on idempotency keys: what a bucket holds and what a claim finds there."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
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

DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8
ROW_BYTES = 64  # of an encoded claim, beyond its texts
_LARGEST_PART = 8  # of a bucket's size, which one new claim may ask for
_FULL_SHARE = 0.75  # of the size limit, kept when old claims are dropped


@dataclass(frozen=True, slots=True)
class BucketValue:
    """The claims of one bucket.

    Parameters
    ----------
    claims : Map
        Claims by the digest of their key.
    size_bytes : int
        Estimate of the encoded size.
    oldest_at_ms : int
        No claim is older.
    forgotten_through_ms : int
        Calendar time of the newest claim that was dropped.
    """

    claims: Map[bytes, Claim] = field(default_factory=Map)
    size_bytes: int = 0
    oldest_at_ms: int = 0
    forgotten_through_ms: int = 0


@dataclass(frozen=True, slots=True)
class Submitted:
    """A claim that waits for its place in a bucket.

    Parameters
    ----------
    claim : Claim
        What to write.
    expires_at_ms : float
        When the claimant does not want it any more.
    created_at_ms : int or None
        Calendar time at which the caller made the request, if it said so.
    from_peer : str
        The instance that asked; empty for this one.
    after_call : int
        Store calls of the instance before it was submitted.
    composed : bool
        Whether room was looked for in the bucket.
    carried : bool
        Whether a swap carried it, so that it may be in the store.
    key_unused : bool
        Whether the key was seen without a claim after it was submitted.
    held : bool
        Whether it waits for the outcome of another request.
    """

    claim: Claim
    expires_at_ms: float
    created_at_ms: int | None = None
    from_peer: str = ""
    after_call: int = 0
    composed: bool = False
    carried: bool = False
    key_unused: bool = False
    held: bool = False


def digest_key(route: str, idempotency_key: str) -> bytes:
    """Return the digest under which a key is claimed."""
    text = f"{route}\0{idempotency_key}".encode()
    return blake2b(text, digest_size=DIGEST_BYTES).digest()


def fingerprint_body(body: bytes) -> bytes:
    """Return the digest by which another body under the same key is told apart."""
    return blake2b(body, digest_size=FINGERPRINT_BYTES).digest()


def bucket_of(digest: bytes, buckets: int) -> int:
    """Return the bucket that holds a key."""
    return int.from_bytes(digest[:4], "big") % buckets


def estimate_claim_bytes(claim: Claim) -> int:
    """Estimate the encoded size of a claim."""
    size_bytes = ROW_BYTES + len(claim.claimant.instance_id)
    match claim.state:
        case ClaimDone(body=body):
            return size_bytes + len(body)
        case ClaimOutcomeUnknown(detail=detail):
            return size_bytes + len(detail)
        case ClaimOpen() | ClaimNotRun():
            return size_bytes


def make_bucket_value(claims: Iterable[Claim], forgotten_through_ms: int) -> BucketValue:
    """Make the value that holds `claims`."""
    by_digest = Map({claim.digest: claim for claim in claims})
    return BucketValue(
        claims=by_digest,
        size_bytes=sum(map(estimate_claim_bytes, by_digest.values())),
        oldest_at_ms=min((claim.claimed_at_ms for claim in by_digest.values()), default=0),
        forgotten_through_ms=forgotten_through_ms,
    )


def put_claim(value: BucketValue, claim: Claim) -> BucketValue:
    """Put a claim in place of what the key had."""
    before = value.claims.get(claim.digest)
    size_bytes = (
        value.size_bytes
        + estimate_claim_bytes(claim)
        - (estimate_claim_bytes(before) if before else 0)
    )
    oldest_at_ms = min(value.oldest_at_ms, claim.claimed_at_ms)
    return replace(
        value,
        claims=value.claims.set(claim.digest, claim),
        size_bytes=size_bytes,
        oldest_at_ms=oldest_at_ms if value.claims else claim.claimed_at_ms,
    )


def is_free(held: Claim) -> bool:
    """Return whether a key may be claimed again: its claimant did not run the request."""
    return isinstance(held.state, ClaimNotRun)


def look_up(
    value: BucketValue, submitted: Submitted, settings: OrdersSettings
) -> ClaimResolution | None:
    """Return what a claim finds in a bucket; None if the key is free to be claimed."""
    claim = submitted.claim
    held = value.claims.get(claim.digest)
    if held is None:
        return ClaimKeyExpired() if is_forgotten(value, submitted, settings) else None
    if held.claimant == claim.claimant:
        granted = isinstance(held.state, ClaimOpen)
        return ClaimGranted() if granted else ClaimOutcomeFound(held.state)
    if is_free(held):
        return None
    if held.fingerprint != claim.fingerprint:
        return ClaimKeyReused()
    return ClaimHeld() if isinstance(held.state, ClaimOpen) else ClaimOutcomeFound(held.state)


def is_forgotten(value: BucketValue, submitted: Submitted, settings: OrdersSettings) -> bool:
    """Return whether an earlier claim of the same request may have been dropped."""
    if submitted.created_at_ms is None:
        return False
    return submitted.created_at_ms <= value.forgotten_through_ms + settings.clock_skew_ms


def settle_claim(value: BucketValue, settled: Claim, settings: OrdersSettings) -> BucketValue:
    """Record an outcome; the first one recorded for a claim stays."""
    held = value.claims.get(settled.digest)
    if held is None:
        # Dropped, or lost with a restore of the store. A swap that was given up may still take
        # effect; writing the outcome anyway makes it conflict.
        fits = value.size_bytes + estimate_claim_bytes(settled) <= settings.bucket_bytes
        return put_claim(value, settled) if fits else value
    if held.claimant != settled.claimant or not isinstance(held.state, ClaimOpen):
        return value
    if held == settled:
        return value
    return put_claim(value, fit_outcome(value, settled, settings))


def is_settled(value: BucketValue, settled: Claim, settings: OrdersSettings) -> bool:
    """Return whether nothing is left to record of an outcome."""
    return settle_claim(value, settled, settings) is value


def lost_claims(
    known: BucketValue, restored: BucketValue, settings: OrdersSettings
) -> tuple[Claim, ...]:
    """Return the claims and outcomes that a restore of the store has lost.

    Parameters
    ----------
    known : BucketValue
        The bucket at a later revision.
    restored : BucketValue
        The bucket as the store has it now.
    settings : OrdersSettings
        The size limit.
    """
    return tuple(
        claim
        for claim in known.claims.values()
        if not (is_free(claim) or is_settled(restored, claim, settings))
    )


def is_superseded(value: BucketValue, settled: Claim) -> bool:
    """Return whether another claim has the key."""
    held = value.claims.get(settled.digest)
    return held is not None and held.claimant != settled.claimant


def compose(
    value: BucketValue,
    settled: Iterable[Claim],
    submitted: Iterable[Submitted],
    settings: OrdersSettings,
    wall_ms: float,
) -> BucketValue:
    """Return the value with outcomes recorded, old claims dropped and free keys claimed."""
    for claim in settled:
        value = settle_claim(value, claim, settings)
    value = drop_old(value, settings, wall_ms)
    for item in sorted(submitted, key=_arrival):
        if look_up(value, item, settings) is None and has_room(value, item.claim, settings):
            value = put_claim(value, item.claim)
    return value


def fit_outcome(value: BucketValue, settled: Claim, settings: OrdersSettings) -> Claim:
    """Return the outcome, without the target's body if the bucket has no room for it."""
    match settled.state:
        case ClaimDone(status=status, body=body):
            if value.size_bytes + len(body) > settings.bucket_bytes:
                return with_state(settled, ClaimDone(status, b"", body_kept=False))
            return settled
        case _:
            return settled


def has_room(value: BucketValue, claim: Claim, settings: OrdersSettings) -> bool:
    """Return whether a claim fits, together with an outcome."""
    body_bytes = min(settings.recorded_body_bytes, settings.bucket_bytes // _LARGEST_PART)
    needed_bytes = estimate_claim_bytes(claim) + body_bytes
    return value.size_bytes + needed_bytes <= settings.bucket_bytes


def drop_old(value: BucketValue, settings: OrdersSettings, wall_ms: float) -> BucketValue:
    """Drop claims that are older than the retention or, for lack of room, the oldest ones."""
    keep_from_ms = wall_ms - settings.retention_ms
    limit_bytes = settings.bucket_bytes * _FULL_SHARE
    needs_room = value.size_bytes > limit_bytes
    if not value.claims or not (needs_room or value.oldest_at_ms < keep_from_ms):
        return value
    size_bytes = value.size_bytes
    kept: list[Claim] = []
    forgotten_through_ms = value.forgotten_through_ms
    for claim in sorted(value.claims.values(), key=_age):
        too_old = claim.claimed_at_ms < keep_from_ms
        kept_ms = settings.clock_skew_ms if is_free(claim) else settings.minimum_retention_ms
        crowded = size_bytes > limit_bytes and claim.claimed_at_ms < wall_ms - kept_ms
        if not (too_old or crowded):
            kept.append(claim)
            continue
        size_bytes -= estimate_claim_bytes(claim)
        if not is_free(claim):
            forgotten_through_ms = max(forgotten_through_ms, claim.claimed_at_ms)
    if len(kept) == len(value.claims):
        return value
    return make_bucket_value(kept, forgotten_through_ms)


def outcome_of(status: int, body: bytes, settings: OrdersSettings) -> ClaimDone:
    """Return what is recorded of a target's reply."""
    if len(body) > settings.recorded_body_bytes:
        return ClaimDone(status, b"", body_kept=False)
    return ClaimDone(status, body)


def recorded_answer(done: ClaimDone) -> RouteDone:
    """Return what a resend gets."""
    return RouteDone(done.status, done.body, recorded=True, body_kept=done.body_kept)


def resolve(
    value: BucketValue, submitted: Submitted, settings: OrdersSettings
) -> ClaimResolution | None:
    """As `look_up`; a free key for which no room was found is `ClaimBucketFull`."""
    found = look_up(value, submitted, settings)
    if found is None and submitted.composed and not has_room(value, submitted.claim, settings):
        return ClaimBucketFull(submitted.key_unused)
    return found


def with_state(claim: Claim, state: ClaimState) -> Claim:
    """Return the claim with its outcome."""
    return replace(claim, state=state)


def _arrival(submitted: Submitted) -> tuple[int, object]:
    return submitted.claim.claimed_at_ms, submitted.claim.claimant


def _age(claim: Claim) -> tuple[int, bytes]:
    return claim.claimed_at_ms, claim.digest
