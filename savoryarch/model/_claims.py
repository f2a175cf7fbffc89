"""Claims on idempotency keys, and what instances tell each other about them."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Claimant:
    """The one request that a claim lets run; unique over all instances and incarnations.

    Parameters
    ----------
    instance_id : str
        The instance that may send the request.
    incarnation : int
        Its incarnation; a later incarnation knows nothing of the request.
    sequence : int
        Ascends with each claim of the incarnation.
    """

    instance_id: str
    incarnation: int
    sequence: int


@dataclass(frozen=True, slots=True)
class ClaimOpen:
    """The claimant may be running the request, or may have died while it did."""


@dataclass(frozen=True, slots=True)
class ClaimDone:
    """The request ran.

    Parameters
    ----------
    status : int
        HTTP status of the target.
    body : bytes
        Body of the target; empty if it was too large to be recorded.
    body_kept : bool
        Whether `body` is the target's body.
    """

    status: int
    body: bytes
    body_kept: bool = True


@dataclass(frozen=True, slots=True)
class ClaimNotRun:
    """The claimant did not run the request and never will; the key may be claimed again."""


@dataclass(frozen=True, slots=True)
class ClaimOutcomeUnknown:
    """The request may have run; it is never sent again."""

    detail: str


ClaimState = ClaimOpen | ClaimDone | ClaimNotRun | ClaimOutcomeUnknown


@dataclass(frozen=True, slots=True)
class Claim:
    """A claim on an idempotency key.

    Parameters
    ----------
    digest : bytes
        Digest of the route and the key.
    fingerprint : bytes
        Digest of the request's body.
    claimant : Claimant
        Who may run the request.
    claimed_at_ms : int
        Calendar time of the claim, in milliseconds since the Unix epoch.
    state : ClaimState
        What became of it.
    """

    digest: bytes
    fingerprint: bytes
    claimant: Claimant
    claimed_at_ms: int
    state: ClaimState = ClaimOpen()


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim is in the store: its claimant may send the request."""


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Another claimant holds the key and has recorded no outcome."""


@dataclass(frozen=True, slots=True)
class ClaimOutcomeFound:
    """The key has a recorded outcome."""

    state: ClaimState


@dataclass(frozen=True, slots=True)
class ClaimKeyReused:
    """The key was claimed with another body."""


@dataclass(frozen=True, slots=True)
class ClaimKeyExpired:
    """The request is older than the claims that are kept, so it may have run before."""


@dataclass(frozen=True, slots=True)
class ClaimBucketFull:
    """There is no room for the claim.

    Parameters
    ----------
    key_unused : bool
        As in `ClaimFailed`.
    """

    key_unused: bool


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The store did not answer.

    Parameters
    ----------
    detail : str
        What failed.
    key_unused : bool
        Whether the key was seen without a claim after the request arrived.
    may_be_written : bool
        Whether a write that carried the claim may have taken effect.
    """

    detail: str
    key_unused: bool
    may_be_written: bool = False


ClaimResolution = (
    ClaimGranted
    | ClaimHeld
    | ClaimOutcomeFound
    | ClaimKeyReused
    | ClaimKeyExpired
    | ClaimBucketFull
    | ClaimFailed
)


@dataclass(frozen=True, slots=True)
class ClaimSubmitted:
    """Asks the owner of a bucket to write a claim.

    Parameters
    ----------
    claim : Claim
        What to write.
    remaining_ms : float
        Time after which the claimant does not want it any more.
    created_at_ms : int or None
        Calendar time at which the caller made the request, if it said so.
    """

    claim: Claim
    remaining_ms: float
    created_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimResolved:
    """Tells the claimant's instance what came of its claim."""

    claimant: Claimant
    resolution: ClaimResolution


@dataclass(frozen=True, slots=True)
class OutcomeSubmitted:
    """Asks the owner of a bucket to record the outcome in `claim`."""

    claim: Claim


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """Tells the claimant's instance that its outcome is in the store."""

    claimant: Claimant


ClaimMessage = ClaimSubmitted | ClaimResolved | OutcomeSubmitted | OutcomeRecorded


@dataclass(frozen=True, slots=True)
class ClaimMessages:
    """Messages between two instances, batched in one frame."""

    messages: tuple[ClaimMessage, ...]
