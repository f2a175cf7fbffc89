"""Stand-in for the targets of forwarded requests, which speaks the platform's protocol.

One process serves one replica of each of several services and registers these targets in the store.
It records every request that arrived and whether it ran, so that a check can compare them with the
answers that clients got. ``python -m savoryarch_standins.forwarded --help`` lists its flags.
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
