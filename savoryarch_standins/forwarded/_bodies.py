"""Reply bodies that are a function of service and request id, so that tests can verify answers."""

from dataclasses import dataclass

from xxhash import xxh3_64_hexdigest

from savoryarch.forwarding import merge_records

RECORDS_PER_PART = 6


@dataclass(frozen=True, slots=True)
class ReplyDigest:
    """Content of the digest header of a reply.

    Parameters
    ----------
    service : str
        Service that replied.
    request_id : str
        Id of the request.
    checksum : str
        Checksum of the body.
    """

    service: str
    request_id: str
    checksum: str


def make_target_body(service: str, request_id: str) -> bytes:
    """Return the body of a reply: `RECORDS_PER_PART` records of 16 bytes."""
    return b"".join(
        xxh3_64_hexdigest(f"{service}/{request_id}/{number}".encode()).encode()
        for number in range(RECORDS_PER_PART)
    )


def make_digest(service: str, request_id: str, body: bytes) -> str:
    """Return the value of the digest header of a reply."""
    return f"{service}.{request_id}.{xxh3_64_hexdigest(bytes(body))}"


def parse_digest(digest: str) -> ReplyDigest:
    """Parse the value of a digest header.

    Raises
    ------
    ValueError
        If the value does not have the three parts that `make_digest` writes.
    """
    service, request_id, checksum = digest.split(".")
    return ReplyDigest(service, request_id, checksum)


def merge_expected_records(services: tuple[str, ...], request_id: str, top_records: int) -> bytes:
    """Return the body that a search of these services should have as its answer.

    Parameters
    ----------
    services : tuple of str
        Services whose records are merged.
    request_id : str
        Id of the request.
    top_records : int
        Number of greatest records that the answer holds.
    """
    return merge_records((make_target_body(name, request_id) for name in services), top_records)
