"""Bodies that name what they answer, so that a checker can prove a whole answer of its own."""

from dataclasses import dataclass

from xxhash import xxh3_64_hexdigest

from savoryarch.forwarding import merge_records

RECORDS_PER_PART = 6


@dataclass(frozen=True, slots=True)
class ReplyDigest:
    """What the digest of a reply says.

    Parameters
    ----------
    service : str
        Where it ran.
    request_id : str
        For which request.
    checksum : str
        Of the body.
    """

    service: str
    request_id: str
    checksum: str


def make_target_body(service: str, request_id: str) -> bytes:
    """Return the body of a service's reply: records of 16 bytes."""
    return b"".join(
        xxh3_64_hexdigest(f"{service}/{request_id}/{number}".encode()).encode()
        for number in range(RECORDS_PER_PART)
    )


def make_digest(service: str, request_id: str, body: bytes) -> str:
    """Return the digest of a reply."""
    return f"{service}.{request_id}.{xxh3_64_hexdigest(bytes(body))}"


def parse_digest(digest: str) -> ReplyDigest:
    """Return what a digest says; raises ``ValueError`` if it is none of a target here."""
    service, request_id, checksum = digest.split(".")
    return ReplyDigest(service, request_id, checksum)


def merge_expected_records(services: tuple[str, ...], request_id: str, top_records: int) -> bytes:
    """Return the merged answer of some services to a request."""
    return merge_records((make_target_body(name, request_id) for name in services), top_records)
