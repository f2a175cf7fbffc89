"""Merges the parts of a request to shards."""

from collections.abc import Iterable

RECORD_BYTES = 16  # of one record in the body of a part, by the protocol of the targets


def merge_records(bodies: Iterable[bytes], top_records: int) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Records of `RECORD_BYTES` each in any order; a shorter rest at the end is no record.
    top_records : int
        Records to return at most; equal records all count.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:top_records])
