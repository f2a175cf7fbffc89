"""Encoding of bucket values in the store, as MessagePack."""

import msgspec

from savoryarch.exceptions import CodecError
from savoryarch.model import (
    Claim,
    Claimant,
    ClaimDone,
    ClaimNotRun,
    ClaimOpen,
    ClaimOutcomeUnknown,
    ClaimState,
)
from savoryarch.orders._claims import BucketValue, make_bucket_value

_VERSION = 1
# Tags of the states in stored rows. `_decode_state` matches them as literals.
_OPEN, _DONE, _DONE_WITHOUT_BODY, _NOT_RUN, _UNKNOWN = range(5)

# Digest, fingerprint, claim time in ms, instance id, incarnation, sequence, tag of the state,
# status, body. The body of an unknown outcome is its detail.
_Row = tuple[bytes, bytes, int, str, int, int, int, int, bytes]
_DECODER = msgspec.msgpack.Decoder(tuple[int, int, list[_Row]])
_ENCODER = msgspec.msgpack.Encoder()


def encode_bucket(value: BucketValue) -> bytes:
    """Return the encoded value; equal values give equal bytes."""
    claims = sorted(value.claims.values(), key=lambda claim: (claim.claimed_at_ms, claim.digest))
    rows = [_encode_row(claim) for claim in claims]
    return _ENCODER.encode((_VERSION, value.dropped_through_ms, rows))


def decode_bucket(data: bytes) -> BucketValue:
    """Return the decoded value of a bucket.

    Raises
    ------
    CodecError
        If the data is malformed or of another version.
    """
    try:
        version, dropped_through_ms, rows = _DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(f"bucket value is malformed: {error}") from error
    if version != _VERSION:
        raise CodecError(f"bucket value has version {version}, expected {_VERSION}")
    return make_bucket_value(map(_decode_row, rows), dropped_through_ms)


def _encode_row(claim: Claim) -> _Row:
    claimant = claim.claimant
    tag, status, body = _encode_state(claim.state)
    return (
        claim.digest,
        claim.fingerprint,
        claim.claimed_at_ms,
        claimant.instance_id,
        claimant.incarnation,
        claimant.sequence,
        tag,
        status,
        body,
    )


def _encode_state(state: ClaimState) -> tuple[int, int, bytes]:
    match state:
        case ClaimOpen():
            return _OPEN, 0, b""
        case ClaimDone(status=status, body=body, body_kept=body_kept):
            return (_DONE if body_kept else _DONE_WITHOUT_BODY), status, body
        case ClaimNotRun():
            return _NOT_RUN, 0, b""
        case ClaimOutcomeUnknown(detail=detail):
            return _UNKNOWN, 0, detail.encode()


def _decode_row(row: _Row) -> Claim:
    digest, fingerprint, claimed_at_ms, instance_id, incarnation, sequence, tag, status, body = row
    claimant = Claimant(instance_id, incarnation, sequence)
    state = _decode_state(tag, status, body)
    return Claim(digest, fingerprint, claimant, claimed_at_ms, state)


def _decode_state(tag: int, status: int, body: bytes) -> ClaimState:
    match tag:
        case 0:
            return ClaimOpen()
        case 1:
            return ClaimDone(status, body)
        case 2:
            return ClaimDone(status, b"", body_kept=False)
        case 3:
            return ClaimNotRun()
        case 4:
            return ClaimOutcomeUnknown(body.decode())
        case _:
            raise CodecError(f"bucket value has an unknown claim state {tag}")
