"""Group membership of the entry instances, in the manner of SWIM.

The platform's instance list lags and only names candidates; heartbeats show which instances are
live. Each instance probes a few neighbours in turn and asks other peers to probe a neighbour that
does not answer. Membership updates are carried by the heartbeats themselves, so that the cost per
instance does not grow with the number of instances.
"""

from savoryarch.membership._decide import decide_membership
from savoryarch.membership._ring import neighbours_on_ring
from savoryarch.membership._settings import MembershipSettings
from savoryarch.membership._state import (
    Member,
    MembershipState,
    PeerStatus,
    live_peer_ids,
    make_membership_state,
    peer_statuses,
    reachable_peer_ids,
)

__all__ = [
    "Member",
    "MembershipSettings",
    "MembershipState",
    "PeerStatus",
    "decide_membership",
    "live_peer_ids",
    "make_membership_state",
    "neighbours_on_ring",
    "peer_statuses",
    "reachable_peer_ids",
]
