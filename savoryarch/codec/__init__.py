"""Encoding and decoding of messages; this package makes no decisions."""

from savoryarch.codec._caller_replies import (
    EncodedReply,
    encode_error,
    encode_route_outcome,
    encode_search_outcome,
)
from savoryarch.codec._dialect import Dialect, JsonDialect
from savoryarch.codec._messages import MessageCodec, make_message_codec
from savoryarch.codec._outer_names import OUTER_NAMES, OuterNames
from savoryarch.codec._reply_parser import (
    MAX_HEAD_BYTES,
    MAX_REPLY_BYTES,
    HttpReply,
    HttpReplyParser,
)
from savoryarch.codec._target_http import (
    decode_attempt_reply,
    decode_probe_reply,
    encode_attempt,
    encode_cancel,
    encode_probe,
)

__all__ = [
    "MAX_HEAD_BYTES",
    "MAX_REPLY_BYTES",
    "OUTER_NAMES",
    "Dialect",
    "EncodedReply",
    "HttpReply",
    "HttpReplyParser",
    "JsonDialect",
    "MessageCodec",
    "OuterNames",
    "decode_attempt_reply",
    "decode_probe_reply",
    "encode_attempt",
    "encode_cancel",
    "encode_error",
    "encode_probe",
    "encode_route_outcome",
    "encode_search_outcome",
    "make_message_codec",
]
