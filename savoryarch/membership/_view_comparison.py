"""Repairs views that missed an update (anti-entropy).

A membership update is sent a limited number of times and can fail to reach an instance. The
digest of the live instances on each heartbeat shows the difference; the two peers then exchange
the updates that the other may not have.
"""

import xxhash

from savoryarch.membership._dissemination import make_comparison_ping
from savoryarch.membership._state import MembershipState
from savoryarch.model import Count, Decided, MemberStatus, SendToPeer
from savoryarch.utils import replace


def compute_live_digest(state: MembershipState) -> int:
    """Return a digest of the live instances, equal on instances with the same live set."""
    live = set(state.live_ids)
    if state.own_update.status is MemberStatus.LIVE:
        live.add(state.own_update.instance_id)
    return xxhash.xxh32_intdigest("\n".join(sorted(live)).encode())


def needs_comparison(state: MembershipState, live_digest: int, now_ms: float) -> bool:
    """Return whether a peer's live set differs although updates have had time to arrive.

    That is the case once the live set here has not changed, and no comparison was made, for
    ``repair_interval_ms``.
    """
    if live_digest in (0, state.live_digest):
        return False
    unchanged_ms = now_ms - max(state.live_changed_at_ms, state.last_comparison_at_ms)
    return unchanged_ms >= state.settings.repair_interval_ms


def record_comparison(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Count a comparison and delay the next one by ``repair_interval_ms``."""
    return Decided(replace(state, last_comparison_at_ms=now_ms), (Count("membership", "compared"),))


def start_comparison(state: MembershipState, peer_id: str) -> Decided[MembershipState]:
    """Send a peer the updates that it may not have; its ack carries those missing here."""
    probe_id = state.last_probe_id + 1
    state = replace(state, last_probe_id=probe_id)
    return Decided(state, (SendToPeer(peer_id, make_comparison_ping(state, probe_id, peer_id)),))
