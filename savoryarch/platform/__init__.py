"""Adapter to the users' platform: its names, formats and calls; it decides nothing."""

from savoryarch.platform._records import decode_table, decode_target, make_entry_codec
from savoryarch.platform._store import decode_store_reply, encode_store_call
from savoryarch.platform._wire import PlatformDialect, read_request, write_outcome

__all__ = [
    "PlatformDialect",
    "decode_store_reply",
    "decode_table",
    "decode_target",
    "encode_store_call",
    "make_entry_codec",
    "read_request",
    "write_outcome",
]
