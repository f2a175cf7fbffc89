"""Adapter to the platform that users run: its names, formats and calls, without decisions."""

from savoryarch.platform._records import (
    CONFIGURATION_KEY,
    TARGETS_PREFIX,
    decode_table,
    decode_target,
    make_entry_codec,
)
from savoryarch.platform._store import decode_store_reply, encode_store_call
from savoryarch.platform._wire import (
    DEADLINE_HEADER,
    DIGEST_HEADER,
    EXPECTED_TARGET_HEADER,
    LEAVING_HEADER,
    MISSING_PARTS_HEADER,
    NOT_RUN_HEADER,
    PART_DIGESTS_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    PlatformDialect,
    decode_request,
    encode_answer,
)

__all__ = [
    "CONFIGURATION_KEY",
    "DEADLINE_HEADER",
    "DIGEST_HEADER",
    "EXPECTED_TARGET_HEADER",
    "LEAVING_HEADER",
    "MISSING_PARTS_HEADER",
    "NOT_RUN_HEADER",
    "PART_DIGESTS_HEADER",
    "REQUEST_ID_HEADER",
    "RETRY_AFTER_HEADER",
    "TARGETS_PREFIX",
    "PlatformDialect",
    "decode_store_reply",
    "decode_table",
    "decode_target",
    "encode_store_call",
    "make_entry_codec",
    "decode_request",
    "encode_answer",
]
