"""Bodies that name what they answer, so that a checker can prove a whole answer of its own."""

from dataclasses import dataclass

from xxhash import xxh3_64_hexdigest

from savoryarch.forwarding import merge_records

RECORDS_PER_PART = 6


@dataclass(frozen=True, slots=True)
class Part:
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


def target_body(service: str, request_id: str) -> bytes:
    """Return the body of a service's reply: records of 16 bytes."""
    return b"".join(
        xxh3_64_hexdigest(f"{service}/{request_id}/{number}".encode()).encode()
        for number in range(RECORDS_PER_PART)
    )


def make_digest(service: str, request_id: str, body: bytes) -> str:
    """Return the digest of a reply."""
    return f"{service}.{request_id}.{xxh3_64_hexdigest(bytes(body))}"


def read_digest(digest: str) -> Part:
    """Return what a digest says; raises ``ValueError`` if it is none of a target here."""
    service, request_id, checksum = digest.split(".")
    return Part(service, request_id, checksum)


def expected_records(services: tuple[str, ...], request_id: str, top_records: int) -> bytes:
    """Return the merged answer of some services to a request."""
    return merge_records((target_body(name, request_id) for name in services), top_records)
