"""Merges the replies of several shards to one request."""

from collections.abc import Iterable

RECORD_BYTES = 16  # length of a record in the body of a shard's reply, by the targets' protocol


def merge_records(bodies: Iterable[bytes], top_records: int) -> bytes:
    """Return the greatest records of all bodies, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Each holds records of `RECORD_BYTES` in any order. An incomplete record at the end of a
        body is ignored.
    top_records : int
        Maximum number of records to return. Equal records count one by one.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    records.sort(reverse=True)
    return b"".join(records[:top_records])
