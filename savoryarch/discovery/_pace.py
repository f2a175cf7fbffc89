"""When this instance looks at the store again.

All instances together look about as often as a few would alone. Whoever finds changes tells the
others, which look within a second. Without peers an instance looks as often as if it were alone.
"""

from dataclasses import replace

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

POLL_TIMER = "discovery/poll"
POLLERS = 4  # instances whose looks add up to one per interval; as many as the small sites have
MIN_SPREAD, MAX_SPREAD = 0.75, 1.25  # of an interval, so that instances do not look together
TOLD_SPREAD_MS = 1000.0  # over which the looks that news ask for are spread; they come in rows
_DRAWS = 1 << 32

Step = Decided[DiscoveryState]


def poll_interval_ms(state: DiscoveryState) -> float:
    """Return the mean time between two looks of this instance."""
    least_ms = state.settings.poll_interval_ms
    most_ms = max(least_ms, state.settings.poll_most_ms)
    return min(max(least_ms, least_ms * state.live_instances / POLLERS), most_ms)


def schedule_poll(state: DiscoveryState, now_ms: float) -> Step:
    """Set the time of the next look."""
    if state.told_revision > state.revision:
        return _look_soon(state, now_ms)
    state, draw = _draw(state)
    interval_ms = poll_interval_ms(state) * (MIN_SPREAD + (MAX_SPREAD - MIN_SPREAD) * draw)
    return _look_at(state, now_ms + interval_ms)


def tell_peers(before: DiscoveryState, state: DiscoveryState) -> Step:
    """Tell the others of changes that nobody has told this instance of."""
    news = state.revision > max(before.revision, state.told_revision)
    told, doubted = state.told_revision, state.doubted_revision
    if told <= state.revision or told == doubted:
        # Two looks did not find what was told: the store has been restored to an older state.
        state = replace(state, told_revision=state.revision, doubted_revision=0)
    else:
        state = replace(state, doubted_revision=told)
    if not news or state.live_instances <= POLLERS or not _is_urgent(before, state):
        return Decided(state)
    return Decided(state, (BroadcastToPeers(StoreRevisionAdvanced(state.revision)),))


def _is_urgent(before: DiscoveryState, state: DiscoveryState) -> bool:
    """Return whether others would go on with what holds no more; new targets can wait."""
    if state.table is not before.table or state.lapsed != before.lapsed:
        return True
    if state.targets is before.targets:
        return False
    return any(
        state.targets[key].draining != target.draining if key in state.targets else True
        for key, target in before.targets.items()
    )


def hear_peers(
    state: DiscoveryState, event: PeersChanged | PeerMessageReceived, now_ms: float
) -> Step:
    """Take what concerns the pace from peers."""
    match event:
        case PeersChanged(live=live):
            return Decided(replace(state, live_instances=len(live) + 1))
        case PeerMessageReceived(message=StoreRevisionAdvanced(revision=revision)) if (
            revision > state.told_revision
        ):
            state = replace(state, told_revision=revision)
            if state.life == "following" and not state.failures and revision > state.revision:
                return _look_soon(state, now_ms)
            return Decided(state)
        case _:
            return Decided(state)


def _look_soon(state: DiscoveryState, now_ms: float) -> Step:
    state, draw = _draw(state)
    at_ms = now_ms + TOLD_SPREAD_MS * draw
    if now_ms < state.look_at_ms <= at_ms:
        return Decided(state)
    return _look_at(state, at_ms)


def _look_at(state: DiscoveryState, at_ms: float) -> Step:
    return Decided(replace(state, look_at_ms=at_ms), (SetTimer(POLL_TIMER, at_ms),))


def _draw(state: DiscoveryState) -> tuple[DiscoveryState, float]:
    """Draw a number from 0 to 1, the same ones for the same instance."""
    name = state.registration.instance_id if state.registration else ""
    draw = xxh3_64_intdigest(f"{name}/{state.polls}".encode()) % _DRAWS / _DRAWS
    return replace(state, polls=state.polls + 1), draw
