"""Claims on idempotency keys, and the messages about them between instances."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Claimant:
    """Identity of the one request that a claim permits to run.

    It is unique over all instances and incarnations.

    Parameters
    ----------
    instance_id : str
        Id of the instance that may send the request.
    incarnation : int
        Incarnation of that instance. A later incarnation has no knowledge of the request.
    sequence : int
        Number of the claim, which increases within the incarnation.
    """

    instance_id: str
    incarnation: int
    sequence: int


@dataclass(frozen=True, slots=True)
class ClaimOpen:
    """State of a claim without an outcome: its request may be running or may have been lost."""


@dataclass(frozen=True, slots=True)
class ClaimDone:
    """State of a claim whose request ran.

    Parameters
    ----------
    status : int
        HTTP status of the target's response.
    body : bytes
        Body of the response; empty if it was too large to be recorded.
    body_kept : bool
        Whether the body was recorded.
    """

    status: int
    body: bytes
    body_kept: bool = True


@dataclass(frozen=True, slots=True)
class ClaimNotRun:
    """State of a claim whose request was not and will not be run; the key may be claimed again."""


@dataclass(frozen=True, slots=True)
class ClaimOutcomeUnknown:
    """State of a claim whose request may have run; the request is never sent again.

    Parameters
    ----------
    detail : str
        Label of the reply that left the outcome unknown.
    """

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
        Digest of the request's body, by which another body under the same key is detected.
    claimant : Claimant
        Identity of the request that may run.
    claimed_at_ms : int
        Calendar time of the claim, in milliseconds since the Unix epoch.
    state : ClaimState
        State of the claim.
    """

    digest: bytes
    fingerprint: bytes
    claimant: Claimant
    claimed_at_ms: int
    state: ClaimState = ClaimOpen()


@dataclass(frozen=True, slots=True)
class ClaimGranted:
    """The claim is in the store, so that its claimant may send the request."""


@dataclass(frozen=True, slots=True)
class ClaimHeld:
    """Another claimant holds the key, and no outcome is recorded yet."""


@dataclass(frozen=True, slots=True)
class ClaimOutcomeFound:
    """The key has a recorded outcome.

    Parameters
    ----------
    state : ClaimState
        State of the recorded claim.
    """

    state: ClaimState


@dataclass(frozen=True, slots=True)
class ClaimKeyReused:
    """The key was claimed by a request with another body."""


@dataclass(frozen=True, slots=True)
class ClaimKeyExpired:
    """The request is as old as claims that were dropped, so that it may have run before."""


@dataclass(frozen=True, slots=True)
class ClaimBucketFull:
    """The bucket of the key has no capacity for the claim.

    Parameters
    ----------
    key_unused : bool
        As in `ClaimFailed`.
    """

    key_unused: bool


@dataclass(frozen=True, slots=True)
class ClaimFailed:
    """The store could not be read or written.

    Parameters
    ----------
    detail : str
        Description of the failure.
    key_unused : bool
        Whether a read that began after the claim was submitted showed the key without a claim.
    may_be_written : bool
        Whether a write that contained the claim may have taken effect.
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
    """Message to the instance that is to write a claim, in most cases the owner of its bucket.

    Parameters
    ----------
    claim : Claim
        The claim.
    remaining_ms : float
        Time in milliseconds for which the claimant waits for the claim.
    created_at_ms : int or None
        Calendar time at which the caller made the request; None if unknown.
    """

    claim: Claim
    remaining_ms: float
    created_at_ms: int | None = None


@dataclass(frozen=True, slots=True)
class ClaimResolved:
    """Message to the claimant's instance with the resolution of its claim.

    Parameters
    ----------
    claimant : Claimant
        Claimant of the resolved claim.
    resolution : ClaimResolution
        Result of the claim.
    """

    claimant: Claimant
    resolution: ClaimResolution


@dataclass(frozen=True, slots=True)
class OutcomeSubmitted:
    """Message to the instance that is to record an outcome.

    Parameters
    ----------
    claim : Claim
        The claim in its final state.
    """

    claim: Claim


@dataclass(frozen=True, slots=True)
class OutcomeRecorded:
    """Message to the instance that submitted an outcome: the outcome is in the store.

    Parameters
    ----------
    claimant : Claimant
        Claimant of the recorded claim.
    """

    claimant: Claimant


ClaimMessage = ClaimSubmitted | ClaimResolved | OutcomeSubmitted | OutcomeRecorded


@dataclass(frozen=True, slots=True)
class ClaimMessages:
    """Messages on claims between two instances, batched in one frame."""

    messages: tuple[ClaimMessage, ...]
