"""Compares notes with a peer that takes other instances to be live.

Statements that ride on heartbeats are sent a limited number of times, so one can miss an
instance. The digest of the live instances on each heartbeat shows it.
"""

from dataclasses import replace

import xxhash

from savoryarch.membership._spread import make_repairing_ping
from savoryarch.membership._state import MembershipState
from savoryarch.model import Count, Decided, MemberStatus, SendToPeer


def digest_of_live(state: MembershipState) -> int:
    """Return what identifies the live instances; the same wherever the same ones are live."""
    live = set(state.live_ids)
    if state.me.status is MemberStatus.LIVE:
        live.add(state.me.instance_id)
    return xxhash.xxh32_intdigest("\n".join(sorted(live)).encode())


def needs_to_compare(state: MembershipState, live_digest: int, now_ms: float) -> bool:
    """Return whether a peer's view has differed for too long to be a change on its way."""
    if live_digest in (0, state.live_digest):
        return False
    quiet_ms = now_ms - max(state.live_changed_at_ms, state.repaired_at_ms)
    return quiet_ms >= state.settings.repair_interval_ms


def note_comparison(state: MembershipState, now_ms: float) -> Decided[MembershipState]:
    """Count a comparison and put off the next one."""
    return Decided(replace(state, repaired_at_ms=now_ms), (Count("membership", "compared"),))


def compare(state: MembershipState, peer_id: str) -> Decided[MembershipState]:
    """Send a peer what it may not know; its answer tells what is not known here."""
    probe_id = state.last_probe_id + 1
    state = replace(state, last_probe_id=probe_id)
    return Decided(state, (SendToPeer(peer_id, make_repairing_ping(state, probe_id, peer_id)),))
