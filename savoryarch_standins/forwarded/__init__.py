"""Stand-in for the targets of forwarded requests, on the platform's protocol.

One process serves one replica of several services and registers them in the store. It records
every request that arrived and every one that ran, which is what a proof compares with the answers
that clients got. Run it with ``python -m savoryarch_standins.forwarded``; see `serve`.
"""

from savoryarch_standins.forwarded._bodies import (
    ReplyDigest,
    make_digest,
    make_target_body,
    merge_expected_records,
    parse_digest,
)
from savoryarch_standins.forwarded._model import Arrival, TargetPlan, TargetSwitches

__all__ = [
    "Arrival",
    "ReplyDigest",
    "TargetPlan",
    "TargetSwitches",
    "make_digest",
    "make_target_body",
    "merge_expected_records",
    "parse_digest",
]
