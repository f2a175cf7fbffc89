"""What is in force where."""

from dataclasses import replace

from savoryarch.configuration._state import ConfigurationDecided, ConfigurationState, then
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
from savoryarch.utils import in_order

STATUS_TIMER = "configuration/status/"
STATUS_TIMEOUT_MS = 500.0


def ask_status(state: ConfigurationState, status_id: str, now_ms: float) -> ConfigurationDecided:
    """Ask every live peer what it has in force."""
    state = replace(state, asked_status=state.asked_status.set(status_id, now_ms))
    effects = (
        SetTimer(STATUS_TIMER + status_id, now_ms + STATUS_TIMEOUT_MS),
        BroadcastToPeers(ConfigurationStatusRequested()),
    )
    return then(Decided(state, effects), lambda after: answer_heard_status(after, now_ms))


def answer_heard_status(state: ConfigurationState, now_ms: float) -> ConfigurationDecided:
    """Answer those who wait for the status, once every live peer was heard since they asked."""
    decided: ConfigurationDecided = Decided(state)
    if not state.asked_status:
        return decided
    oldest_ms = min(
        (state.heard[peer].at_ms if peer in state.heard else -1.0 for peer in state.peers),
        default=now_ms,
    )
    for status_id, asked_at_ms in in_order(state.asked_status):
        if oldest_ms >= asked_at_ms:
            answered = answer_status(decided.state, status_id, now_ms)
            decided = Decided(answered.state, decided.effects + answered.effects)
    return decided


def answer_status(state: ConfigurationState, status_id: str, now_ms: float) -> ConfigurationDecided:
    """Answer with what was heard so far."""
    if status_id not in state.asked_status:
        return Decided(state)
    state = replace(state, asked_status=state.asked_status.delete(status_id))
    effects = (
        AnswerStatus(status_id, make_status(state, now_ms)),
        ClearTimer(STATUS_TIMER + status_id),
    )
    return Decided(state, effects)


def make_status(state: ConfigurationState, now_ms: float) -> ConfigurationStatus:
    """Return what is in force where, as far as it was heard."""
    own = InstanceStatus(state.instance_id, state.record.generation, True, 0.0)
    others = sorted((set(state.peers) | set(state.heard)) - {state.instance_id})
    live = set(state.peers)
    seen_at_ms = state.store.seen_at_ms
    return ConfigurationStatus(
        instance_id=state.instance_id,
        version=state.record.version,
        store_last_contact_ago_ms=None if seen_at_ms is None else now_ms - seen_at_ms,
        store_restored_generation=state.store.behind_generation,
        instances=(own, *(_peer_status(state, peer, peer in live, now_ms) for peer in others)),
    )


def _peer_status(
    state: ConfigurationState, peer_id: str, live: bool, now_ms: float
) -> InstanceStatus:
    said = state.heard.get(peer_id)
    if said is None:
        return InstanceStatus(peer_id, None, live, None)
    return InstanceStatus(peer_id, said.version.generation, live, now_ms - said.at_ms)
