"""Status of the configuration on all instances."""

from savoryarch.configuration._state import (
    ConfigurationDecided,
    ConfigurationState,
    chain_decisions,
)
from savoryarch.model import (
    AnswerStatus,
    BroadcastToPeers,
    ClearTimer,
    ConfigurationStatus,
    ConfigurationStatusRequested,
    Decided,
    InstanceStatus,
    SetTimer,
)
from savoryarch.utils import replace, sorted_items

STATUS_TIMER = "configuration/status/"
# Time after which a status request is answered without the missing announcements.
STATUS_TIMEOUT_MS = 500.0


def request_status(
    state: ConfigurationState, status_id: str, now_ms: float
) -> ConfigurationDecided:
    """Request an announcement from every live peer, to answer with the status afterwards."""
    state = replace(
        state, status_requested_at_ms=state.status_requested_at_ms.set(status_id, now_ms)
    )
    effects = (
        SetTimer(STATUS_TIMER + status_id, now_ms + STATUS_TIMEOUT_MS),
        BroadcastToPeers(ConfigurationStatusRequested()),
    )
    return chain_decisions(
        Decided(state, effects), lambda after: answer_complete_status(after, now_ms)
    )


def answer_complete_status(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Answer the status requests after which every live peer has sent an announcement."""
    decided: ConfigurationDecided = Decided(state)
    if not state.status_requested_at_ms:
        return decided
    oldest_announcement_ms = min(
        (
            state.peer_versions[peer].received_at_ms if peer in state.peer_versions else -1.0
            for peer in state.peers
        ),
        default=now_ms,
    )
    for status_id, requested_at_ms in sorted_items(state.status_requested_at_ms):
        if oldest_announcement_ms >= requested_at_ms:
            answered = answer_status(decided.state, status_id, now_ms)
            decided = Decided(answered.state, decided.effects + answered.effects)
    return decided


def answer_status(state: ConfigurationState, status_id: str, now_ms: float) -> ConfigurationDecided:
    """Answer a status request with the announcements received so far."""
    if status_id not in state.status_requested_at_ms:
        return Decided(state)
    state = replace(state, status_requested_at_ms=state.status_requested_at_ms.delete(status_id))
    effects = (
        AnswerStatus(status_id, make_status(state, now_ms)),
        ClearTimer(STATUS_TIMER + status_id),
    )
    return Decided(state, effects)


def make_status(state: ConfigurationState, now_ms: float) -> ConfigurationStatus:
    """Return the version in force on this instance and the last known ones on all others."""
    own = InstanceStatus(state.instance_id, state.record.generation, True, 0.0)
    others = sorted((set(state.peers) | set(state.peer_versions)) - {state.instance_id})
    live = set(state.peers)
    last_contact_at_ms = state.store.last_contact_at_ms
    return ConfigurationStatus(
        instance_id=state.instance_id,
        version=state.record.version,
        store_last_contact_ago_ms=(
            None if last_contact_at_ms is None else now_ms - last_contact_at_ms
        ),
        store_restored_generation=state.store.restored_generation,
        instances=(own, *(_peer_status(state, peer, peer in live, now_ms) for peer in others)),
    )


def _peer_status(
    state: ConfigurationState, peer_id: str, live: bool, now_ms: float
) -> InstanceStatus:
    peer_version = state.peer_versions.get(peer_id)
    if peer_version is None:
        return InstanceStatus(peer_id, None, live, None)
    return InstanceStatus(
        peer_id, peer_version.version.generation, live, now_ms - peer_version.received_at_ms
    )
