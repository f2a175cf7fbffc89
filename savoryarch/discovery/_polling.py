"""Schedules the polls of the store, and announces urgent changes to peers.

The poll interval grows with the number of live instances, so that a large fleet loads the store
about as much as a few instances do. In such a fleet, an instance that reads urgent changes
announces their revision, and its peers poll within a second. An instance without live peers polls
at the shortest interval.
"""

from xxhash import xxh3_64_intdigest

from savoryarch.discovery._messages import StoreRevisionAdvanced
from savoryarch.discovery._state import DiscoveryState
from savoryarch.model import (
    BroadcastToPeers,
    Decided,
    PeerMessageReceived,
    PeersChanged,
    SetTimer,
)
from savoryarch.utils import replace

POLL_TIMER = "discovery/poll"
# Live instances up to which each polls at the shortest interval. Small sites have as many.
FULL_RATE_POLLERS = 4
# Factors of the interval between which each wait is sampled, so that instances do not poll in step.
MIN_JITTER, MAX_JITTER = 0.75, 1.25
# Time over which the polls of the peers after an announcement are spread. Announcements come in
# quick succession, and one poll reads the changes of several.
ANNOUNCEMENT_JITTER_MS = 1000.0
_SAMPLE_RANGE = 1 << 32

DecidedDiscovery = Decided[DiscoveryState]


def poll_interval_ms(state: DiscoveryState) -> float:
    """Return the mean interval in ms between polls of this instance."""
    min_ms = state.settings.poll_interval_ms
    max_ms = max(min_ms, state.settings.poll_most_ms)
    return min(max(min_ms, min_ms * state.live_instances / FULL_RATE_POLLERS), max_ms)


def schedule_poll(state: DiscoveryState, now_ms: float) -> DecidedDiscovery:
    """Schedule the next poll: soon if a peer announced a newer revision, else at the interval."""
    if state.announced_revision > state.revision:
        return _poll_soon(state, now_ms)
    state, sample = _sample(state)
    interval_ms = poll_interval_ms(state) * (MIN_JITTER + (MAX_JITTER - MIN_JITTER) * sample)
    return _poll_at(state, now_ms + interval_ms)


def announce_changes(before: DiscoveryState, state: DiscoveryState) -> DecidedDiscovery:
    """Announce urgent changes to the peers, unless a peer has announced them already.

    Parameters
    ----------
    before : DiscoveryState
        State before the changes were applied.
    state : DiscoveryState
        State after the changes were applied.
    """
    is_newer = state.revision > max(before.revision, state.announced_revision)
    announced, unconfirmed = state.announced_revision, state.unconfirmed_revision
    if announced <= state.revision or announced == unconfirmed:
        # Two polls did not reach the announced revision: the store was restored to an older state.
        state = replace(state, announced_revision=state.revision, unconfirmed_revision=0)
    else:
        state = replace(state, unconfirmed_revision=announced)
    if (
        not is_newer
        or state.live_instances <= FULL_RATE_POLLERS
        or not _is_urgent_change(before, state)
    ):
        return Decided(state)
    return Decided(state, (BroadcastToPeers(StoreRevisionAdvanced(state.revision)),))


def _is_urgent_change(before: DiscoveryState, state: DiscoveryState) -> bool:
    """Return whether peers would use outdated entries without an announcement.

    Urgent are a changed table, and targets that are missing, removed or draining. New targets are
    not: the peers discover them at their next poll.
    """
    if state.table is not before.table or state.lapsed != before.lapsed:
        return True
    if state.targets is before.targets:
        return False
    return any(
        state.targets[key].draining != target.draining if key in state.targets else True
        for key, target in before.targets.items()
    )


def handle_peer_event(
    state: DiscoveryState, event: PeersChanged | PeerMessageReceived, now_ms: float
) -> DecidedDiscovery:
    """Handle a change of the live peers, or an announcement of a revision by a peer."""
    match event:
        case PeersChanged(live=live):
            return Decided(replace(state, live_instances=len(live) + 1))
        case PeerMessageReceived(message=StoreRevisionAdvanced(revision=revision)) if (
            revision > state.announced_revision
        ):
            state = replace(state, announced_revision=revision)
            if (
                state.chart_state == "following"
                and not state.failures
                and revision > state.revision
            ):
                return _poll_soon(state, now_ms)
            return Decided(state)
        case _:
            return Decided(state)


def _poll_soon(state: DiscoveryState, now_ms: float) -> DecidedDiscovery:
    """Schedule a poll at a random time within a second, unless one is due before it."""
    state, sample = _sample(state)
    at_ms = now_ms + ANNOUNCEMENT_JITTER_MS * sample
    if now_ms < state.next_poll_at_ms <= at_ms:
        return Decided(state)
    return _poll_at(state, at_ms)


def _poll_at(state: DiscoveryState, at_ms: float) -> DecidedDiscovery:
    """Set the poll timer."""
    return Decided(replace(state, next_poll_at_ms=at_ms), (SetTimer(POLL_TIMER, at_ms),))


def _sample(state: DiscoveryState) -> tuple[DiscoveryState, float]:
    """Return a pseudo-random number from 0 to 1, by the instance id and the number of samples."""
    name = state.registration.instance_id if state.registration else ""
    sample = (
        xxh3_64_intdigest(f"{name}/{state.sample_count}".encode()) % _SAMPLE_RANGE / _SAMPLE_RANGE
    )
    return replace(state, sample_count=state.sample_count + 1), sample
